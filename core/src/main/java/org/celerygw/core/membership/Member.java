package org.celerygw.core.membership;

import org.celerygw.core.helper.Check;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.id.HostId;

/**
 * One daemon as the fleet knows it.
 *
 * @param host the incarnation of the daemon; a restart has another one
 * @param address its IP address
 * @param gossipPort its UDP port for membership
 * @param peerPort its TCP port for calls between daemons
 * @param httpPort its TCP port for callers
 * @param zone its availability zone
 * @param release the release that it runs
 * @param startedMs when it started, by its own clock
 * @param configVersion the configuration in force there when it was last heard directly
 * @param leaving whether it is stopping and takes no new slots
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
     * Checks the address and the ports.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when one is out of range
     */
    public Member {
        Check.name(address, "address");
        Check.that(isPort(gossipPort) && isPort(peerPort) && isPort(httpPort), "ports must be from 1 to 65535");
        Check.that(release.length() <= 40, "release must have at most 40 characters");
    }

    /**
     * Returns where the daemon takes membership datagrams.
     *
     * @return its UDP endpoint
     */
    public Endpoint gossip() {
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
