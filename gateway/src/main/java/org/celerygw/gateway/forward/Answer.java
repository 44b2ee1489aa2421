package org.celerygw.gateway.forward;

/**
 * What the head of a backend server's answer says, decoded once.
 *
 * @param status the status
 * @param notRun whether the server says that the request did not run
 * @param signed whether it bears the server's signature
 * @param encoded whether its body is encoded, which no server does
 */
public record Answer(int status, boolean notRun, boolean signed, boolean encoded) {
    /**
     * Returns whether the request succeeded there.
     *
     * @return true for 2xx
     */
    public boolean success() {
        return status >= 200 && status < 300;
    }
}
