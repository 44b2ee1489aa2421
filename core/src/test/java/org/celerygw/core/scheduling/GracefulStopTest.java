package org.celerygw.core.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.celerygw.core.scheduling.GracefulStop.Prospect;
import org.testng.annotations.Test;

/** Guards against requests that are taken late in a planned stop and cut at its end. */
public final class GracefulStopTest {
    private static final long START_MS = 1_000;
    private static final long GRACE_MS = 8_000;
    private static final long END_MS = START_MS + 7_300;

    private final GracefulStop stop = new GracefulStop(START_MS, GRACE_MS);

    @Test
    public void connectionsAreAcceptedUntilTheBalancerHasNoticed() {
        assertTrue(stop.acceptsConnections(START_MS + 3_199));
        assertFalse(stop.acceptsConnections(START_MS + 3_200));
        assertFalse(stop.isNoticed(START_MS + 2_299));
        assertTrue(stop.isNoticed(START_MS + 2_300));
        assertFalse(new GracefulStop(START_MS, 4_000).acceptsConnections(START_MS + 2_000));
        assertTrue(new GracefulStop(START_MS, 4_000).isNoticed(START_MS + 2_000));
    }

    @Test
    public void answersAreSentBeforeTheProcessMayBeKilled() {
        assertEquals(stop.answerUntilMs(), END_MS);
        assertEquals(new GracefulStop(START_MS, 1_000).answerUntilMs(), START_MS + 500);
    }

    @Test
    public void requestIsTakenOnlyIfItCanProbablyBeAnswered() {
        long laterMs = START_MS + 20_000;
        assertEquals(stop.prospect(START_MS + 2_000, laterMs, 300, true), Prospect.PROBABLE);
        assertEquals(stop.prospect(START_MS + 2_000, laterMs, 1_400, false), Prospect.DOUBTFUL);
        assertEquals(stop.prospect(START_MS + 2_000, laterMs, 1_400, true), Prospect.PROBABLE);
        assertEquals(stop.prospect(START_MS + 2_000, laterMs, 2_700, true), Prospect.DOUBTFUL);
        assertEquals(stop.prospect(START_MS + 6_500, laterMs, 300, false), Prospect.DOUBTFUL);
        assertEquals(stop.prospect(END_MS, laterMs, 0, true), Prospect.DOUBTFUL);
    }

    /** Guards against a request that lasts far longer than the average of its route and is cut at the end of the stop. */
    @Test
    public void averageDoesNotDecideOnceTheBalancerHasNoticed() {
        for (long nowMs = START_MS + 2_300; nowMs < END_MS; nowMs += 50) {
            assertEquals(stop.prospect(nowMs, END_MS, 30, false), Prospect.CERTAIN);
            assertEquals(stop.prospect(nowMs, END_MS + 1, 30, true), Prospect.DOUBTFUL);
        }
    }

    @Test
    public void graceOfAnyLengthTakesOnlyWhatEndsInIt() {
        for (long graceMs : new long[] {1_000, 2_000, 4_000, 8_000, 30_000}) {
            GracefulStop other = new GracefulStop(START_MS, graceMs);
            long lateMs = START_MS + Math.min(2_300, graceMs / 2);
            assertEquals(other.prospect(lateMs, other.answerUntilMs() + 1, 0, true), Prospect.DOUBTFUL);
            assertEquals(other.prospect(lateMs, other.answerUntilMs(), 9_999, false), Prospect.CERTAIN);
        }
    }
}
