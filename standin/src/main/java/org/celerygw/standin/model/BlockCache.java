package org.celerygw.standin.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The KV-cache blocks in an engine's memory. Blocks used by running calls are reference-counted; idle blocks are
 * evicted in the order of their last use.
 */
final class BlockCache {
    private final int capacityBlocks;
    private final Map<Long, Integer> referenceCounts = new HashMap<>();
    private final LinkedHashMap<Long, Double> idleSinceMs = new LinkedHashMap<>();
    private final List<Long> newlyStored = new ArrayList<>();
    private final List<Long> newlyEvicted = new ArrayList<>();
    private int partialBlocks;
    private boolean hasEvicted;

    BlockCache(int capacityBlocks) {
        this.capacityBlocks = capacityBlocks;
    }

    /** Returns how many leading blocks, up to the limit, are in memory. */
    int cachedPrefixBlocks(long[] hashes, int limitBlocks) {
        int cached = 0;
        while (cached < limitBlocks && contains(hashes[cached])) {
            cached++;
        }
        return cached;
    }

    private boolean contains(long hash) {
        return referenceCounts.containsKey(hash) || idleSinceMs.containsKey(hash);
    }

    /** Returns whether the call's blocks fit if every idle block may be evicted. */
    boolean fits(ModelCall call) {
        long newBlocks = 0;
        for (long hash : call.blockHashes) {
            newBlocks += referenceCounts.containsKey(hash) ? 0 : 1;
        }
        return referenceCounts.size() + partialBlocks + newBlocks + 1 <= capacityBlocks;
    }

    /** Marks a call's blocks as in use and evicts idle blocks that exceed the capacity. */
    void pin(ModelCall call) {
        for (long hash : call.blockHashes) {
            boolean wasIdle = idleSinceMs.remove(hash) != null;
            boolean isNew = referenceCounts.merge(hash, 1, Integer::sum) == 1 && !wasIdle;
            if (isNew) {
                newlyStored.add(hash);
            }
        }
        partialBlocks++;
        evictToCapacity();
    }

    private void evictToCapacity() {
        Iterator<Map.Entry<Long, Double>> oldest = idleSinceMs.entrySet().iterator();
        while (referenceCounts.size() + partialBlocks + idleSinceMs.size() > capacityBlocks && oldest.hasNext()) {
            Map.Entry<Long, Double> block = oldest.next();
            hasEvicted = true;
            newlyEvicted.add(block.getKey());
            oldest.remove();
        }
    }

    /** Releases a finished call's blocks; those no longer in use become idle, the end of the prompt evicted first. */
    void unpin(ModelCall call, double nowMs) {
        for (int i = call.blockHashes.length - 1; i >= 0; i--) {
            long hash = call.blockHashes[i];
            if (referenceCounts.merge(hash, -1, Integer::sum) > 0) {
                continue;
            }
            referenceCounts.remove(hash);
            idleSinceMs.put(hash, nowMs);
        }
        partialBlocks--;
    }

    /** Removes the blocks from the given index on that are idle, without reporting an eviction. */
    void dropIdle(long[] hashes, int fromBlock) {
        for (int i = fromBlock; i < hashes.length; i++) {
            idleSinceMs.remove(hashes[i]);
        }
    }

    /** Returns and clears the blocks stored since the last call. */
    List<Long> drainStored() {
        List<Long> drained = new ArrayList<>(newlyStored);
        newlyStored.clear();
        return drained;
    }

    /** Returns and clears the blocks evicted since the last call. */
    List<Long> drainEvicted() {
        List<Long> drained = new ArrayList<>(newlyEvicted);
        newlyEvicted.clear();
        return drained;
    }

    /** Returns how long the least recently used block has been idle; 0 until the first eviction, at least 1 after it. */
    double oldestIdleMs(double nowMs) {
        if (!hasEvicted) {
            return 0;
        }
        return idleSinceMs.isEmpty()
                ? 1
                : 1 + nowMs - idleSinceMs.values().iterator().next();
    }
}
