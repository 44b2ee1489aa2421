package org.celerygw.core.routing;

import java.util.List;

/**
 * A batch of changes to an engine's prefix cache. The engine publishes it some time after the changes happened.
 *
 * @param sequence the number that the engine gave the batch; a gap in the numbers means that a batch was lost
 * @param addedHashes hashes of the blocks that the cache now holds
 * @param removedHashes hashes of the blocks that were evicted
 */
public record CacheEvents(long sequence, List<Long> addedHashes, List<Long> removedHashes) {
    /** Makes immutable copies of the lists. */
    public CacheEvents {
        addedHashes = List.copyOf(addedHashes);
        removedHashes = List.copyOf(removedHashes);
    }
}
