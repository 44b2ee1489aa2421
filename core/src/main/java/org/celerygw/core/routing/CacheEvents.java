package org.celerygw.core.routing;

import java.util.List;

/**
 * A batch of changes to an engine's prefix cache, published late.
 *
 * @param sequence the batch's number at the engine; a number left out means a lost batch
 * @param added hashes of blocks that are now held
 * @param removed hashes of blocks that were evicted
 */
public record CacheEvents(long sequence, List<Long> added, List<Long> removed) {
    /** Copies the lists. */
    public CacheEvents {
        added = List.copyOf(added);
        removed = List.copyOf(removed);
    }
}
