package org.celerygw.core.routing;

import java.util.List;

/**
 * A batch of changes to an engine's prefix cache, published late.
 *
 * @param sequence the batch's number at the engine; a number left out means a lost batch
 * @param removed hashes of blocks that were evicted
 */
public record CacheEvents(long sequence, List<Long> removed) {
    /** Copies the list. */
    public CacheEvents {
        removed = List.copyOf(removed);
    }
}
