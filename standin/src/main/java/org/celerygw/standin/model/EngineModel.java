package org.celerygw.standin.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * One engine in virtual time. Submit calls, then run steps one after another: {@link #beginStep} gives a step's
 * length and {@link #endStep} what it produced.
 */
public final class EngineModel {
    private static final Comparator<ModelCall> ORDER =
            Comparator.<ModelCall>comparingInt(c -> c.priority).thenComparingLong(c -> c.order);

    private final EngineSpec spec;
    private final Set<Long> everHeld;
    private final BlockCache cache;
    private final PriorityQueue<ModelCall> waiting = new PriorityQueue<>(ORDER);
    private final List<ModelCall> batch = new ArrayList<>();
    private @Nullable ModelCall blocked;
    private double slowdown = 1;
    private long nextOrder;
    private long prefillTokens;
    private long rebuiltTokens;
    private long waitingTokens;

    /**
     * Makes an idle engine.
     *
     * @param spec its rates and sizes
     * @param everHeld the blocks that any engine has held, shared by all engines of a run
     */
    public EngineModel(EngineSpec spec, Set<Long> everHeld) {
        this.spec = spec;
        this.everHeld = everHeld;
        this.cache = new BlockCache(spec.memoryBlocks());
    }

    /**
     * What a step produced.
     *
     * @param first calls that gave their first token
     * @param done calls that are complete, those with a single token among both
     * @param tokens all tokens generated
     */
    public record Step(List<ModelCall> first, List<ModelCall> done, int tokens) {}

    /**
     * Makes every step longer.
     *
     * @param factor 1 for the usual speed
     */
    public void slowDown(double factor) {
        slowdown = factor;
    }

    /**
     * Takes a call into the engine's queue.
     *
     * @param call the call
     */
    public void submit(ModelCall call) {
        call.order = nextOrder++;
        waiting.add(call);
        call.prefillLeft = missing(call);
        waitingTokens += call.prefillLeft;
    }

    /**
     * Begins a step with the calls that fit.
     *
     * @return the step's length in milliseconds, or 0 when there is nothing to do
     */
    public double beginStep() {
        admit();
        if (batch.isEmpty()) {
            return 0;
        }
        int decoding = 0;
        for (ModelCall c : batch) {
            decoding += c.prefillLeft == 0 ? 1 : 0;
        }
        int chunk = prefill();
        return slowdown * (spec.stepMs() + spec.callStepMs() * decoding + spec.prefillTokenMs() * chunk);
    }

    private void admit() {
        while (batch.size() < spec.maxBatch() && !waiting.isEmpty() && fits(waiting.element())) {
            ModelCall call = waiting.remove();
            waitingTokens -= call.prefillLeft;
            call.prefillLeft = missing(call);
            int held = cache.match(call.hashes, call.promptBlocks());
            prefillTokens += call.prefillLeft;
            countRebuilt(call, held);
            cache.take(call);
            insert(call);
        }
    }

    private int missing(ModelCall call) {
        int held = cache.match(call.hashes, call.promptBlocks());
        return Math.max(1, call.promptTokens - held * EngineSpec.BLOCK_TOKENS);
    }

    /** A call that did not fit is not tried again until another one leaves. */
    private boolean fits(ModelCall call) {
        if (blocked == call) {
            return false;
        }
        boolean fits = cache.fits(call);
        blocked = fits ? null : call;
        return fits;
    }

    private void insert(ModelCall call) {
        int at = 0;
        while (at < batch.size() && ORDER.compare(batch.get(at), call) < 0) {
            at++;
        }
        batch.add(at, call);
    }

    private void countRebuilt(ModelCall call, int held) {
        for (int i = held; i < call.hashes.length; i++) {
            boolean known = !everHeld.add(call.hashes[i]);
            rebuiltTokens += known && i < call.promptBlocks() ? EngineSpec.BLOCK_TOKENS : 0;
        }
    }

    /** Spends the step's chunk in the order of priority; a call done with its prompt gives a token in this step. */
    private int prefill() {
        int left = spec.chunkTokens();
        for (ModelCall call : batch) {
            call.made += call.prefillLeft == 0 ? 1 : 0;
            if (call.prefillLeft == 0 || left == 0) {
                continue;
            }
            int part = Math.min(left, call.prefillLeft);
            call.prefillLeft -= part;
            left -= part;
            call.made += call.prefillLeft == 0 ? 1 : 0;
        }
        return spec.chunkTokens() - left;
    }

    /**
     * Ends the step that was begun.
     *
     * @param nowMs the time now
     * @return what it produced
     */
    public Step endStep(double nowMs) {
        List<ModelCall> first = batch.stream().filter(c -> c.made == 1).toList();
        List<ModelCall> done =
                batch.stream().filter(c -> c.made >= c.outputTokens).toList();
        int tokens = (int) batch.stream().filter(c -> c.made > 0).count();
        batch.removeAll(done);
        done.forEach(c -> cache.give(c, nowMs));
        return new Step(first, done, tokens);
    }

    /**
     * Loses everything, as when the engine's process dies.
     *
     * @return the calls that were lost
     */
    public List<ModelCall> crash() {
        List<ModelCall> lost = new ArrayList<>(batch);
        lost.addAll(waiting);
        batch.clear();
        waiting.clear();
        return lost;
    }

    /**
     * Gives up idle blocks of a program that ended.
     *
     * @param hashes the program's blocks
     * @param from the first block that is the program's own
     */
    public void release(long[] hashes, int from) {
        cache.release(hashes, from);
    }

    /**
     * Returns the calls being computed.
     *
     * @return the batch's size
     */
    public int running() {
        return batch.size();
    }

    /**
     * Returns the calls in the engine's queue.
     *
     * @return their number
     */
    public int waiting() {
        return waiting.size();
    }

    /**
     * Returns the prompt tokens not yet computed; what the cache held when a call came is left out.
     *
     * @return tokens
     */
    public long queuedPrefillTokens() {
        return waitingTokens + batch.stream().mapToLong(c -> c.prefillLeft).sum();
    }

    /**
     * Returns how long the block idle longest has been so.
     *
     * @param nowMs the time now
     * @return milliseconds; 0 while none was ever evicted
     */
    public double cacheAgeMs(double nowMs) {
        return cache.ageMs(nowMs);
    }

    /**
     * Returns the blocks stored since this was last asked, those still being computed included.
     *
     * @return their hashes
     */
    public List<Long> takeStored() {
        return cache.takeStored();
    }

    /**
     * Returns the blocks evicted since this was last asked.
     *
     * @return their hashes
     */
    public List<Long> takeEvicted() {
        return cache.takeEvicted();
    }

    /**
     * Returns the prompt tokens computed so far.
     *
     * @return tokens
     */
    public long prefillTokens() {
        return prefillTokens;
    }

    /**
     * Returns the prompt tokens computed again although some engine had held them.
     *
     * @return tokens
     */
    public long rebuiltTokens() {
        return rebuiltTokens;
    }
}
