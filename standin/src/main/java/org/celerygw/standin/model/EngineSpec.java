package org.celerygw.standin.model;

/**
 * The rates and sizes of a modelled engine.
 *
 * @param maxBatch the most calls computed together
 * @param stepMs a step's time without any call
 * @param callStepMs what each decoding call adds to a step
 * @param prefillTokenMs what each prompt token computed adds to a step
 * @param chunkTokens the most prompt tokens computed in one step
 * @param memoryBlocks the blocks of {@link #BLOCK_TOKENS} tokens that fit into memory
 */
public record EngineSpec(
        int maxBatch, double stepMs, double callStepMs, double prefillTokenMs, int chunkTokens, int memoryBlocks) {
    /** The tokens in a block. */
    public static final int BLOCK_TOKENS = 64;

    /** Four accelerators serving a middle-sized model: a million tokens of memory, 34 ms for a full step. */
    public static final EngineSpec DEFAULT = new EngineSpec(48, 16, 0.1, 0.08, 160, 16_000);

    /**
     * Returns the engine time that one call costs when the batch is always full.
     *
     * @param missTokens prompt tokens to compute
     * @param outputTokens tokens to generate
     * @return milliseconds of one engine
     */
    public double costMs(long missTokens, long outputTokens) {
        double tokenMs = (stepMs + callStepMs * maxBatch) / maxBatch;
        return missTokens * prefillTokenMs + outputTokens * tokenMs;
    }

    /**
     * Returns the longest time between two tokens.
     *
     * @return milliseconds of a full step
     */
    public double fullStepMs() {
        return stepMs + callStepMs * maxBatch + prefillTokenMs * chunkTokens;
    }
}
