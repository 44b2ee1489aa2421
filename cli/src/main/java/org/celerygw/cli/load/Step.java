package org.celerygw.cli.load;

import java.util.List;

/** One step of a program's script. */
public sealed interface Step {
    /**
     * A model call with one more message of the user.
     *
     * @param content what the user says
     * @param maxTokens the largest answer
     */
    record Ask(String content, int maxTokens) implements Step {}

    /**
     * A tool call.
     *
     * @param service the service
     * @param path the path there, with its leading slash
     * @param body the body
     * @param repeatable whether it may be repeated
     */
    record Use(String service, String path, String body, boolean repeatable) implements Step {}

    /**
     * A sub-agent: a program of its own that spends this one's budget.
     *
     * @param name its name below this program
     * @param steps what it does
     */
    record SubAgent(String name, List<Step> steps) implements Step {}

    /**
     * A pause, as for a person who reads.
     *
     * @param pauseMs how long
     */
    record Pause(long pauseMs) implements Step {}
}
