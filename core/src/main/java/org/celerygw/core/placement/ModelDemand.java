package org.celerygw.core.placement;

import org.celerygw.core.helper.Check;
import org.celerygw.core.id.ModelName;

/**
 * How much a model is asked for.
 *
 * @param model the model, with adapter and version
 * @param engines the engines' worth of work offered, such as 2.4
 * @param minEngines the least engines that keep it loaded
 */
public record ModelDemand(ModelName model, double engines, int minEngines) {
    /**
     * Checks the numbers.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when one is negative
     */
    public ModelDemand {
        Check.that(engines >= 0, "engines must not be negative");
        Check.notNegative(minEngines, "minEngines");
    }
}
