package org.celerygw.core.routing;

import java.util.Set;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.ModelName;

/**
 * An engine as the configuration knows it.
 *
 * @param id one incarnation of the engine; a restarted one has another id
 * @param zone where it runs
 * @param models the models that it has loaded, with adapter and version
 * @param leaving true when it takes no new work
 */
public record EngineInfo(BackendServerId id, AvailabilityZone zone, Set<ModelName> models, boolean leaving) {
    /** Copies the set. */
    public EngineInfo {
        models = Set.copyOf(models);
    }
}
