package org.celerygw.cli.bench;

import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.standin.fleet.SimulatedFleet;

/** Makes the fleets that experiments start from. */
final class Fleets {
    private static final int ZONES = 11;
    private static final long JOIN_LIMIT_MS = 300_000;
    private static final long SETTLE_MS = 120_000;

    private Fleets() {}

    /** A fleet that has found itself and whose news of the start has faded. */
    static SimulatedFleet settled(long seed, int members) {
        SimulatedFleet fleet = new SimulatedFleet(seed, ZONES);
        fleet.startNodes(members);
        if (fleet.runUntil(fleet::hasConverged, JOIN_LIMIT_MS) < 0) {
            throw new GatewayException(ErrorCode.INTERNAL, "the fleet did not find itself");
        }
        fleet.refreshHostList();
        fleet.runForMs(SETTLE_MS);
        return fleet;
    }
}
