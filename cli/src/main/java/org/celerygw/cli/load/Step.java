package org.celerygw.cli.load;

import java.util.List;

/** One step of a program's script. */
public sealed interface Step {
    /**
     * A model call that adds a user message to the conversation.
     *
     * @param prompt the text of the user message
     * @param maxTokens the maximum number of output tokens
     */
    record ModelCall(String prompt, int maxTokens) implements Step {}

    /**
     * A tool call.
     *
     * @param service the name of the tool service
     * @param path the path within the service, with its leading slash
     * @param body the request body, as JSON
     * @param repeatable whether the call may safely be executed more than once
     */
    record ToolCall(String service, String path, String body, boolean repeatable) implements Step {}

    /**
     * A sub-agent: a child program that spends its parent's budget.
     *
     * @param name the last segment of the sub-agent's program id, after the parent's id
     * @param steps the sub-agent's steps, run before the parent's next step
     */
    record SubAgent(String name, List<Step> steps) implements Step {}

    /**
     * A pause between calls that simulates a person reading.
     *
     * @param pauseMs the duration in milliseconds
     */
    record Pause(long pauseMs) implements Step {}
}
