package org.celerygw.gateway.forward;

/**
 * Metadata of a backend server's response, decoded from its status line and header section.
 *
 * @param status the status code
 * @param notExecuted whether the server states that it did not execute the request
 * @param signed whether the response carries the server's signature
 * @param encoded whether the body has a content coding; a valid response never has one
 * @param limitPerS the requests per second that the server accepts from all hosts together; infinite if it names no limit
 */
public record ResponseMetadata(int status, boolean notExecuted, boolean signed, boolean encoded, double limitPerS) {
    /**
     * Returns whether the status code is in the successful class.
     *
     * @return true for 2xx
     */
    public boolean isSuccessful() {
        return status >= 200 && status < 300;
    }
}
