package org.celerygw.daemon.health;

import io.vertx.core.json.JsonObject;
import java.util.EnumMap;
import java.util.Map;
import org.celerygw.core.time.Clock;

/** Tracks liveness and readiness of a host for the health and ready endpoints. Thread-safe. */
public final class Health {
    /** A host whose event loop recorded no heartbeat for this long is not alive. */
    static final long STALL_LIMIT_MS = 10_000;

    private final Clock clock;
    private final Map<Condition, String> unmetReasons = new EnumMap<>(Condition.class);
    private long lastHeartbeatMs;

    /**
     * Creates the state of a host that is alive but not ready: no condition is met yet.
     *
     * @param clock the source of the time of heartbeats
     */
    public Health(Clock clock) {
        this.clock = clock;
        this.lastHeartbeatMs = clock.nowMs();
        for (Condition condition : Condition.values()) {
            unmetReasons.put(condition, "not yet known");
        }
    }

    /** Conditions that must all be met before a host accepts new requests. */
    public enum Condition {
        /** The ports for callers, operators and peers are open. */
        LISTENING,
        /** A configuration is active. */
        CONFIGURED,
        /** The host has joined the membership and can look up slot owners. */
        JOINED,
        /** No graceful shutdown has begun. */
        NOT_STOPPING
    }

    /**
     * The response of the health or the ready endpoint.
     *
     * @param ok whether the host is alive or ready, respectively
     * @param body the JSON body of the response
     */
    public record Report(boolean ok, JsonObject body) {
        /**
         * Returns the HTTP status.
         *
         * @return 200 when {@link #ok} is true, else 503
         */
        public int httpStatus() {
            return ok ? 200 : 503;
        }
    }

    /** Records that the host's event loop is running; must be called about every second, on that loop. */
    public synchronized void recordHeartbeat() {
        lastHeartbeatMs = clock.nowMs();
    }

    /**
     * Records that a condition is met.
     *
     * @param condition the condition that no longer prevents readiness
     */
    public synchronized void conditionMet(Condition condition) {
        unmetReasons.remove(condition);
    }

    /**
     * Records that a condition is not met; the host is not ready until it is.
     *
     * @param condition the condition that prevents readiness
     * @param reason a short explanation, which the ready endpoint returns
     */
    public synchronized void conditionNotMet(Condition condition, String reason) {
        unmetReasons.put(condition, reason);
    }

    /**
     * Returns whether the event loop is running; a process that is not alive should be replaced.
     *
     * @return the response of the health endpoint, with the time since the last heartbeat
     */
    public synchronized Report liveness() {
        long sinceHeartbeatMs = clock.nowMs() - lastHeartbeatMs;
        boolean ok = sinceHeartbeatMs < STALL_LIMIT_MS;
        return new Report(ok, new JsonObject().put("alive", ok).put("silentMs", sinceHeartbeatMs));
    }

    /**
     * Returns whether the host accepts new requests.
     *
     * @return the response of the ready endpoint, with a reason for each unmet condition
     */
    public synchronized Report readiness() {
        JsonObject body = new JsonObject().put("ready", unmetReasons.isEmpty());
        JsonObject reasons = new JsonObject();
        unmetReasons.forEach((condition, reason) -> reasons.put(condition.name(), reason));
        return new Report(unmetReasons.isEmpty(), unmetReasons.isEmpty() ? body : body.put("reasons", reasons));
    }
}
