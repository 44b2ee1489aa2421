package org.celerygw.core.membership;

import org.celerygw.core.helper.Check;

/**
 * An IP address and a UDP port.
 *
 * @param address the IP address as text
 * @param port from 1 to 65,535
 */
public record Endpoint(String address, int port) {
    /**
     * Checks the address and the port.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when a component is invalid
     */
    public Endpoint {
        Check.name(address, "address");
        Check.that(port > 0 && port < 65_536, "port must be from 1 to 65535");
    }

    @Override
    public String toString() {
        return address + ":" + port;
    }
}
