package org.celerygw.core.servers;

/**
 * A backend server as it describes itself in its registration.
 *
 * @param id its id; usually differs between incarnations
 * @param service the service it belongs to
 * @param ip the IP address that it listens on
 * @param port the port that it listens on
 * @param zone its availability zone
 * @param softwareVersion the version of its software; servers of different versions may be in service at the same time
 * @param slots the number of requests that it runs concurrently
 * @param draining whether it accepts no new requests
 * @param startedMs when this incarnation started, in ms since 1970-01-01 UTC
 */
public record BackendServer(
        String id,
        String service,
        String ip,
        int port,
        String zone,
        String softwareVersion,
        int slots,
        boolean draining,
        long startedMs) {

    /**
     * Returns whether another entry describes the same incarnation of the server.
     *
     * @param other an entry with the same id
     * @return false if the server was restarted, or its address, service or software version changed
     */
    public boolean sameIncarnation(BackendServer other) {
        return id.equals(other.id)
                && startedMs == other.startedMs
                && port == other.port
                && ip.equals(other.ip)
                && service.equals(other.service)
                && softwareVersion.equals(other.softwareVersion);
    }
}
