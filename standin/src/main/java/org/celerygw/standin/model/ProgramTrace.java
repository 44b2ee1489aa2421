package org.celerygw.standin.model;

import java.util.List;

/**
 * The trace of one program: a sequence of model calls, each followed by a tool call or sub-agents.
 *
 * @param id the program's ID
 * @param root the ID of the program that started this one as a sub-agent, or its own ID
 * @param customer the customer's number
 * @param rank the priority of the program's class; 0 is served first
 * @param arriveMs the virtual time at which the program starts; 0 for a sub-agent
 * @param prefixTokens tokens of the shared prefix: the template's and the customer's, or the parent's history
 * @param prefixHashes hashes of the complete blocks of the shared prefix
 * @param turns the program's calls in order
 */
public record ProgramTrace(
        String id,
        String root,
        int customer,
        int rank,
        double arriveMs,
        int prefixTokens,
        long[] prefixHashes,
        List<Turn> turns) {

    /**
     * One model call and what follows it.
     *
     * @param inputTokens tokens that the call's input adds to the history
     * @param outputTokens tokens that the call generates
     * @param toolMs duration of the tool call after the output
     * @param subAgents programs started after the output; the next turn waits for all of them
     */
    public record Turn(int inputTokens, int outputTokens, double toolMs, List<ProgramTrace> subAgents) {}

    /**
     * Returns the length of a turn's prompt: the shared prefix, the earlier turns and the turn's input.
     *
     * @param turn the turn's index, from 0
     * @return tokens
     */
    public int promptTokens(int turn) {
        int historyTokens = turns.subList(0, turn).stream()
                .mapToInt(earlier -> earlier.inputTokens() + earlier.outputTokens())
                .sum();
        return prefixTokens + historyTokens + turns.get(turn).inputTokens();
    }

    /**
     * Returns a hash for each complete block of the program's history: first the blocks of the shared prefix, then those
     * that only this program has.
     *
     * @param tokens the history's length
     * @return the hashes in the order of the history
     */
    public long[] blockHashes(int tokens) {
        int blockCount = tokens / EngineSpec.BLOCK_TOKENS;
        long[] hashes = new long[blockCount];
        for (int i = 0; i < blockCount; i++) {
            hashes[i] = i < prefixHashes.length ? prefixHashes[i] : Hash.mix(id.hashCode(), i);
        }
        return hashes;
    }

    /**
     * Returns the engine time that the program and its sub-agents need when each token is computed once and batches are
     * full.
     *
     * @param spec the engine's rates
     * @return milliseconds of one engine's time
     */
    public double costMs(EngineSpec spec) {
        return turns.stream()
                .mapToDouble(t -> spec.costMs(t.inputTokens(), t.outputTokens())
                        + t.subAgents().stream()
                                .mapToDouble(s -> s.costMs(spec))
                                .sum())
                .sum();
    }

    /**
     * Returns the program's latency on engines that compute nothing else.
     *
     * @param spec the engine's rates
     * @return milliseconds
     */
    public double idealMs(EngineSpec spec) {
        return turns.stream()
                .mapToDouble(t -> t.inputTokens() * spec.fullStepMs() / spec.chunkTokens()
                        + t.outputTokens() * (spec.stepMs() + spec.callStepMs())
                        + Math.max(
                                t.toolMs(),
                                t.subAgents().stream()
                                        .mapToDouble(s -> s.idealMs(spec))
                                        .max()
                                        .orElse(0)))
                .sum();
    }
}
