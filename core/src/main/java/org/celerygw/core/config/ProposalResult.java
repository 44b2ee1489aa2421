package org.celerygw.core.config;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The result of a proposal.
 *
 * @param status the outcome
 * @param config the new version when accepted; the competing accepted version after a conflict, if it could be read
 * @param problems all problems of an invalid proposal, otherwise empty
 */
public record ProposalResult(Status status, @Nullable AcceptedConfig config, List<ConfigProblem> problems) {
    /** The outcome of a proposal. */
    public enum Status {
        /** The proposal was accepted as the newest version. */
        ACCEPTED,
        /** The newest version is not the one that the proposal was based on; nothing was written. */
        CONFLICT,
        /** The content is invalid; nothing was written. */
        INVALID,
        /** The version to restore does not exist; nothing was written. */
        NOT_FOUND,
        /** The store did not respond before the deadline; nothing was written. */
        UNAVAILABLE,
        /**
         * The response to the write was lost and the outcome could not be determined in time; it may have been
         * accepted.
         */
        UNKNOWN
    }

    /** Makes an immutable copy of the list. */
    public ProposalResult {
        problems = List.copyOf(problems);
    }

    static ProposalResult of(Status status) {
        return new ProposalResult(status, null, List.of());
    }

    static ProposalResult of(Status status, @Nullable AcceptedConfig config) {
        return new ProposalResult(status, config, List.of());
    }
}
