package org.celerygw.core.config;

import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.helper.Check;

/**
 * A change of the configuration that an operator asks for.
 *
 * @param content the whole new configuration
 * @param seenVersion the version that the operator saw and changed; 0 for the very first
 * @param actor who asks
 * @param reason why
 */
public record Proposal(Configuration content, long seenVersion, String actor, String reason) {
    /**
     * Checks the fields other than the content.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when one is out of range
     */
    public Proposal {
        Check.notNegative(seenVersion, "seenVersion");
        Check.name(actor, "actor");
        Check.that(reason.length() <= 2000, "reason must have at most 2000 characters");
    }
}
