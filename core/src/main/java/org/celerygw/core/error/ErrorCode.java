package org.celerygw.core.error;

/** The kinds of failure, each with its HTTP status and the exit code of the command line. */
public enum ErrorCode {
    /** The request is malformed or a value is out of range. */
    INVALID_ARGUMENT(400, 2),
    /** The caller sent no key or an unknown one. */
    UNAUTHENTICATED(401, 3),
    /** The caller's key does not permit the request. */
    PERMISSION_DENIED(403, 3),
    /** The requested program, customer or other resource does not exist. */
    NOT_FOUND(404, 4),
    /** The request exceeds a size limit. */
    TOO_LARGE(413, 2),
    /** The call number is not the next one of the program. */
    OUT_OF_ORDER(409, 5),
    /** The idempotency key was already used for a call with another body. */
    KEY_REUSED(422, 5),
    /** The first request with this idempotency key is still in progress. */
    IN_PROGRESS(409, 5),
    /** The program has ended, was abandoned or has expired. */
    PROGRAM_ENDED(409, 5),
    /** The call would exceed the program's or the customer's budget. */
    BUDGET_EXCEEDED(402, 6),
    /** The program reached its limit on turns, tokens or time. */
    LOOP_LIMIT(429, 6),
    /** No capacity is expected before the deadline; retry after the hinted delay. */
    OVERLOADED(503, 7),
    /** The customer exceeds its share; retry after the hinted delay. */
    CUSTOMER_LIMIT(429, 7),
    /** The deadline of the request passed. */
    DEADLINE_EXCEEDED(504, 7),
    /** The caller cancelled the request or disconnected. */
    CANCELLED(499, 7),
    /** The backend server failed or sent an invalid response. */
    BACKEND_FAILED(502, 8),
    /** The connection to the backend server was lost before the response was complete. */
    BACKEND_LOST(502, 8),
    /** No backend server is available for the model or service. */
    NO_BACKEND(503, 8),
    /** A call that must not be repeated may have run; an operator has to settle it. */
    OUTCOME_UNKNOWN(409, 9),
    /** The platform's store does not respond. */
    STORE_UNAVAILABLE(503, 10),
    /** Another host owns the program; the request can be retried. */
    NOT_OWNER(503, 10),
    /** This host is stopping; the request can be retried at another host. */
    STOPPING(503, 10),
    /** The resource was changed concurrently since it was read. */
    CONFLICT(409, 5),
    /** Stored data is incomplete, cannot be decoded or fails its checksum. */
    DAMAGED(500, 11),
    /** An internal error of celerygw. */
    INTERNAL(500, 12);

    private final int httpStatus;
    private final int exitCode;

    ErrorCode(int httpStatus, int exitCode) {
        this.httpStatus = httpStatus;
        this.exitCode = exitCode;
    }

    /**
     * Returns the HTTP status of responses with this error.
     *
     * @return a status code of the 4xx or 5xx class
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the exit code of the command line for this error.
     *
     * @return from 2 to 12
     */
    public int exitCode() {
        return exitCode;
    }
}
