package org.celerygw.core.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards against requests that are taken late in a planned stop and cut at its end. */
public final class GracefulStopTest {
    private static final long START_MS = 1_000;

    private final GracefulStop stop = new GracefulStop(START_MS, 8_000);

    @Test
    public void connectionsAreAcceptedUntilTheBalancerHasNoticed() {
        assertTrue(stop.acceptsConnections(START_MS + 3_199));
        assertFalse(stop.acceptsConnections(START_MS + 3_200));
        assertFalse(new GracefulStop(START_MS, 4_000).acceptsConnections(START_MS + 2_000));
    }

    @Test
    public void answersAreSentBeforeTheProcessMayBeKilled() {
        assertEquals(stop.answerUntilMs(), START_MS + 7_300);
        assertEquals(new GracefulStop(START_MS, 1_000).answerUntilMs(), START_MS + 500);
    }

    @Test
    public void requestIsTakenOnlyIfItCanProbablyBeAnswered() {
        assertTrue(stop.canAnswer(START_MS + 6_500, 300, true));
        assertFalse(stop.canAnswer(START_MS + 6_500, 300, false));
        assertTrue(stop.canAnswer(START_MS + 5_900, 300, false));
        assertFalse(stop.canAnswer(START_MS + 7_300, 0, true));
    }
}
