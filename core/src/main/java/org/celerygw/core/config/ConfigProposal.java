package org.celerygw.core.config;

import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.helper.Check;

/**
 * A configuration change that an operator proposes.
 *
 * @param content the complete new configuration
 * @param seenVersion the version on which the change is based; 0 for the first configuration
 * @param actor the name of the operator
 * @param reason the reason that the operator stated
 */
public record ConfigProposal(Configuration content, long seenVersion, String actor, String reason) {
    /**
     * Checks all fields except the content, which is validated when it is proposed.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when one is out of range
     */
    public ConfigProposal {
        Check.notNegative(seenVersion, "seenVersion");
        Check.name(actor, "actor");
        Check.that(reason.length() <= 2000, "reason must have at most 2000 characters");
    }
}
