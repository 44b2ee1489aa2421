package org.celerygw.standin;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The cache events that an engine reports. They are numbered from 1 and become visible after a lag; some are lost, which
 * leaves gaps in the numbers.
 */
final class CacheEventLog {
    private static final int MAX_RETAINED_EVENTS = 20_000;
    private static final int MAX_PAGE_EVENTS = 1_000;

    private final long lagMs;
    private final int lostEventInterval;
    private final Deque<CacheEvent> retained = new ArrayDeque<>();
    private long lastSeq;

    CacheEventLog(long lagMs, int lostEventInterval) {
        this.lagMs = lagMs;
        this.lostEventInterval = lostEventInterval;
    }

    void append(String kind, long hash) {
        lastSeq++;
        if (lostEventInterval > 0 && lastSeq % lostEventInterval == 0) {
            return;
        }
        retained.addLast(new CacheEvent(lastSeq, kind, hash, System.currentTimeMillis() + lagMs));
        if (retained.size() > MAX_RETAINED_EVENTS) {
            retained.removeFirst();
        }
    }

    /** Returns the visible events after a sequence number, at most one page; hashes are decimal strings. */
    JsonObject eventsAfter(long afterSeq) {
        long nowMs = System.currentTimeMillis();
        JsonArray visible = new JsonArray();
        retained.stream()
                .filter(event -> event.seq > afterSeq)
                .takeWhile(event -> event.visibleAtMs <= nowMs)
                .limit(MAX_PAGE_EVENTS)
                .forEach(event -> visible.add(event.toJson()));
        return new JsonObject().put("events", visible);
    }

    /** A block that was stored in or removed from the cache. */
    private record CacheEvent(long seq, String kind, long hash, long visibleAtMs) {
        private JsonObject toJson() {
            return new JsonObject().put("seq", seq).put("kind", kind).put("hash", Long.toString(hash));
        }
    }
}
