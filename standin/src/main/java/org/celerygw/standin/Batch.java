package org.celerygw.standin;

import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;

/** An engine's continuous batching: in every step each running request computes prompt or one token of its answer. */
final class Batch {
    private static final long RETAIN_MS = 60_000;
    private static final int SWEEP_EVERY = 256;
    private static final Comparator<Sequence> ORDER =
            Comparator.<Sequence>comparingInt(s -> s.priority).thenComparingLong(s -> s.arrival);

    private final EngineOptions options;
    private final PrefixCache cache;
    private final PriorityQueue<Sequence> waiting = new PriorityQueue<>(ORDER);
    private final List<Sequence> running = new ArrayList<>();
    private final Map<String, Sequence> byId = new HashMap<>();
    private long arrivals;

    Batch(EngineOptions options, PrefixCache cache) {
        this.options = options;
        this.cache = cache;
    }

    boolean isFull() {
        return waiting.size() >= options.maxWaiting();
    }

    boolean isIdle() {
        return waiting.isEmpty() && running.isEmpty();
    }

    long nextArrival() {
        return ++arrivals;
    }

    @Nullable
    Sequence find(String id) {
        return byId.get(id);
    }

    void submit(Sequence sequence) {
        byId.put(sequence.id, sequence);
        waiting.add(sequence);
        if (arrivals % SWEEP_EVERY == 0) {
            sweep(System.currentTimeMillis());
        }
    }

    /** Returns whether the request was under way. */
    boolean cancel(String id, long nowMs) {
        Sequence sequence = byId.get(id);
        if (sequence == null || sequence.hasEnded()) {
            return false;
        }
        waiting.remove(sequence);
        running.remove(sequence);
        sequence.cancel(nowMs);
        return true;
    }

    /** Computes one step. */
    void step(long nowMs) {
        while (running.size() < options.maxBatch() && !waiting.isEmpty()) {
            Sequence sequence = waiting.remove();
            sequence.admit(cache.hits(sequence.blocks));
            running.add(sequence);
        }
        double budget =
                options.stepMs() == 0 ? Double.MAX_VALUE : options.prefillTokensPerS() * options.stepMs() / 1000.0;
        for (Iterator<Sequence> each = running.iterator(); each.hasNext(); ) {
            Sequence sequence = each.next();
            budget = compute(sequence, budget, nowMs);
            if (sequence.hasEnded() || sequence.isBroken()) {
                each.remove();
                finish(sequence);
            }
        }
    }

    /** Sends a heartbeat to every quiet stream. */
    void heartbeat(long nowMs) {
        waiting.forEach(s -> s.heartbeat(nowMs, options.heartbeatMs()));
        running.forEach(s -> s.heartbeat(nowMs, options.heartbeatMs()));
    }

    JsonObject load() {
        int waitingTokens = waiting.stream().mapToInt(Sequence::waitingTokens).sum()
                + running.stream().mapToInt(Sequence::waitingTokens).sum();
        return new JsonObject()
                .put("running", running.size())
                .put("waiting", waiting.size())
                .put("waiting_tokens", waitingTokens)
                .put("max_batch", options.maxBatch())
                .put("cache_used_blocks", cache.size())
                .put("cache_blocks", options.cacheBlocks());
    }

    private double compute(Sequence sequence, double budget, long nowMs) {
        if (sequence.isPrefilled()) {
            sequence.decode(nowMs);
            return budget;
        }
        double left = sequence.prefill(budget);
        if (sequence.isPrefilled()) {
            cache.store(sequence.blocks, sequence.program);
            sequence.decode(nowMs);
        }
        return left;
    }

    /** A broken request is forgotten: it cannot be resumed. */
    private void finish(Sequence sequence) {
        if (!sequence.hasEnded()) {
            byId.remove(sequence.id);
            return;
        }
        cache.store(sequence.prompt.withMessage("assistant", sequence.answer()).blockHashes(), sequence.program);
    }

    private void sweep(long nowMs) {
        byId.values().removeIf(s -> s.hasEnded() && nowMs - s.endedAtMs() > RETAIN_MS);
    }
}
