package org.celerygw.standin.model;

/** A call inside a modelled engine. */
public final class ModelCall {
    final long id;
    final String program;
    final long[] hashes;
    final int promptTokens;
    final int outputTokens;
    final int priority;
    int prefillLeft;
    int made;
    long order;

    /**
     * Makes a call.
     *
     * @param id names it at the engine
     * @param program its program
     * @param hashes one for each whole block of the prompt and the answer
     * @param promptTokens the prompt's tokens
     * @param outputTokens the answer's tokens, at least 1
     * @param priority lower goes first
     */
    public ModelCall(long id, String program, long[] hashes, int promptTokens, int outputTokens, int priority) {
        this.id = id;
        this.program = program;
        this.hashes = hashes;
        this.promptTokens = promptTokens;
        this.outputTokens = Math.max(1, outputTokens);
        this.priority = priority;
    }

    /**
     * Returns the call's name at the engine.
     *
     * @return the id
     */
    public long id() {
        return id;
    }

    /**
     * Returns the answer's length.
     *
     * @return tokens
     */
    public int outputTokens() {
        return outputTokens;
    }

    int promptBlocks() {
        return promptTokens / EngineSpec.BLOCK_TOKENS;
    }

    /** Blocks needed from start to end, a last one that is not whole included. */
    int blocks() {
        return (promptTokens + outputTokens) / EngineSpec.BLOCK_TOKENS + 1;
    }
}
