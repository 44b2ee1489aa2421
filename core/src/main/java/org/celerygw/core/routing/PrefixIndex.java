package org.celerygw.core.routing;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjIntConsumer;

/**
 * Index of the prompt prefixes that engines hold in their caches, built from the calls that this host started and from
 * the engines' cache events. It contains only a sample of the hashes, and the last hash of each prompt started here.
 */
final class PrefixIndex {
    private static final int MAX_ENGINES_PER_PREFIX = 16;
    private static final int SWEEP_MAX_ENTRIES = 256;
    private static final long SWEEP_INTERVAL_MS = 100;
    /** One hash in eight is indexed, so the length of a cached prefix is known to within about 500 tokens. */
    private static final long SAMPLE_MASK = 7;

    private final long idleTimeoutMs;
    private long nextSweepAtMs;
    private final LinkedHashMap<Long, Holders> holdersByHash = new LinkedHashMap<>();

    PrefixIndex(long idleTimeoutMs) {
        this.idleTimeoutMs = idleTimeoutMs;
    }

    /** The engines that hold one prefix, with the time of the last use on each. */
    private static final class Holders {
        private EngineState[] engines = new EngineState[2];
        private long[] usedAtMs = new long[2];
        private int size;
        private long lastUsedAtMs;

        void put(EngineState engine, long nowMs) {
            lastUsedAtMs = nowMs;
            int index = indexOf(engine);
            if (index < 0) {
                index = size < MAX_ENGINES_PER_PREFIX ? appendSlot() : leastRecentlyUsed();
            }
            engines[index] = engine;
            usedAtMs[index] = nowMs;
        }

        private int appendSlot() {
            if (size == engines.length) {
                engines = Arrays.copyOf(engines, size * 2);
                usedAtMs = Arrays.copyOf(usedAtMs, size * 2);
            }
            return size++;
        }

        private int leastRecentlyUsed() {
            int oldest = 0;
            for (int i = 1; i < size; i++) {
                oldest = usedAtMs[i] < usedAtMs[oldest] ? i : oldest;
            }
            return oldest;
        }

        int indexOf(EngineState engine) {
            for (int i = 0; i < size; i++) {
                if (engines[i] == engine) {
                    return i;
                }
            }
            return -1;
        }

        void remove(EngineState engine) {
            int index = indexOf(engine);
            if (index < 0) {
                return;
            }
            size--;
            engines[index] = engines[size];
            usedAtMs[index] = usedAtMs[size];
        }

        /** Returns whether an engine is usable and its last use is too recent for the prefix to have been evicted. */
        boolean isValid(int index, long nowMs) {
            EngineState engine = engines[index];
            long evictionIdleMs = engine.evictionIdleMs();
            return engine.acceptsWork() && (evictionIdleMs == 0 || nowMs - usedAtMs[index] <= evictionIdleMs);
        }
    }

    /** Every host samples the same hashes, so that the engines' cache events can be filtered without a lookup. */
    private static boolean isSampled(long hash) {
        return (hash & SAMPLE_MASK) == 0;
    }

    /** Adds the hashes of a prompt that an engine starts to compute, and so holds in its cache. */
    void promptStarted(List<Long> hashes, EngineState engine, long nowMs) {
        for (int i = 0; i < hashes.size(); i++) {
            Long hash = hashes.get(i);
            if (i == hashes.size() - 1 || isSampled(hash)) {
                put(hash, engine, nowMs);
            }
        }
        removeIdle(nowMs);
    }

    /** Records that an engine has just completed a call whose prompt ends in this hash. */
    void promptUsed(Long hash, EngineState engine, long nowMs) {
        put(hash, engine, nowMs);
    }

    /** Adds the blocks that an engine reported as cached. */
    void blocksAdded(List<Long> hashes, EngineState engine, long nowMs) {
        for (Long hash : hashes) {
            if (isSampled(hash)) {
                put(hash, engine, nowMs);
            }
        }
        removeIdle(nowMs);
    }

    private void put(Long hash, EngineState engine, long nowMs) {
        holdersByHash.computeIfAbsent(hash, h -> new Holders()).put(engine, nowMs);
    }

    /**
     * Calls the consumer with each engine that holds a prefix of the prompt and the length of that prefix in blocks.
     * Longer prefixes are reported first; an engine may be reported again with a shorter one.
     */
    void forEachMatch(List<Long> hashes, long nowMs, ObjIntConsumer<EngineState> consumer) {
        for (int i = hashes.size() - 1; i >= 0; i--) {
            Long hash = hashes.get(i);
            if (i == hashes.size() - 1 || isSampled(hash)) {
                reportHolders(hash, i + 1, nowMs, consumer);
            }
        }
    }

    private void reportHolders(Long hash, int blocks, long nowMs, ObjIntConsumer<EngineState> consumer) {
        Holders holders = holdersByHash.get(hash);
        if (holders == null) {
            return;
        }
        for (int i = 0; i < holders.size; i++) {
            if (holders.isValid(i, nowMs)) {
                consumer.accept(holders.engines[i], blocks);
            }
        }
    }

    boolean holds(Long hash, EngineState engine, long nowMs) {
        Holders holders = holdersByHash.get(hash);
        int index = holders == null ? -1 : holders.indexOf(engine);
        return index >= 0 && holders.isValid(index, nowMs);
    }

    /** Removes the blocks that an engine reported as evicted. */
    void blocksRemoved(EngineState engine, List<Long> hashes) {
        for (Long hash : hashes) {
            Holders holders = holdersByHash.get(hash);
            if (holders != null) {
                holders.remove(engine);
            }
        }
    }

    /** Checks some of the oldest entries: removes those that are idle and moves those in use to the end. */
    private void removeIdle(long nowMs) {
        if (nowMs < nextSweepAtMs || holdersByHash.isEmpty()) {
            return;
        }
        for (int i = 0; i < SWEEP_MAX_ENTRIES && !holdersByHash.isEmpty(); i++) {
            Map.Entry<Long, Holders> eldest =
                    holdersByHash.entrySet().iterator().next();
            holdersByHash.remove(eldest.getKey());
            if (nowMs - eldest.getValue().lastUsedAtMs < idleTimeoutMs) {
                holdersByHash.put(eldest.getKey(), eldest.getValue());
            }
        }
        nextSweepAtMs = nowMs + SWEEP_INTERVAL_MS;
    }
}
