package org.celerygw.core.membership;

import org.celerygw.core.helper.Check;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.id.HostId;

/**
 * A daemon of the fleet, as described by its own membership record.
 *
 * @param host the host id of this process; a restarted daemon has a new one
 * @param address its IP address, for all three ports
 * @param gossipPort its UDP port for membership datagrams
 * @param peerPort its TCP port for connections from other daemons
 * @param httpPort its TCP port for HTTP requests of callers
 * @param zone its availability zone
 * @param release the software release that it runs, at most 40 characters
 * @param startedMs when it started, in ms since the epoch by its own clock
 * @param configVersion the version of its active configuration, as of the newest record received
 * @param leaving whether it is stopping and takes over no more slots
 */
public record Member(
        HostId host,
        String address,
        int gossipPort,
        int peerPort,
        int httpPort,
        AvailabilityZone zone,
        String release,
        long startedMs,
        long configVersion,
        boolean leaving) {
    /**
     * Checks the address, the ports and the release.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when a value is invalid
     */
    public Member {
        Check.name(address, "address");
        Check.that(isPort(gossipPort) && isPort(peerPort) && isPort(httpPort), "ports must be from 1 to 65535");
        Check.that(release.length() <= 40, "release must have at most 40 characters");
    }

    /**
     * Returns the endpoint at which the daemon receives membership datagrams.
     *
     * @return its IP address and UDP port
     */
    public Endpoint gossipEndpoint() {
        return new Endpoint(address, gossipPort);
    }

    Member withConfigVersion(long version) {
        return new Member(host, address, gossipPort, peerPort, httpPort, zone, release, startedMs, version, leaving);
    }

    Member asLeaving() {
        return new Member(host, address, gossipPort, peerPort, httpPort, zone, release, startedMs, configVersion, true);
    }

    private static boolean isPort(int port) {
        return port > 0 && port < 65_536;
    }
}
