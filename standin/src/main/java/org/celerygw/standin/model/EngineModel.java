package org.celerygw.standin.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Simulates one engine with continuous batching in virtual time. Submit calls, then run steps one after another:
 * {@link #beginStep} returns a step's duration and {@link #endStep} what it produced.
 */
public final class EngineModel {
    private static final Comparator<ModelCall> ORDER =
            Comparator.<ModelCall>comparingInt(c -> c.priority).thenComparingLong(call -> call.submitOrder);

    private final EngineSpec spec;
    private final Set<Long> everCached;
    private final BlockCache cache;
    private final PriorityQueue<ModelCall> queue = new PriorityQueue<>(ORDER);
    private final List<ModelCall> batch = new ArrayList<>();
    private @Nullable ModelCall blockedCall;
    private double slowdown = 1;
    private long nextOrder;
    private long prefillTokens;
    private long rebuiltTokens;
    private long queuedPromptTokens;

    /**
     * Creates an idle engine.
     *
     * @param spec the engine's rates and sizes
     * @param everCached hashes of the blocks that any engine has cached, shared by all engines of a run
     */
    public EngineModel(EngineSpec spec, Set<Long> everCached) {
        this.spec = spec;
        this.everCached = everCached;
        this.cache = new BlockCache(spec.memoryBlocks());
    }

    /**
     * The result of a step. A call with a single output token is in both lists.
     *
     * @param firstTokenCalls calls that generated their first token in this step
     * @param completedCalls calls that generated their last token in this step
     * @param generatedTokens tokens generated in this step by all calls
     */
    public record Step(List<ModelCall> firstTokenCalls, List<ModelCall> completedCalls, int generatedTokens) {}

    /**
     * Multiplies the duration of every step from the next one on.
     *
     * @param factor the multiplier; 1 for normal speed
     */
    public void setSlowdown(double factor) {
        slowdown = factor;
    }

    /**
     * Adds a call to the engine's queue.
     *
     * @param call the call; lower priority values are admitted first, equal ones in the order of submission
     */
    public void submit(ModelCall call) {
        call.submitOrder = nextOrder++;
        queue.add(call);
        call.prefillTokensLeft = uncachedPromptTokens(call);
        queuedPromptTokens += call.prefillTokensLeft;
    }

    /**
     * Admits the queued calls that fit into the batch and memory, and begins a step.
     *
     * @return the step's duration in milliseconds, or 0 when there is no call to compute
     */
    public double beginStep() {
        admit();
        if (batch.isEmpty()) {
            return 0;
        }
        int decoding = 0;
        for (ModelCall call : batch) {
            decoding += call.prefillTokensLeft == 0 ? 1 : 0;
        }
        int chunkTokens = prefillChunk();
        return slowdown * (spec.stepMs() + spec.callStepMs() * decoding + spec.prefillTokenMs() * chunkTokens);
    }

    private void admit() {
        while (batch.size() < spec.maxBatch() && !queue.isEmpty() && fits(queue.element())) {
            ModelCall call = queue.remove();
            queuedPromptTokens -= call.prefillTokensLeft;
            call.prefillTokensLeft = uncachedPromptTokens(call);
            int cachedBlocks = cache.cachedPrefixBlocks(call.blockHashes, call.promptBlocks());
            prefillTokens += call.prefillTokensLeft;
            countRebuilt(call, cachedBlocks);
            cache.pin(call);
            insertByPriority(call);
        }
    }

    private int uncachedPromptTokens(ModelCall call) {
        int cachedBlocks = cache.cachedPrefixBlocks(call.blockHashes, call.promptBlocks());
        return Math.max(1, call.promptTokens - cachedBlocks * EngineSpec.BLOCK_TOKENS);
    }

    /**
     * Returns whether the call's blocks fit into memory. A call that did not fit is not checked again until another call
     * has been first in the queue.
     */
    private boolean fits(ModelCall call) {
        if (blockedCall == call) {
            return false;
        }
        boolean fits = cache.fits(call);
        blockedCall = fits ? null : call;
        return fits;
    }

    private void insertByPriority(ModelCall call) {
        int index = 0;
        while (index < batch.size() && ORDER.compare(batch.get(index), call) < 0) {
            index++;
        }
        batch.add(index, call);
    }

    private void countRebuilt(ModelCall call, int cachedBlocks) {
        for (int i = cachedBlocks; i < call.blockHashes.length; i++) {
            boolean cachedBefore = !everCached.add(call.blockHashes[i]);
            rebuiltTokens += cachedBefore && i < call.promptBlocks() ? EngineSpec.BLOCK_TOKENS : 0;
        }
    }

    /**
     * Spends the step's prefill tokens in the order of priority and returns how many were used. Each decoding call, and
     * each call whose prompt is completed, generates one token in this step.
     */
    private int prefillChunk() {
        int leftTokens = spec.chunkTokens();
        for (ModelCall call : batch) {
            call.generatedTokens += call.prefillTokensLeft == 0 ? 1 : 0;
            if (call.prefillTokensLeft == 0 || leftTokens == 0) {
                continue;
            }
            int usedTokens = Math.min(leftTokens, call.prefillTokensLeft);
            call.prefillTokensLeft -= usedTokens;
            leftTokens -= usedTokens;
            call.generatedTokens += call.prefillTokensLeft == 0 ? 1 : 0;
        }
        return spec.chunkTokens() - leftTokens;
    }

    /**
     * Ends the current step and removes the completed calls from the batch.
     *
     * @param nowMs the current virtual time
     * @return the calls that progressed and the tokens generated
     */
    public Step endStep(double nowMs) {
        List<ModelCall> firstTokenCalls =
                batch.stream().filter(call -> call.generatedTokens == 1).toList();
        List<ModelCall> completedCalls = batch.stream()
                .filter(call -> call.generatedTokens >= call.outputTokens)
                .toList();
        int tokens =
                (int) batch.stream().filter(call -> call.generatedTokens > 0).count();
        batch.removeAll(completedCalls);
        completedCalls.forEach(call -> cache.unpin(call, nowMs));
        return new Step(firstTokenCalls, completedCalls, tokens);
    }

    /**
     * Removes all running and queued calls, as when the engine's process dies. The cache and the counters keep
     * their state.
     *
     * @return the removed calls
     */
    public List<ModelCall> crash() {
        List<ModelCall> lost = new ArrayList<>(batch);
        lost.addAll(queue);
        batch.clear();
        queue.clear();
        return lost;
    }

    /**
     * Removes the idle blocks of a program that has ended.
     *
     * @param hashes the program's block hashes
     * @param from index of the first block that is not part of the shared prefix
     */
    public void dropIdleBlocks(long[] hashes, int from) {
        cache.dropIdle(hashes, from);
    }

    /**
     * Returns the number of calls in the running batch.
     *
     * @return the batch's size in calls
     */
    public int runningCalls() {
        return batch.size();
    }

    /**
     * Returns the number of calls that wait in the engine's queue.
     *
     * @return the queue's length in calls
     */
    public int queuedCalls() {
        return queue.size();
    }

    /**
     * Returns the prompt tokens still to be computed for queued and running calls.
     *
     * @return tokens; those that were cached when the call was submitted or admitted are not counted
     */
    public long queuedPrefillTokens() {
        return queuedPromptTokens
                + batch.stream().mapToLong(call -> call.prefillTokensLeft).sum();
    }

    /**
     * Returns how long the least recently used block in the cache has been idle.
     *
     * @param nowMs the current virtual time
     * @return milliseconds; 0 until the first eviction
     */
    public double oldestIdleMs(double nowMs) {
        return cache.oldestIdleMs(nowMs);
    }

    /**
     * Returns and clears the blocks stored since the last call, including those still being computed.
     *
     * @return the blocks' hashes
     */
    public List<Long> drainStored() {
        return cache.drainStored();
    }

    /**
     * Returns and clears the blocks evicted since the last call.
     *
     * @return the blocks' hashes
     */
    public List<Long> drainEvicted() {
        return cache.drainEvicted();
    }

    /**
     * Returns the total of prompt tokens to compute over all calls admitted so far.
     *
     * @return tokens; cached ones are not counted
     */
    public long prefillTokens() {
        return prefillTokens;
    }

    /**
     * Returns the prompt tokens that were computed again although some engine had cached them before.
     *
     * @return tokens, in complete blocks
     */
    public long rebuiltTokens() {
        return rebuiltTokens;
    }
}
