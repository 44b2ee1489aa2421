package org.celerygw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.celerygw.daemon.settings.Settings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class GracefulStopTest {
    private static final long TIMEOUT_MS = 60_000;

    private Vertx vertx;
    private RecordingSteps steps;
    private GracefulStop stop;
    private long nowMs;

    private static final class RecordingSteps implements GracefulStop.Steps {
        final CountDownLatch handoverStarted = new CountDownLatch(1);
        int requestsInFlight;
        long requestsReceived;
        int endCallsCount;
        int closeCount;

        @Override
        public void reportNotReady() {}

        @Override
        public void startSlotHandover() {
            handoverStarted.countDown();
        }

        @Override
        public boolean isSlotHandoverComplete() {
            return true;
        }

        @Override
        public int requestsInFlight() {
            return requestsInFlight;
        }

        @Override
        public long requestsReceived() {
            return requestsReceived;
        }

        @Override
        public void endCalls() {
            assertEquals(closeCount, 0);
            endCallsCount++;
        }

        @Override
        public void close() {
            closeCount++;
        }
    }

    @BeforeMethod
    public void beginStop() throws InterruptedException {
        vertx = Vertx.vertx();
        steps = new RecordingSteps();
        nowMs = 1_000_000;
        stop = new GracefulStop(vertx, new Settings.Stop(1, TIMEOUT_MS), () -> nowMs, steps);
        stop.begin();
        assertTrue(steps.handoverStarted.await(20, TimeUnit.SECONDS));
    }

    @AfterMethod
    public void closeVertx() {
        vertx.close().await();
    }

    private void tickAfter(long ms) {
        nowMs += ms;
        stop.tick();
    }

    /** A request that was sent before its client noticed the stop arrives when the host is already idle. */
    @Test
    public void requestThatArrivesWhenTheHostIsIdlePostponesTheClose() {
        tickAfter(300);
        steps.requestsReceived++;
        tickAfter(300);
        tickAfter(300);
        assertEquals(steps.closeCount, 0);
        tickAfter(300);
        assertEquals(steps.closeCount, 1);
    }

    @Test
    public void closesOnlyAfterTheRequestsInFlightHaveEnded() {
        steps.requestsInFlight = 1;
        tickAfter(5_000);
        assertEquals(steps.closeCount, 0);
        steps.requestsInFlight = 0;
        tickAfter(100);
        tickAfter(500);
        assertEquals(steps.closeCount, 1);
        assertEquals(steps.endCallsCount, 0);
        assertTrue(stop.hasBegun());
    }

    @Test
    public void timeLimitEndsTheWait() {
        steps.requestsInFlight = 1;
        tickAfter(TIMEOUT_MS - 1);
        assertFalse(steps.closeCount > 0);
        tickAfter(1);
        assertEquals(steps.closeCount, 1);
        assertEquals(steps.endCallsCount, 1);
    }
}
