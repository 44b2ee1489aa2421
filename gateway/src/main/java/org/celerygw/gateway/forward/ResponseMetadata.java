package org.celerygw.gateway.forward;

import java.util.Set;

/**
 * Metadata of a backend server's response, decoded from its status line and header section.
 *
 * @param status the status code
 * @param identified whether the response carries the id of exactly one request
 * @param notExecuted whether the server states that it did not execute the request
 * @param signed whether the response carries the server's signature
 * @param encoded whether the body has a content coding; a valid response never has one
 * @param leaving whether the server says that it leaves
 * @param limitPerS the requests per second that the server accepts from all hosts together; infinite if it names no limit
 */
public record ResponseMetadata(
        int status,
        boolean identified,
        boolean notExecuted,
        boolean signed,
        boolean encoded,
        boolean leaving,
        double limitPerS) {
    /** Status codes with which a client may take it for granted that its request was not and will not be executed. */
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

    /**
     * Returns whether what the response says about its server can be believed.
     *
     * @return true for a response to one request that is signed or states that the request was not executed
     */
    public boolean isCredible() {
        return identified && (signed || notExecuted);
    }

    /**
     * Returns whether a client would take the status code for a statement that its request was not executed.
     *
     * @return true for 408, 421, 429 and 503
     */
    public boolean promisesNotExecuted() {
        return NOT_EXECUTED_STATUSES.contains(status);
    }

    /**
     * Returns whether the status code is in the successful class.
     *
     * @return true for 2xx
     */
    public boolean isSuccessful() {
        return status >= 200 && status < 300;
    }
}
