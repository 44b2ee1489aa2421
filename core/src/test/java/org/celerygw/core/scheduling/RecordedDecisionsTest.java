package org.celerygw.core.scheduling;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Guards against a change of order or refusals where no customers compete. */
public class RecordedDecisionsTest {
    @Test
    public void decisionsWithoutCustomersAreThoseRecordedBeforeFairQueueing() {
        SimulatedHosts fleet = new SimulatedHosts(new SimulatedHosts.Options(10, 6, 8, true, true, 0)).run(1.5, 20_000);
        long waits = fleet.engineWaitsMs.hashCode();
        assertEquals(
                fleet.inTime + " " + fleet.late + " " + fleet.refused + " " + fleet.engineWaitsMs.size() + " " + waits,
                "432 203 0 4047 1360850750");
    }
}
