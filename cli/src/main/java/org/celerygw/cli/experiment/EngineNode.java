package org.celerygw.cli.experiment;

import java.util.HashMap;
import java.util.Map;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.standin.model.EngineModel;

/** A modelled engine in the simulation. */
final class EngineNode {
    final BackendServerId id;
    final AvailabilityZone zone;
    final int index;
    final EngineModel model;
    final Map<Long, SimCall> calls = new HashMap<>();
    boolean alive = true;
    boolean listed = true;
    boolean stepping;
    long eventBatches;

    EngineNode(int index, int incarnation, AvailabilityZone zone, EngineModel model) {
        this.id = new BackendServerId("e" + index + "." + incarnation);
        this.index = index;
        this.zone = zone;
        this.model = model;
    }
}
