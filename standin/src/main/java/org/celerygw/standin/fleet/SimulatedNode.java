package org.celerygw.standin.fleet;

import org.celerygw.core.id.HostId;
import org.celerygw.core.membership.Endpoint;
import org.celerygw.core.membership.Membership;

/** One simulated daemon of a {@link SimulatedFleet}. */
public final class SimulatedNode {
    long pausedUntilMs;
    long sentBytes;
    long receivedBytes;
    long sentDatagrams;
    long receivedDatagrams;

    private final Membership membership;
    private final int zone;
    private boolean running = true;

    SimulatedNode(Membership membership, int zone) {
        this.membership = membership;
        this.zone = zone;
    }

    /**
     * Returns the node's membership instance.
     *
     * @return the membership logic under test
     */
    public Membership membership() {
        return membership;
    }

    /**
     * Returns the node's host id.
     *
     * @return the host id of this incarnation
     */
    public HostId hostId() {
        return membership.self().host();
    }

    /**
     * Returns the address at which the node receives datagrams.
     *
     * @return the UDP endpoint
     */
    public Endpoint endpoint() {
        return membership.self().gossipEndpoint();
    }

    /**
     * Returns the number of the node's availability zone.
     *
     * @return the zone number, starting at 0
     */
    public int zone() {
        return zone;
    }

    /**
     * Returns whether the node is running.
     *
     * @return false once the node was killed or has left
     */
    public boolean running() {
        return running;
    }

    /**
     * Returns the number of datagram bytes that the node sent and received.
     *
     * @return payload bytes, excluding UDP and IP headers
     */
    public long totalBytes() {
        return sentBytes + receivedBytes;
    }

    /**
     * Returns the number of datagrams that the node sent and received.
     *
     * @return datagrams sent plus datagrams received
     */
    public long totalDatagrams() {
        return sentDatagrams + receivedDatagrams;
    }

    void stop() {
        running = false;
    }
}
