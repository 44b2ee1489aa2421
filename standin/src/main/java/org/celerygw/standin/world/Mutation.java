package org.celerygw.standin.world;

import java.util.List;
import org.celerygw.core.owner.Effect;
import org.celerygw.core.owner.Event;

/**
 * A deliberate fault, injected by changing the events that hosts receive or the effects that they request.
 *
 * @param name a description of the fault
 * @param eventChange changes each event before a host handles it
 * @param effectChange changes the effects that a host requests
 */
record Mutation(String name, EventChange eventChange, EffectChange effectChange) {
    /** No fault. */
    static final Mutation NONE = new Mutation("none", (host, event) -> event, (host, cause, effects) -> effects);

    static Mutation ofEvents(String name, EventChange change) {
        return new Mutation(name, change, NONE.effectChange());
    }

    static Mutation ofEffects(String name, EffectChange change) {
        return new Mutation(name, NONE.eventChange(), change);
    }

    /** Changes an event before a host handles it. */
    @FunctionalInterface
    interface EventChange {
        /** Returns the event that the host handles instead. */
        Event apply(SimulatedHost host, Event event);
    }

    /** Changes the effects that a host requests in response to an event. */
    @FunctionalInterface
    interface EffectChange {
        /** Returns the effects that are executed instead. */
        List<Effect> apply(SimulatedHost host, Event cause, List<Effect> effects);
    }
}
