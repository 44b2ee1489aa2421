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

/** An engine's prefix cache: blocks by hash, the least recently used one evicted first unless a program holds it. */
final class PrefixCache {
    private final int capacityBlocks;
    private final CacheEvents events;
    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<String, Set<Long>> held = new TreeMap<>();
    private final Map<Long, Integer> holders = new HashMap<>();

    PrefixCache(int capacityBlocks, CacheEvents events) {
        this.capacityBlocks = capacityBlocks;
        this.events = events;
    }

    /** Returns how many leading blocks are cached. */
    int hits(List<Long> hashes) {
        return (int) hashes.stream().takeWhile(blocks::containsKey).count();
    }

    /** Stores blocks as far as there is room; a program that is named holds them until its release. */
    void store(List<Long> hashes, String program) {
        // The last block goes first so that eviction takes a prompt's end before its beginning.
        List<Long> reversed = new ArrayList<>(hashes);
        Collections.reverse(reversed);
        reversed.forEach(this::storeBlock);
        if (!program.isEmpty()) {
            hold(hashes, program);
        }
    }

    /** Returns how many blocks a program held until now. */
    int release(String program) {
        Set<Long> released = held.remove(program);
        if (released == null) {
            return 0;
        }
        released.forEach(hash -> holders.computeIfPresent(hash, (h, n) -> n == 1 ? null : n - 1));
        return released.size();
    }

    /** Returns for each program that holds memory how many blocks. */
    Map<String, Integer> held() {
        Map<String, Integer> counts = new TreeMap<>();
        held.forEach((program, hashes) -> counts.put(program, hashes.size()));
        return counts;
    }

    List<Long> present(List<Long> hashes) {
        return hashes.stream().filter(blocks::containsKey).toList();
    }

    int size() {
        return blocks.size();
    }

    private void storeBlock(Long hash) {
        if (blocks.get(hash) != null) {
            return;
        }
        if (blocks.size() >= capacityBlocks && !evictOne()) {
            return;
        }
        blocks.put(hash, true);
        events.add("stored", hash);
    }

    private boolean evictOne() {
        Long victim = blocks.keySet().stream()
                .filter(hash -> !holders.containsKey(hash))
                .findFirst()
                .orElse(null);
        if (victim == null) {
            return false;
        }
        blocks.remove(victim);
        events.add("removed", victim);
        return true;
    }

    private void hold(List<Long> hashes, String program) {
        Set<Long> mine = held.computeIfAbsent(program, p -> new HashSet<>());
        present(hashes).stream().filter(mine::add).forEach(hash -> holders.merge(hash, 1, Integer::sum));
    }
}
