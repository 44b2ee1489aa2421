package org.celerygw.core.turns;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Reservations of one program that this host made ahead, each for one turn that has not come yet. A turn that finds one
 * needs no write before it runs, so that a program goes on while the store is away. Names are never used twice: who
 * settles a turn by the name of its reservation does so once, however often the write is repeated.
 */
final class Spares {
    private static final long USABLE_MS = 20_000;

    /** A reservation made ahead. */
    private record Spare(long tokens, long untilMs) {}

    private final Map<String, Spare> free = new LinkedHashMap<>();
    private final Map<String, Long> unsure = new HashMap<>();
    private final Map<String, String> boundTo = new HashMap<>();

    /** Returns whether none is bound to a turn under way; those that wait for a turn may be forgotten. */
    boolean idle() {
        return boundTo.isEmpty();
    }

    /** Gives a turn the first reservation that is large enough; returns whether there is one. */
    boolean bind(String turn, long maxTokens, long nowMs) {
        for (Iterator<Map.Entry<String, Spare>> all = free.entrySet().iterator(); all.hasNext(); ) {
            Map.Entry<String, Spare> each = all.next();
            if (nowMs < each.getValue().untilMs() && each.getValue().tokens() >= maxTokens) {
                boundTo.put(turn, each.getKey());
                all.remove();
                return true;
            }
        }
        return false;
    }

    /** Returns the name under which a turn is reserved, for the last time. */
    String release(String turn) {
        String name = boundTo.remove(turn);
        return name == null ? turn : name;
    }

    /** Notes that a reservation is about to be written. */
    void writing(String name, long tokens) {
        unsure.put(name, tokens);
    }

    /** Notes that a reservation is in the store. */
    void written(String name, long nowMs) {
        Long tokens = unsure.remove(name);
        if (tokens != null) {
            free.put(name, new Spare(tokens, nowMs + USABLE_MS));
        }
    }

    /** Takes over what the store holds now: writes of unknown effect are known by it, and what is gone is gone. */
    void compare(Budget budget, long nowMs) {
        for (String name : Set.copyOf(unsure.keySet())) {
            if (budget.isOpen(name)) {
                written(name, nowMs);
            }
        }
        free.keySet().removeIf(name -> !budget.isOpen(name));
    }
}
