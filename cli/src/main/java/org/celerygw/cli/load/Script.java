package org.celerygw.cli.load;

import java.util.ArrayList;
import java.util.List;

/**
 * The steps and parameters of one simulated program.
 *
 * @param program the program's id
 * @param priorityClass the name of its priority class
 * @param model the model that serves its model calls
 * @param systemPrompt the system prompt, the same for all programs of one workload
 * @param budgetTokens the token budget, shared with sub-agents
 * @param steps the steps, run sequentially
 */
public record Script(
        String program, String priorityClass, String model, String systemPrompt, long budgetTokens, List<Step> steps) {
    private static final long BUDGET_TOKENS = 400_000;

    /** Creates a script with an unmodifiable copy of the steps. */
    public Script {
        steps = List.copyOf(steps);
    }

    /**
     * Returns the script of a program that drafts and files a livestock movement declaration and answers questions
     * about it.
     *
     * @param program the program's id
     * @return the script of priority class {@code standard}
     */
    public static Script declaration(String program) {
        String systemPrompt =
                "You help ranchers to draft movement declarations. " + "Rule of the registry. ".repeat(120);
        List<Step> steps = List.of(
                new Step.ModelCall("Draft a declaration for 14 calves of " + program + ".", 48),
                new Step.ToolCall("records", "/lookup", "{\"herd\":\"" + program + "\"}", true),
                new Step.ModelCall("Check the ear tags against the herd book.", 32),
                new Step.ToolCall("records", "/declarations", "{\"declare\":\"" + program + "\"}", false),
                new Step.Pause(40),
                new Step.ModelCall("The inspector asks: when do they leave?", 32),
                new Step.ModelCall("The cooperative asks: who drives the truck?", 32),
                new Step.ToolCall("records", "/transfers", "{\"transfer\":\"" + program + "\"}", false));
        return new Script(program, "standard", "ranch-7b", systemPrompt, BUDGET_TOKENS, steps);
    }

    /**
     * Returns the script of an audio mastering session: revisions with a long common prompt prefix, a sub-agent,
     * a delivery and an invoice.
     *
     * @param program the program's id
     * @param revisions the number of revisions, each a model call and a pause
     * @return the script of priority class {@code client-session}
     */
    public static Script masteringSession(String program, int revisions) {
        String systemPrompt = "You assist a mastering engineer. " + "Earlier note on loudness and EQ. ".repeat(300);
        List<Step> steps = new ArrayList<>();
        for (int i = 1; i <= revisions; i++) {
            steps.add(new Step.ModelCall("Revision " + i + ": draft the next loudness and EQ pass.", 40));
            steps.add(new Step.Pause(30));
        }
        steps.add(new Step.SubAgent(
                "check",
                List.of(
                        new Step.ModelCall("Measure the true peaks.", 24),
                        new Step.ToolCall("queue", "/measure", "{\"session\":\"" + program + "\"}", true))));
        steps.add(new Step.ToolCall("queue", "/deliveries", "{\"deliver\":\"" + program + "\"}", false));
        steps.add(new Step.ToolCall("queue", "/invoices", "{\"invoice\":\"" + program + "\"}", false));
        return new Script(program, "client-session", "master-13b", systemPrompt, BUDGET_TOKENS, steps);
    }
}
