package org.celerygw.gateway.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class LogRateLimiterTest {
    @Test
    public void dropsAndCountsLinesAboveTheLimitOfTheirLevel() {
        LogRateLimiter limiter = new LogRateLimiter(2, 3);
        assertTrue(limiter.tryAcquire("sent", false, 0));
        assertTrue(limiter.tryAcquire("sent", false, 10));
        assertFalse(limiter.tryAcquire("sent", false, 20));
        assertTrue(limiter.tryAcquire("refused", true, 30));
        assertTrue(limiter.tryAcquire("refused", true, 40));
        assertTrue(limiter.tryAcquire("refused", true, 50));
        assertFalse(limiter.tryAcquire("refused", true, 60));
        assertEquals(limiter.takeDroppedCount(), 2);
        assertEquals(limiter.takeDroppedCount(), 0);
        assertTrue(limiter.tryAcquire("sent", false, 1_000));
    }
}
