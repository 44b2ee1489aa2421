package org.celerygw.standin;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The prefix cache of an engine: blocks by hash, evicted in LRU order; a block that a program holds is not evicted. */
final class PrefixCache {
    private final int capacityBlocks;
    private final CacheEventLog events;
    private final LinkedHashMap<Long, Boolean> cachedBlocks = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<String, Set<Long>> hashesByProgram = new TreeMap<>();
    private final Map<Long, Integer> holderCounts = new HashMap<>();

    PrefixCache(int capacityBlocks, CacheEventLog events) {
        this.capacityBlocks = capacityBlocks;
        this.events = events;
    }

    /** Returns how many leading blocks are cached. */
    int cachedPrefixBlocks(List<Long> hashes) {
        return (int) hashes.stream().takeWhile(cachedBlocks::containsKey).count();
    }

    /** Stores the blocks for which there is room; a program, unless empty, holds them until its release. */
    void store(List<Long> hashes, String program) {
        // Stores the last block first so that LRU eviction removes the end of a prompt before its beginning.
        List<Long> reversed = new ArrayList<>(hashes);
        Collections.reverse(reversed);
        reversed.forEach(this::storeBlock);
        if (!program.isEmpty()) {
            hold(hashes, program);
        }
    }

    /** Ends a program's hold on its blocks and returns how many it held. */
    int release(String program) {
        Set<Long> released = hashesByProgram.remove(program);
        if (released == null) {
            return 0;
        }
        released.forEach(hash -> holderCounts.computeIfPresent(hash, (key, count) -> count == 1 ? null : count - 1));
        return released.size();
    }

    /** Returns the number of held blocks for each program that holds any. */
    Map<String, Integer> heldBlockCounts() {
        Map<String, Integer> counts = new TreeMap<>();
        hashesByProgram.forEach((program, hashes) -> counts.put(program, hashes.size()));
        return counts;
    }

    /** Returns those of the hashes whose blocks are cached. */
    List<Long> cachedOf(List<Long> hashes) {
        return hashes.stream().filter(cachedBlocks::containsKey).toList();
    }

    int size() {
        return cachedBlocks.size();
    }

    private void storeBlock(Long hash) {
        if (cachedBlocks.get(hash) != null) {
            return;
        }
        if (cachedBlocks.size() >= capacityBlocks && !evictOne()) {
            return;
        }
        cachedBlocks.put(hash, true);
        events.append("stored", hash);
    }

    private boolean evictOne() {
        Long victim = cachedBlocks.keySet().stream()
                .filter(hash -> !holderCounts.containsKey(hash))
                .findFirst()
                .orElse(null);
        if (victim == null) {
            return false;
        }
        cachedBlocks.remove(victim);
        events.append("removed", victim);
        return true;
    }

    private void hold(List<Long> hashes, String program) {
        Set<Long> programHashes = hashesByProgram.computeIfAbsent(program, key -> new HashSet<>());
        cachedOf(hashes).stream().filter(programHashes::add).forEach(hash -> holderCounts.merge(hash, 1, Integer::sum));
    }
}
