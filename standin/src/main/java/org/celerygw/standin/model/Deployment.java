package org.celerygw.standin.model;

import java.util.List;

/**
 * A deployment's size and mix of programs.
 *
 * @param name its name
 * @param engines language model engines
 * @param zones availability zones
 * @param hosts entry hosts
 * @param customers customers
 * @param templates kinds of programs, each with its own leading prompt
 * @param templateTokens the length of that prompt
 * @param customerTokens the length of what a customer's programs share after it
 * @param mix the classes
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
        List<ClassMix> mix) {

    /**
     * One class of programs; sizes are medians of lognormal distributions.
     *
     * @param name its name
     * @param rank its rank; 0 goes first
     * @param part its part of all programs
     * @param turns calls in a program
     * @param turnsSpread sigma of the number of calls
     * @param firstTokens the first request's tokens
     * @param inputTokens what each later call adds
     * @param outputTokens an answer's tokens
     * @param toolMs a tool pause
     * @param subAgentChance the chance that a call starts sub-agents
     */
    public record ClassMix(
            String name,
            int rank,
            double part,
            int turns,
            double turnsSpread,
            int firstTokens,
            int inputTokens,
            int outputTokens,
            double toolMs,
            double subAgentChance) {}

    /** Ranchers' declarations, inspectors' questions and bulk checks. */
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
                    new ClassMix("question", 0, 0.35, 3, 0.5, 600, 250, 160, 500, 0),
                    new ClassMix("filing", 1, 0.45, 6, 0.6, 1_200, 350, 200, 900, 0.04),
                    new ClassMix("bulk", 2, 0.20, 10, 0.8, 2_000, 500, 220, 900, 0.02)));

    /** Client sessions with long histories, mastering drafts and archive jobs. */
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
                    new ClassMix("session", 0, 0.40, 9, 0.7, 1_500, 300, 180, 1_200, 0),
                    new ClassMix("draft", 1, 0.40, 7, 0.6, 1_800, 450, 220, 900, 0.05),
                    new ClassMix("archive", 2, 0.20, 12, 0.8, 2_500, 600, 240, 700, 0.02)));
}
