package org.celerygw.core.routing;

import java.util.Set;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.ModelName;

/**
 * An engine of the configuration.
 *
 * @param id the id of one incarnation of the engine; a restarted engine has another id
 * @param zone the availability zone in which the engine runs
 * @param models the loaded models, with adapter and version
 * @param leaving true when the engine accepts no new calls
 */
public record EngineInfo(BackendServerId id, AvailabilityZone zone, Set<ModelName> models, boolean leaving) {
    /** Makes an immutable copy of the set. */
    public EngineInfo {
        models = Set.copyOf(models);
    }
}
