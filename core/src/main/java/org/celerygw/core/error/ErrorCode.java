package org.celerygw.core.error;

/** Every kind of failure, with its HTTP status and the command line's exit code. */
public enum ErrorCode {
    /** The request is malformed or a value is out of range. */
    INVALID_ARGUMENT(400, 2),
    /** The caller gave no key or one that is not known. */
    UNAUTHENTICATED(401, 3),
    /** The key is known but does not allow this. */
    PERMISSION_DENIED(403, 3),
    /** The program, customer or other thing named does not exist. */
    NOT_FOUND(404, 4),
    /** The request exceeds a size limit. */
    TOO_LARGE(413, 2),
    /** The call number is not the next one of the program. */
    OUT_OF_ORDER(409, 5),
    /** The idempotency key belongs to a call with another body. */
    KEY_REUSED(422, 5),
    /** The first request with this key has not ended yet. */
    IN_PROGRESS(409, 5),
    /** The program has ended, was abandoned or expired. */
    PROGRAM_ENDED(409, 5),
    /** The call would exceed the program's or the customer's budget. */
    BUDGET_EXCEEDED(402, 6),
    /** The program reached its limit of turns, tokens or time. */
    LOOP_LIMIT(429, 6),
    /** No capacity before the deadline; retry after the hint. */
    OVERLOADED(503, 7),
    /** The customer is above its share; retry after the hint. */
    CUSTOMER_LIMIT(429, 7),
    /** The deadline passed. */
    DEADLINE_EXCEEDED(504, 7),
    /** The caller went away. */
    CANCELLED(499, 7),
    /** The back end failed or answered something unreadable. */
    BACKEND_FAILED(502, 8),
    /** The connection to the back end broke before the answer was whole. */
    BACKEND_LOST(502, 8),
    /** No back end serves this model or service now. */
    NO_BACKEND(503, 8),
    /** A call that may not be repeated may have run; an operator settles it. */
    OUTCOME_UNKNOWN(409, 9),
    /** The platform's store does not answer. */
    STORE_UNAVAILABLE(503, 10),
    /** Another host owns the program; retry. */
    NOT_OWNER(503, 10),
    /** This host is stopping; retry at another. */
    STOPPING(503, 10),
    /** The thing was changed by somebody else since it was read. */
    CONFLICT(409, 5),
    /** Stored data failed its checksum or a part is missing. */
    DAMAGED(500, 11),
    /** A fault of celerygw itself. */
    INTERNAL(500, 12);

    private final int httpStatus;
    private final int exitCode;

    ErrorCode(int httpStatus, int exitCode) {
        this.httpStatus = httpStatus;
        this.exitCode = exitCode;
    }

    /**
     * Returns the status that callers see.
     *
     * @return an HTTP status
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the exit code of the command line for this failure.
     *
     * @return from 2 to 12
     */
    public int exitCode() {
        return exitCode;
    }
}
