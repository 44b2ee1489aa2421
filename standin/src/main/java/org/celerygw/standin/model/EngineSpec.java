package org.celerygw.standin.model;

/**
 * The rates and sizes of a simulated engine.
 *
 * @param maxBatch maximum number of calls in the running batch
 * @param stepMs fixed duration of a step, without any call
 * @param callStepMs time that each decoding call adds to a step
 * @param prefillTokenMs time that each computed prompt token adds to a step
 * @param chunkTokens maximum number of prompt tokens computed in one step
 * @param memoryBlocks memory capacity in blocks of {@link #BLOCK_TOKENS} tokens
 */
public record EngineSpec(
        int maxBatch, double stepMs, double callStepMs, double prefillTokenMs, int chunkTokens, int memoryBlocks) {
    /** Tokens per cache block. */
    public static final int BLOCK_TOKENS = 64;

    /** Four accelerators serving a medium-sized model: memory for a million tokens, 34 ms for a full step. */
    public static final EngineSpec DEFAULT = new EngineSpec(48, 16, 0.1, 0.08, 160, 16_000);

    /**
     * Returns the engine time that one call takes up when the batch is always full.
     *
     * @param missTokens prompt tokens that are not cached
     * @param outputTokens tokens to generate
     * @return milliseconds of one engine's time
     */
    public double costMs(long missTokens, long outputTokens) {
        double outputTokenMs = (stepMs + callStepMs * maxBatch) / maxBatch;
        return missTokens * prefillTokenMs + outputTokens * outputTokenMs;
    }

    /**
     * Returns the duration of a step with a full batch and a full prefill chunk, the longest time between two tokens.
     *
     * @return the duration in milliseconds
     */
    public double fullStepMs() {
        return stepMs + callStepMs * maxBatch + prefillTokenMs * chunkTokens;
    }
}
