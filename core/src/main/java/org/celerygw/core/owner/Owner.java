package org.celerygw.core.owner;

import java.util.List;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.Slot;

/**
 * Owns slots and decides the calls of the programs in them. Give it events, one at a time on one thread, and do
 * the effects that it returns, in order.
 */
public final class Owner {
    private final HostId host;
    private final OwnerSettings settings;

    /**
     * Makes an owner that owns nothing yet; it begins with the first {@link Event.HostsSeen}.
     *
     * @param host this host's id, never used before
     * @param settings how it paces itself
     */
    public Owner(HostId host, OwnerSettings settings) {
        this.host = host;
        this.settings = settings;
    }

    /**
     * Takes an event.
     *
     * @param event what happened
     * @param nowMs the time now
     * @return what to do, in order
     */
    public List<Effect> handle(Event event, long nowMs) {
        throw new UnsupportedOperationException(host + " " + settings + event + nowMs);
    }

    /**
     * Returns whether this host owns the slot and has recovered its programs.
     *
     * @param slot the slot
     * @return true when calls in the slot can be decided here
     */
    public boolean owns(Slot slot) {
        return slot.number() < 0;
    }
}
