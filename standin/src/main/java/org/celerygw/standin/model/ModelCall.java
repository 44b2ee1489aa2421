package org.celerygw.standin.model;

/** A model call as a simulated engine computes it. */
public final class ModelCall {
    final long id;
    final String program;
    final long[] blockHashes;
    final int promptTokens;
    final int outputTokens;
    final int priority;
    int prefillTokensLeft;
    int generatedTokens;
    long submitOrder;

    /**
     * Creates a call.
     *
     * @param id identifies the call at the engine
     * @param program ID of the program that the call belongs to
     * @param blockHashes one hash for each complete block of the prompt and the output
     * @param promptTokens tokens in the prompt
     * @param outputTokens tokens to generate; raised to 1 if lower
     * @param priority calls with a lower value are computed first
     */
    public ModelCall(long id, String program, long[] blockHashes, int promptTokens, int outputTokens, int priority) {
        this.id = id;
        this.program = program;
        this.blockHashes = blockHashes;
        this.promptTokens = promptTokens;
        this.outputTokens = Math.max(1, outputTokens);
        this.priority = priority;
    }

    /**
     * Returns the call's identifier at the engine.
     *
     * @return the ID passed to the constructor
     */
    public long id() {
        return id;
    }

    /**
     * Returns the length of the output.
     *
     * @return tokens, at least 1
     */
    public int outputTokens() {
        return outputTokens;
    }

    int promptBlocks() {
        return promptTokens / EngineSpec.BLOCK_TOKENS;
    }

    /** Returns the blocks that the prompt and output need, including a partial last block. */
    int blocks() {
        return (promptTokens + outputTokens) / EngineSpec.BLOCK_TOKENS + 1;
    }
}
