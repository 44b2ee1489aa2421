package org.celerygw.core.servers;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Lets requests spill over to engines of other groups and zones. */
final class Spillover {
    Optional<TrackedServer> select(
            Optional<TrackedServer> own,
            List<TrackedServer> others,
            Placement placement,
            Predicate<TrackedServer> hasRoom,
            long nowMs) {
        return own;
    }
}
