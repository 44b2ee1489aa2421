package org.celerygw.standin;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.Deque;

/** An engine's cache events: numbered from 1, shown late, some lost for good. */
final class CacheEvents {
    private static final int MAX_KEPT = 20_000;
    private static final int MAX_PAGE = 1_000;

    private final long lagMs;
    private final int gapEvery;
    private final Deque<CacheEvent> kept = new ArrayDeque<>();
    private long last;

    CacheEvents(long lagMs, int gapEvery) {
        this.lagMs = lagMs;
        this.gapEvery = gapEvery;
    }

    void add(String kind, long hash) {
        last++;
        if (gapEvery > 0 && last % gapEvery == 0) {
            return;
        }
        kept.addLast(new CacheEvent(last, kind, hash, System.currentTimeMillis() + lagMs));
        if (kept.size() > MAX_KEPT) {
            kept.removeFirst();
        }
    }

    /** Returns the events after a number that may be shown by now; hashes are decimal text. */
    JsonObject after(long number) {
        long nowMs = System.currentTimeMillis();
        JsonArray shown = new JsonArray();
        kept.stream()
                .filter(e -> e.number > number)
                .takeWhile(e -> e.shownAtMs <= nowMs)
                .limit(MAX_PAGE)
                .forEach(e -> shown.add(e.toJson()));
        return new JsonObject().put("events", shown);
    }

    /** One event. */
    private record CacheEvent(long number, String kind, long hash, long shownAtMs) {
        private JsonObject toJson() {
            return new JsonObject().put("seq", number).put("kind", kind).put("hash", Long.toString(hash));
        }
    }
}
