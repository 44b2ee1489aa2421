package org.celerygw.standin.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The blocks in an engine's memory: those in use are counted, idle ones leave in the order of their last use. */
final class BlockCache {
    private final int capacity;
    private final Map<Long, Integer> inUse = new HashMap<>();
    private final LinkedHashMap<Long, Double> idle = new LinkedHashMap<>();
    private final List<Long> stored = new ArrayList<>();
    private final List<Long> evicted = new ArrayList<>();
    private int partial;
    private boolean everFull;

    BlockCache(int capacity) {
        this.capacity = capacity;
    }

    /** Returns how many leading blocks are in memory. */
    int match(long[] hashes, int limit) {
        int n = 0;
        while (n < limit && holds(hashes[n])) {
            n++;
        }
        return n;
    }

    private boolean holds(long hash) {
        return inUse.containsKey(hash) || idle.containsKey(hash);
    }

    /** Returns whether the call's blocks fit, when every idle block may go. */
    boolean fits(ModelCall call) {
        long fresh = 0;
        for (long hash : call.hashes) {
            fresh += inUse.containsKey(hash) ? 0 : 1;
        }
        return inUse.size() + partial + fresh + 1 <= capacity;
    }

    void take(ModelCall call) {
        for (long hash : call.hashes) {
            boolean held = idle.remove(hash) != null;
            boolean fresh = inUse.merge(hash, 1, Integer::sum) == 1 && !held;
            if (fresh) {
                stored.add(hash);
            }
        }
        partial++;
        shrink();
    }

    private void shrink() {
        Iterator<Map.Entry<Long, Double>> eldest = idle.entrySet().iterator();
        while (inUse.size() + partial + idle.size() > capacity && eldest.hasNext()) {
            Map.Entry<Long, Double> block = eldest.next();
            everFull = true;
            evicted.add(block.getKey());
            eldest.remove();
        }
    }

    /** Gives a call's blocks back; the deepest goes first when memory runs short. */
    void give(ModelCall call, double nowMs) {
        for (int i = call.hashes.length - 1; i >= 0; i--) {
            long hash = call.hashes[i];
            if (inUse.merge(hash, -1, Integer::sum) > 0) {
                continue;
            }
            inUse.remove(hash);
            idle.put(hash, nowMs);
        }
        partial--;
    }

    /** Drops the idle blocks among these. */
    void release(long[] hashes, int from) {
        for (int i = from; i < hashes.length; i++) {
            idle.remove(hashes[i]);
        }
    }

    List<Long> takeStored() {
        List<Long> taken = new ArrayList<>(stored);
        stored.clear();
        return taken;
    }

    List<Long> takeEvicted() {
        List<Long> taken = new ArrayList<>(evicted);
        evicted.clear();
        return taken;
    }

    /** Returns how long the oldest idle block has been idle; 0 while nothing was ever evicted. */
    double ageMs(double nowMs) {
        if (!everFull) {
            return 0;
        }
        return idle.isEmpty() ? 1 : 1 + nowMs - idle.values().iterator().next();
    }
}
