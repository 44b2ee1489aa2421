package org.celerygw.core.config;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * How a proposal ended.
 *
 * @param status what became of it
 * @param config when accepted, the new version; in a conflict, the version that stands instead, if it could be read
 * @param problems when refused as invalid, everything that is wrong
 */
public record AcceptResult(Status status, @Nullable AcceptedConfig config, List<ConfigProblem> problems) {
    /** What became of a proposal. */
    public enum Status {
        /** It is the newest version now. */
        ACCEPTED,
        /** Another version than the one seen is the newest; nothing was written. */
        CONFLICT,
        /** The content is wrong; nothing was written. */
        INVALID,
        /** The version to restore does not exist; nothing was written. */
        NOT_FOUND,
        /** The store does not answer; nothing was written. */
        UNAVAILABLE,
        /** The store lost its answer and could not be asked again in time: the proposal may stand. */
        UNKNOWN
    }

    /** Copies the list. */
    public AcceptResult {
        problems = List.copyOf(problems);
    }

    static AcceptResult of(Status status) {
        return new AcceptResult(status, null, List.of());
    }

    static AcceptResult of(Status status, @Nullable AcceptedConfig config) {
        return new AcceptResult(status, config, List.of());
    }
}
