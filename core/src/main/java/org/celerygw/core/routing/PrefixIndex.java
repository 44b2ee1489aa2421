package org.celerygw.core.routing;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjIntConsumer;

/**
 * Which engines hold which prompt prefixes, from what this host started and from the engines' news. Only a sample
 * of the hashes is kept, and the last of each prompt that was started here.
 */
final class PrefixIndex {
    private static final int MAX_HOLDERS = 16;
    private static final int SWEEP_STEPS = 256;
    private static final long SWEEP_MS = 100;
    /** One hash in eight is kept: an engine's prefix is known to within some 500 tokens. */
    private static final long SAMPLE_MASK = 7;

    private final long idleMs;
    private long nextSweepMs;
    private final LinkedHashMap<Long, Holders> byHash = new LinkedHashMap<>();

    PrefixIndex(long idleMs) {
        this.idleMs = idleMs;
    }

    /** The engines that hold one prefix, the latest use of each. */
    private static final class Holders {
        private Engine[] engines = new Engine[2];
        private long[] usedMs = new long[2];
        private int size;
        private long lastMs;

        void put(Engine engine, long nowMs) {
            lastMs = nowMs;
            int at = indexOf(engine);
            if (at < 0) {
                at = size < MAX_HOLDERS ? grow() : oldest();
            }
            engines[at] = engine;
            usedMs[at] = nowMs;
        }

        private int grow() {
            if (size == engines.length) {
                engines = Arrays.copyOf(engines, size * 2);
                usedMs = Arrays.copyOf(usedMs, size * 2);
            }
            return size++;
        }

        private int oldest() {
            int at = 0;
            for (int i = 1; i < size; i++) {
                at = usedMs[i] < usedMs[at] ? i : at;
            }
            return at;
        }

        int indexOf(Engine engine) {
            for (int i = 0; i < size; i++) {
                if (engines[i] == engine) {
                    return i;
                }
            }
            return -1;
        }

        void remove(Engine engine) {
            int at = indexOf(engine);
            if (at < 0) {
                return;
            }
            size--;
            engines[at] = engines[size];
            usedMs[at] = usedMs[size];
        }

        boolean valid(int at, long nowMs) {
            Engine e = engines[at];
            long age = e.cacheAgeMs();
            return e.takesWork() && (age == 0 || nowMs - usedMs[at] <= age);
        }
    }

    /** Every host keeps the same part of all hashes, so that the engines' news can be filtered without looking up. */
    private static boolean sampled(long hash) {
        return (hash & SAMPLE_MASK) == 0;
    }

    /** An engine computes this prompt and so holds its prefix. */
    void add(List<Long> hashes, Engine engine, long nowMs) {
        for (int i = 0; i < hashes.size(); i++) {
            Long hash = hashes.get(i);
            if (i == hashes.size() - 1 || sampled(hash)) {
                put(hash, engine, nowMs);
            }
        }
        sweep(nowMs);
    }

    /** An engine has just finished with the prompt that ends in this hash. */
    void used(Long hash, Engine engine, long nowMs) {
        put(hash, engine, nowMs);
    }

    /** An engine says that it holds these blocks. */
    void added(List<Long> hashes, Engine engine, long nowMs) {
        for (Long hash : hashes) {
            if (sampled(hash)) {
                put(hash, engine, nowMs);
            }
        }
        sweep(nowMs);
    }

    private void put(Long hash, Engine engine, long nowMs) {
        byHash.computeIfAbsent(hash, h -> new Holders()).put(engine, nowMs);
    }

    /**
     * Calls back for each engine that holds a prefix of the prompt, with the blocks held; the longest comes first
     * and an engine may come again with fewer.
     */
    void match(List<Long> hashes, long nowMs, ObjIntConsumer<Engine> found) {
        for (int i = hashes.size() - 1; i >= 0; i--) {
            Long hash = hashes.get(i);
            if (i == hashes.size() - 1 || sampled(hash)) {
                report(hash, i + 1, nowMs, found);
            }
        }
    }

    private void report(Long hash, int blocks, long nowMs, ObjIntConsumer<Engine> found) {
        Holders holders = byHash.get(hash);
        if (holders == null) {
            return;
        }
        for (int i = 0; i < holders.size; i++) {
            if (holders.valid(i, nowMs)) {
                found.accept(holders.engines[i], blocks);
            }
        }
    }

    boolean holds(Long hash, Engine engine, long nowMs) {
        Holders holders = byHash.get(hash);
        int at = holders == null ? -1 : holders.indexOf(engine);
        return at >= 0 && holders.valid(at, nowMs);
    }

    void removed(Engine engine, List<Long> hashes) {
        for (Long hash : hashes) {
            Holders holders = byHash.get(hash);
            if (holders != null) {
                holders.remove(engine);
            }
        }
    }

    /** Looks at a few of the oldest entries: those idle go, those in use get another turn. */
    private void sweep(long nowMs) {
        if (nowMs < nextSweepMs || byHash.isEmpty()) {
            return;
        }
        for (int i = 0; i < SWEEP_STEPS && !byHash.isEmpty(); i++) {
            Map.Entry<Long, Holders> eldest = byHash.entrySet().iterator().next();
            byHash.remove(eldest.getKey());
            if (nowMs - eldest.getValue().lastMs < idleMs) {
                byHash.put(eldest.getKey(), eldest.getValue());
            }
        }
        nextSweepMs = nowMs + SWEEP_MS;
    }
}
