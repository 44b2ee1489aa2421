package org.celerygw.cli.experiment;

import java.util.List;
import org.celerygw.core.routing.CacheEvents;
import org.celerygw.core.routing.LoadReport;

/** One host's policy: what the simulation tells it and what it decides. */
interface Gateway {
    /** Returned when a call was taken. */
    long TAKEN = -1;

    /** Offers a call; returns {@link #TAKEN} or after how many milliseconds to retry. */
    long offer(SimCall call, long nowMs);

    /** Returns what to start or drop now. */
    List<Move> next(long nowMs);

    /** The first token came. */
    default void first(SimCall call, long nowMs) {}

    /** The answer is whole, or the call failed; returns true when a failed one may be offered again at once. */
    boolean ended(SimCall call, boolean ok, long nowMs);

    /** The call's caller stopped waiting; returns true when it had not been started. */
    boolean cancelled(SimCall call);

    /** Engines came or went. */
    void engines(List<EngineNode> listed);

    /** An engine reported its load. */
    default void report(EngineNode node, LoadReport report) {}

    /** An engine published changes of its cache. */
    default void cacheEvents(EngineNode node, CacheEvents events, long nowMs) {}

    /** A program ended; returns true when its engines release its memory. */
    default boolean programEnded(ProgramRun run, long nowMs) {
        return false;
    }

    /** A decision: a call to start on an engine, or to drop when there is no engine. */
    record Move(
            long call, @org.jspecify.annotations.Nullable EngineNode node, int priority, long retryAfterMs) {}
}
