package org.celerygw.core.scheduling;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Load pattern: a burst of all kinds of programs asks for more than the engines can do for longer than any queue can
 * bridge. Without a queue nearly every program is late; with one, most of those that there is room for are in time. A
 * client that is refused comes back several times, as after an outage.
 */
public class OverloadTest {
    private static final double DURATION_MS = 40_000;
    /** A full engine takes this much longer for a request than an idle one. */
    private static final double FULL_BATCH_FACTOR = 1.25;

    /** The target for a flood of several times the load. */
    private static final double MIN_SHARE_OF_ROOM = 0.6;

    @DataProvider
    public Object[][] overloads() {
        return new Object[][] {{0.85}, {1.0}, {1.5}};
    }

    @Test(dataProvider = "overloads")
    public void mostProgramsThatThereIsRoomForAreInTime(double utilization) {
        double room = 1 / (utilization * FULL_BATCH_FACTOR);
        double inTime = new SimulatedHosts(new SimulatedHosts.Options(10, 6, 8, true, true, 0))
                .run(utilization, DURATION_MS)
                .shareInTime();
        assertTrue(inTime >= MIN_SHARE_OF_ROOM * room, "in time: " + inTime + ", there is room for " + room);
    }

    @Test
    public void nothingIsRefusedWhileThereIsRoom() {
        SimulatedHosts fleet =
                new SimulatedHosts(new SimulatedHosts.Options(10, 6, 8, true, true, 0)).run(0.6, DURATION_MS);
        assertTrue(fleet.refused == 0 && fleet.shareInTime() > 0.99, "in time: " + fleet.shareInTime());
    }
}
