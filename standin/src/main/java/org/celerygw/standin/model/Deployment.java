package org.celerygw.standin.model;

import java.util.List;

/**
 * The size of a modelled deployment and its mix of program classes.
 *
 * @param name the deployment's name
 * @param engines number of language model engines
 * @param zones number of availability zones
 * @param hosts number of hosts that accept requests
 * @param customers number of customers
 * @param templates number of prompt templates; programs of one template share its leading prompt
 * @param templateTokens tokens in a template's leading prompt
 * @param customerTokens tokens after the template that programs of one customer and template share
 * @param programClasses the program classes and their fractions
 */
public record Deployment(
        String name,
        int engines,
        int zones,
        int hosts,
        int customers,
        int templates,
        int templateTokens,
        int customerTokens,
        List<ProgramClass> programClasses) {

    /**
     * One class of programs. Token counts, turns and tool times are medians of log-normal distributions.
     *
     * @param name the class's name
     * @param rank its priority; 0 is served first
     * @param fraction the class's fraction of all programs, 0 to 1
     * @param turns model calls in a program
     * @param turnsSigma log-normal sigma of the number of calls
     * @param firstTokens input tokens of the first call
     * @param inputTokens input tokens that each later call adds to the history
     * @param outputTokens output tokens of a call
     * @param toolMs duration of the tool call after a model call
     * @param subAgentChance probability that a call, other than the last, starts sub-agents
     */
    public record ProgramClass(
            String name,
            int rank,
            double fraction,
            int turns,
            double turnsSigma,
            int firstTokens,
            int inputTokens,
            int outputTokens,
            double toolMs,
            double subAgentChance) {}

    /** A workload of ranchers' declarations, inspectors' questions and bulk checks. */
    public static final Deployment LITORAL = new Deployment(
            "litoral",
            13,
            3,
            12,
            24,
            4,
            1_800,
            700,
            List.of(
                    new ProgramClass("question", 0, 0.35, 3, 0.5, 600, 250, 160, 500, 0),
                    new ProgramClass("filing", 1, 0.45, 6, 0.6, 1_200, 350, 200, 900, 0.04),
                    new ProgramClass("bulk", 2, 0.20, 10, 0.8, 2_000, 500, 220, 900, 0.02)));

    /** A workload of client sessions with long histories, mastering drafts and archive jobs. */
    public static final Deployment FRASERLINE = new Deployment(
            "fraserline",
            13,
            3,
            11,
            12,
            3,
            2_400,
            900,
            List.of(
                    new ProgramClass("session", 0, 0.40, 9, 0.7, 1_500, 300, 180, 1_200, 0),
                    new ProgramClass("draft", 1, 0.40, 7, 0.6, 1_800, 450, 220, 900, 0.05),
                    new ProgramClass("archive", 2, 0.20, 12, 0.8, 2_500, 600, 240, 700, 0.02)));
}
