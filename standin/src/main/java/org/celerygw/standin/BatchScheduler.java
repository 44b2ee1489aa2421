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

/**
 * Continuous batching of an engine: in every step each running request computes part of its prompt or one token of its
 * answer.
 */
final class BatchScheduler {
    private static final long ENDED_RETENTION_MS = 60_000;
    private static final int SWEEP_INTERVAL_REQUESTS = 256;
    private static final Comparator<Sequence> ORDER = Comparator.<Sequence>comparingInt(sequence -> sequence.priority)
            .thenComparingLong(sequence -> sequence.arrivalNumber);

    private final EngineOptions options;
    private final PrefixCache cache;
    private final PriorityQueue<Sequence> waiting = new PriorityQueue<>(ORDER);
    private final List<Sequence> running = new ArrayList<>();
    private final Map<String, Sequence> sequencesById = new HashMap<>();
    private long lastArrivalNumber;

    BatchScheduler(EngineOptions options, PrefixCache cache) {
        this.options = options;
        this.cache = cache;
    }

    boolean isFull() {
        return waiting.size() >= options.maxWaiting();
    }

    boolean isIdle() {
        return waiting.isEmpty() && running.isEmpty();
    }

    long nextArrivalNumber() {
        return ++lastArrivalNumber;
    }

    @Nullable
    Sequence findById(String id) {
        return sequencesById.get(id);
    }

    void submit(Sequence sequence) {
        sequencesById.put(sequence.id, sequence);
        waiting.add(sequence);
        if (lastArrivalNumber % SWEEP_INTERVAL_REQUESTS == 0) {
            removeExpired(System.currentTimeMillis());
        }
    }

    /** Cancels a request and returns whether it was waiting or running. */
    boolean cancel(String id, long nowMs) {
        Sequence sequence = sequencesById.get(id);
        if (sequence == null || sequence.hasEnded()) {
            return false;
        }
        waiting.remove(sequence);
        running.remove(sequence);
        sequence.cancel(nowMs);
        return true;
    }

    /** Admits waiting requests up to the batch size and computes one step. */
    void step(long nowMs) {
        while (running.size() < options.maxBatch() && !waiting.isEmpty()) {
            Sequence sequence = waiting.remove();
            sequence.admit(cache.cachedPrefixBlocks(sequence.promptBlockHashes));
            running.add(sequence);
        }
        double budgetTokens =
                options.stepMs() == 0 ? Double.MAX_VALUE : options.prefillTokensPerS() * options.stepMs() / 1000.0;
        for (Iterator<Sequence> iterator = running.iterator(); iterator.hasNext(); ) {
            Sequence sequence = iterator.next();
            budgetTokens = computeStep(sequence, budgetTokens, nowMs);
            if (sequence.hasEnded() || sequence.isBroken()) {
                iterator.remove();
                finishSequence(sequence);
            }
        }
    }

    /** Sends a heartbeat on every stream that has been idle for the heartbeat interval. */
    void sendHeartbeats(long nowMs) {
        waiting.forEach(sequence -> sequence.heartbeat(nowMs, options.heartbeatMs()));
        running.forEach(sequence -> sequence.heartbeat(nowMs, options.heartbeatMs()));
    }

    /** Returns the current load as the engine reports it. */
    JsonObject loadReport() {
        int promptTokensLeft = waiting.stream()
                        .mapToInt(Sequence::prefillTokensToCompute)
                        .sum()
                + running.stream().mapToInt(Sequence::prefillTokensToCompute).sum();
        return new JsonObject()
                .put("running", running.size())
                .put("waiting", waiting.size())
                .put("waiting_tokens", promptTokensLeft)
                .put("max_batch", options.maxBatch())
                .put("cache_used_blocks", cache.size())
                .put("cache_blocks", options.cacheBlocks());
    }

    /** Computes one request's part of a step and returns the prompt tokens left of the budget. */
    private double computeStep(Sequence sequence, double budgetTokens, long nowMs) {
        if (sequence.isPrefilled()) {
            sequence.decode(nowMs);
            return budgetTokens;
        }
        double leftTokens = sequence.prefill(budgetTokens);
        if (sequence.isPrefilled()) {
            cache.store(sequence.promptBlockHashes, sequence.program);
            sequence.decode(nowMs);
        }
        return leftTokens;
    }

    /** Caches an ended request's blocks; removes a request whose connection was broken, so that it cannot be resumed. */
    private void finishSequence(Sequence sequence) {
        if (!sequence.hasEnded()) {
            sequencesById.remove(sequence.id);
            return;
        }
        cache.store(
                sequence.prompt.withMessage("assistant", sequence.fullAnswer()).blockHashes(), sequence.program);
    }

    private void removeExpired(long nowMs) {
        sequencesById
                .values()
                .removeIf(sequence -> sequence.hasEnded() && nowMs - sequence.endedAtMs() > ENDED_RETENTION_MS);
    }
}
