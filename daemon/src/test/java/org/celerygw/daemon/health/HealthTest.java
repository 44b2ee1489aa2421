package org.celerygw.daemon.health;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class HealthTest {
    private long nowMs = 1_000;
    private final Health health = new Health(() -> nowMs);

    @Test
    public void hostIsReadyOnlyWhileEveryConditionIsMet() {
        assertEquals(health.readiness().httpStatus(), 503);
        for (Health.Condition condition : Health.Condition.values()) {
            health.conditionMet(condition);
        }
        assertTrue(health.readiness().ok());
        health.conditionNotMet(Health.Condition.NOT_STOPPING, "a planned stop has begun");
        assertEquals(
                health.readiness().body().encode(),
                "{\"ready\":false,\"reasons\":{\"NOT_STOPPING\":\"a planned stop has begun\"}}");
    }

    @Test
    public void hostWithoutHeartbeatIsNotAlive() {
        health.recordHeartbeat();
        nowMs += Health.STALL_LIMIT_MS - 1;
        assertTrue(health.liveness().ok());
        nowMs += 1;
        assertFalse(health.liveness().ok());
    }
}
