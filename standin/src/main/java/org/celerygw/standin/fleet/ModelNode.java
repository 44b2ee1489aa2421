package org.celerygw.standin.fleet;

import org.celerygw.core.id.HostId;
import org.celerygw.core.membership.Endpoint;
import org.celerygw.core.membership.Membership;

/** One daemon of a {@link ModelFleet}. */
public final class ModelNode {
    long frozenUntilMs;
    long sentBytes;
    long receivedBytes;
    long sentDatagrams;
    long receivedDatagrams;

    private final Membership membership;
    private final int zone;
    private boolean running = true;

    ModelNode(Membership membership, int zone) {
        this.membership = membership;
        this.zone = zone;
    }

    /**
     * Returns its membership.
     *
     * @return the logic under test
     */
    public Membership membership() {
        return membership;
    }

    /**
     * Returns its id.
     *
     * @return the id of this incarnation
     */
    public HostId host() {
        return membership.self().host();
    }

    /**
     * Returns its address.
     *
     * @return the UDP endpoint
     */
    public Endpoint endpoint() {
        return membership.self().gossipEndpoint();
    }

    /**
     * Returns the number of its availability zone.
     *
     * @return from 0
     */
    public int zone() {
        return zone;
    }

    /**
     * Returns whether it runs.
     *
     * @return false after it was killed or left
     */
    public boolean running() {
        return running;
    }

    /**
     * Returns what it sent and received.
     *
     * @return bytes of datagrams, without headers
     */
    public long bytes() {
        return sentBytes + receivedBytes;
    }

    /**
     * Returns how many datagrams it sent and received.
     *
     * @return the count
     */
    public long datagrams() {
        return sentDatagrams + receivedDatagrams;
    }

    void stop() {
        running = false;
    }
}
