package org.celerygw.core.turns;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Advance reservations of one program by this host, each for one future turn. A turn that gets one needs no write
 * before it runs, so the program can continue while the store is unavailable. Names are never reused, so settling a
 * turn by the name of its reservation is idempotent, however often the write is retried.
 */
final class AdvanceReservations {
    private static final long USABLE_MS = 20_000;

    /** An advance reservation that is not bound to a turn yet. */
    private record FreeReservation(long tokens, long usableUntilMs) {}

    private final Map<String, FreeReservation> free = new LinkedHashMap<>();
    private final Map<String, Long> unconfirmedTokens = new HashMap<>();
    private final Map<String, String> namesByTurn = new HashMap<>();

    /** Returns whether no reservation is bound to a turn in progress; unbound ones may be evicted. */
    boolean isIdle() {
        return namesByTurn.isEmpty();
    }

    /** Binds the first reservation that is large enough to the turn; returns whether there is one. */
    boolean bind(String turn, long maxTokens, long nowMs) {
        for (Iterator<Map.Entry<String, FreeReservation>> reservations =
                        free.entrySet().iterator();
                reservations.hasNext(); ) {
            Map.Entry<String, FreeReservation> reservation = reservations.next();
            if (nowMs < reservation.getValue().usableUntilMs()
                    && reservation.getValue().tokens() >= maxTokens) {
                namesByTurn.put(turn, reservation.getKey());
                reservations.remove();
                return true;
            }
        }
        return false;
    }

    boolean isBound(String turn) {
        return namesByTurn.containsKey(turn);
    }

    /** Removes the turn's binding and returns the name of its reservation: the turn's id if none was bound. */
    String unbind(String turn) {
        String name = namesByTurn.remove(turn);
        return name == null ? turn : name;
    }

    /** Adds a reservation whose write is about to be sent. */
    void addUnconfirmed(String name, long tokens) {
        unconfirmedTokens.put(name, tokens);
    }

    /** Marks a reservation as committed, so that a turn may use it. */
    void confirm(String name, long nowMs) {
        Long tokens = unconfirmedTokens.remove(name);
        if (tokens != null) {
            free.put(name, new FreeReservation(tokens, nowMs + USABLE_MS));
        }
    }

    /**
     * Aligns the reservations with the stored budget: confirms those whose write had an unknown result and drops those
     * that are no longer open.
     */
    void reconcile(Budget budget, long nowMs) {
        for (String name : Set.copyOf(unconfirmedTokens.keySet())) {
            if (budget.isOpen(name)) {
                confirm(name, nowMs);
            }
        }
        free.keySet().removeIf(name -> !budget.isOpen(name));
    }
}
