package org.celerygw.cli.load;

import java.util.List;

/**
 * How one program went, as its caller saw it.
 *
 * @param script what it was to do
 * @param done whether every step was answered and the end confirmed
 * @param failure what stopped it; empty when nothing did
 * @param latencyMs from its creation to its end, pauses included
 * @param calls its calls in order, sub-agents' included
 */
public record ProgramResult(Script script, boolean done, String failure, long latencyMs, List<Call> calls) {
    /** Copies the list. */
    public ProgramResult {
        calls = List.copyOf(calls);
    }

    /**
     * One call as its caller saw it.
     *
     * @param program the program, a sub-agent's where one made it
     * @param number its number
     * @param key its idempotency key
     * @param tool whether it went to a tool
     * @param repeatable whether it may be repeated
     * @param request the request's body
     * @param reply the last answer
     */
    public record Call(
            String program, long number, String key, boolean tool, boolean repeatable, String request, Reply reply) {}
}
