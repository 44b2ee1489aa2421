package org.celerygw.cli.load;

import java.util.List;

/**
 * The result of one program as its caller observed it.
 *
 * @param script the script that was run
 * @param completed whether every step succeeded and the end of the program was confirmed
 * @param failure the error of the first step that failed; empty when the program completed
 * @param latencyMs the time from creation to end in milliseconds, pauses included
 * @param calls the calls in the order sent, including those of sub-agents
 */
public record ProgramResult(Script script, boolean completed, String failure, long latencyMs, List<Call> calls) {
    /** Creates a result with an unmodifiable copy of the calls. */
    public ProgramResult {
        calls = List.copyOf(calls);
    }

    /**
     * One call as its caller observed it.
     *
     * @param program the id of the program or sub-agent that made the call
     * @param number the call number within that program, from 1
     * @param idempotencyKey the key sent with every attempt
     * @param toolCall true for a tool call, false for a model call
     * @param repeatable whether the call may safely be executed more than once
     * @param requestBody the request body, as JSON
     * @param reply the response to the last attempt
     */
    public record Call(
            String program,
            long number,
            String idempotencyKey,
            boolean toolCall,
            boolean repeatable,
            String requestBody,
            Reply reply) {}
}
