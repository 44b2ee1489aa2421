package org.celerygw.standin.world;

import java.util.List;
import org.celerygw.core.owner.Effect;
import org.celerygw.core.owner.Event;

/**
 * A deliberate fault: what hosts are told and what they want done is changed on the way.
 *
 * @param name what is wrong
 * @param events changes what a host is told
 * @param effects changes what a host wants done
 */
record Mutation(String name, Events events, Effects effects) {
    /** No fault. */
    static final Mutation NONE = new Mutation("none", (host, event) -> event, (host, cause, effects) -> effects);

    static Mutation ofEvents(String name, Events events) {
        return new Mutation(name, events, NONE.effects());
    }

    static Mutation ofEffects(String name, Effects effects) {
        return new Mutation(name, NONE.events(), effects);
    }

    /** Changes an event before a host takes it. */
    @FunctionalInterface
    interface Events {
        /** Returns the event to take in place of this one. */
        Event change(WorldHost host, Event event);
    }

    /** Changes the effects of an event. */
    @FunctionalInterface
    interface Effects {
        /** Returns the effects to do in place of these. */
        List<Effect> change(WorldHost host, Event cause, List<Effect> effects);
    }
}
