package org.celerygw.daemon.backend;

import org.celerygw.core.helper.Check;

/**
 * The address of a backend server.
 *
 * @param ip the IP address
 * @param port the TCP port
 */
public record BackendAddress(String ip, int port) {
    private static final int MAX_PORT = 65_535;

    /** Checks that the port is valid. */
    public BackendAddress {
        Check.that(port > 0 && port <= MAX_PORT, "port must be from 1 to 65535");
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
