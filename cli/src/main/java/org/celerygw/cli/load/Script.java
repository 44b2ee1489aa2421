package org.celerygw.cli.load;

import java.util.ArrayList;
import java.util.List;

/**
 * What one program does from its beginning to its end.
 *
 * @param program its id
 * @param priorityClass its priority class
 * @param model the model that it asks
 * @param system the system prompt, shared by all programs of its kind
 * @param budgetTokens its budget
 * @param steps its steps
 */
public record Script(
        String program, String priorityClass, String model, String system, long budgetTokens, List<Step> steps) {
    private static final long BUDGET_TOKENS = 400_000;

    /** Copies the steps. */
    public Script {
        steps = List.copyOf(steps);
    }

    /**
     * Returns a program that drafts and files a movement declaration and answers questions about it.
     *
     * @param program its id
     * @return the script
     */
    public static Script declaration(String program) {
        String system = "You help ranchers to draft movement declarations. " + "Rule of the registry. ".repeat(120);
        List<Step> steps = List.of(
                new Step.Ask("Draft a declaration for 14 calves of " + program + ".", 48),
                new Step.Use("records", "/lookup", "{\"herd\":\"" + program + "\"}", true),
                new Step.Ask("Check the ear tags against the herd book.", 32),
                new Step.Use("records", "/declarations", "{\"declare\":\"" + program + "\"}", false),
                new Step.Pause(40),
                new Step.Ask("The inspector asks: when do they leave?", 32),
                new Step.Ask("The cooperative asks: who drives the truck?", 32),
                new Step.Use("records", "/transfers", "{\"transfer\":\"" + program + "\"}", false));
        return new Script(program, "standard", "ranch-7b", system, BUDGET_TOKENS, steps);
    }

    /**
     * Returns a mastering session: revisions that share a long prefix, a sub-agent, a delivery and an invoice.
     *
     * @param program its id
     * @param revisions how many revisions
     * @return the script
     */
    public static Script session(String program, int revisions) {
        String system = "You assist a mastering engineer. " + "Earlier note on loudness and EQ. ".repeat(300);
        List<Step> steps = new ArrayList<>();
        for (int i = 1; i <= revisions; i++) {
            steps.add(new Step.Ask("Revision " + i + ": draft the next loudness and EQ pass.", 40));
            steps.add(new Step.Pause(30));
        }
        steps.add(new Step.SubAgent(
                "check",
                List.of(
                        new Step.Ask("Measure the true peaks.", 24),
                        new Step.Use("queue", "/measure", "{\"session\":\"" + program + "\"}", true))));
        steps.add(new Step.Use("queue", "/deliveries", "{\"deliver\":\"" + program + "\"}", false));
        steps.add(new Step.Use("queue", "/invoices", "{\"invoice\":\"" + program + "\"}", false));
        return new Script(program, "client-session", "master-13b", system, BUDGET_TOKENS, steps);
    }
}
