package org.celerygw.daemon.health;

import io.vertx.core.json.JsonObject;
import java.util.EnumMap;
import java.util.Map;
import org.celerygw.core.time.Clock;

/** Gathers what the health and ready endpoints answer. Safe for use by many threads. */
public final class Health {
    /** A host whose loop did not turn for this long is not alive. */
    static final long STALL_LIMIT_MS = 10_000;

    private final Clock clock;
    private final Map<Condition, String> reasons = new EnumMap<>(Condition.class);
    private long lastBeatMs;

    /**
     * Makes the state of a host that lives and is not ready: no condition holds yet.
     *
     * @param clock tells the time
     */
    public Health(Clock clock) {
        this.clock = clock;
        this.lastBeatMs = clock.nowMs();
        for (Condition condition : Condition.values()) {
            reasons.put(condition, "not yet known");
        }
    }

    /** What must hold before a host takes new requests. */
    public enum Condition {
        /** The ports for callers, operators and peers are open. */
        LISTENING,
        /** A configuration is in force. */
        CONFIGURED,
        /** Membership has been joined and slots can be found. */
        JOINED,
        /** No planned stop has begun. */
        NOT_STOPPING
    }

    /**
     * What an endpoint answers.
     *
     * @param ok whether the answer is yes
     * @param body the answer as JSON
     */
    public record Report(boolean ok, JsonObject body) {
        /**
         * Returns the HTTP status.
         *
         * @return 200 for yes, 503 for no
         */
        public int httpStatus() {
            return ok ? 200 : 503;
        }
    }

    /** Notes that the host's loop turned; to be called every second or so from the loop itself. */
    public synchronized void beat() {
        lastBeatMs = clock.nowMs();
    }

    /**
     * Notes that a condition holds.
     *
     * @param condition the condition
     */
    public synchronized void holds(Condition condition) {
        reasons.remove(condition);
    }

    /**
     * Notes that a condition does not hold.
     *
     * @param condition the condition
     * @param reason a short sentence that says why
     */
    public synchronized void fails(Condition condition, String reason) {
        reasons.put(condition, reason);
    }

    /**
     * Returns whether the process works; when not, it should be replaced.
     *
     * @return the answer of the health endpoint
     */
    public synchronized Report alive() {
        long silentMs = clock.nowMs() - lastBeatMs;
        boolean ok = silentMs < STALL_LIMIT_MS;
        return new Report(ok, new JsonObject().put("alive", ok).put("silentMs", silentMs));
    }

    /**
     * Returns whether the host takes new requests.
     *
     * @return the answer of the ready endpoint, with the reasons when it does not
     */
    public synchronized Report ready() {
        JsonObject body = new JsonObject().put("ready", reasons.isEmpty());
        JsonObject why = new JsonObject();
        reasons.forEach((condition, reason) -> why.put(condition.name(), reason));
        return new Report(reasons.isEmpty(), reasons.isEmpty() ? body : body.put("reasons", why));
    }
}
