package org.celerygw.standin.model;

import java.util.List;

/**
 * One program: a chain of calls with tool pauses, some with sub-agents.
 *
 * @param id its name
 * @param root the name of the program whose sub-agent it is, or its own
 * @param customer its customer's number
 * @param rank its class; 0 goes first
 * @param arriveMs when it begins; for a sub-agent, 0
 * @param prefixTokens the tokens that it shares: the template's and the customer's, or the parent's prompt
 * @param prefixHashes the whole blocks of the shared part
 * @param turns its calls
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
     * One call.
     *
     * @param inputTokens what it adds to the history
     * @param outputTokens the answer's tokens
     * @param toolMs the tool's time after the answer
     * @param subAgents started after the answer; the next turn waits for all
     */
    public record Turn(int inputTokens, int outputTokens, double toolMs, List<ProgramTrace> subAgents) {}

    /**
     * Returns the prompt's length at a turn.
     *
     * @param turn the turn, from 0
     * @return tokens
     */
    public int promptTokens(int turn) {
        int history = turns.subList(0, turn).stream()
                .mapToInt(t -> t.inputTokens() + t.outputTokens())
                .sum();
        return prefixTokens + history + turns.get(turn).inputTokens();
    }

    /**
     * Returns a hash for each whole block of the history, as far as it is shared and as far as it is the program's
     * own.
     *
     * @param tokens the history's length
     * @return the hashes
     */
    public long[] hashes(int tokens) {
        int blocks = tokens / EngineSpec.BLOCK_TOKENS;
        long[] hashes = new long[blocks];
        for (int i = 0; i < blocks; i++) {
            hashes[i] = i < prefixHashes.length ? prefixHashes[i] : Hash.of(id.hashCode(), i);
        }
        return hashes;
    }

    /**
     * Returns the engine time that the program needs when each token is computed once and batches are full.
     *
     * @param spec the engine
     * @return milliseconds of one engine
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
     * Returns the program's latency when nothing else runs.
     *
     * @param spec the engine
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
