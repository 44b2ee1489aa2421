package org.celerygw.core.servers;

/**
 * One backend server as it describes itself.
 *
 * @param id its name; another incarnation mostly has another one
 * @param service the service it belongs to
 * @param ip where it listens
 * @param port where it listens
 * @param zone its availability zone
 * @param slots requests that it runs at once
 * @param draining whether it takes no new work
 * @param bornMs when this incarnation started, in ms since 1970-01-01 UTC
 */
public record BackendServer(
        String id, String service, String ip, int port, String zone, int slots, boolean draining, long bornMs) {

    /**
     * Returns whether the other entry speaks of the same incarnation.
     *
     * @param other an entry of the same id
     * @return false when the server has started anew or lives elsewhere
     */
    public boolean sameIncarnation(BackendServer other) {
        return id.equals(other.id)
                && bornMs == other.bornMs
                && port == other.port
                && ip.equals(other.ip)
                && service.equals(other.service);
    }
}
