package org.celerygw.standin;

import java.util.List;

/**
 * Settings of an engine's stand-in.
 *
 * @param port the port; 0 for any
 * @param models the models it serves at the start; empty to serve any
 * @param maxBatch the most requests it runs at once
 * @param maxWaiting the most requests that wait; more are refused
 * @param stepMs the time of one decode step; 0 for as fast as it can
 * @param prefillTokensPerS the rate at which prompts are computed
 * @param answerTokens about how many tokens an answer has
 * @param cacheBlocks the prefix cache's size in blocks
 * @param loadLagMs how old the load report is
 * @param eventLagMs how late cache events come
 * @param eventGapEvery every so many events one is lost; 0 for none
 * @param loadModelMs how long it takes to load a model
 * @param heartbeatMs how often a stream without tokens sends a comment
 * @param honoursFencing whether an order with an old fencing number is refused
 */
public record EngineOptions(
        int port,
        List<String> models,
        int maxBatch,
        int maxWaiting,
        long stepMs,
        long prefillTokensPerS,
        int answerTokens,
        int cacheBlocks,
        long loadLagMs,
        long eventLagMs,
        int eventGapEvery,
        long loadModelMs,
        long heartbeatMs,
        boolean honoursFencing) {
    /** Copies the list. */
    public EngineOptions {
        models = List.copyOf(models);
    }

    /**
     * Returns the settings of an engine with real rates: 20 ms a token, 8,000 prompt tokens a second.
     *
     * @param port the port; 0 for any
     * @return the settings
     */
    public static EngineOptions onPort(int port) {
        return new EngineOptions(port, List.of(), 32, 256, 20, 8_000, 64, 4_096, 500, 300, 50, 2_000, 500, true);
    }

    /**
     * Returns the same settings with other rates.
     *
     * @param newStepMs the time of one decode step; 0 for as fast as it can
     * @param newPrefillTokensPerS the rate at which prompts are computed
     * @param newAnswerTokens about how many tokens an answer has
     * @return the settings
     */
    public EngineOptions withRates(long newStepMs, long newPrefillTokensPerS, int newAnswerTokens) {
        return new EngineOptions(
                port,
                models,
                maxBatch,
                maxWaiting,
                newStepMs,
                newPrefillTokensPerS,
                newAnswerTokens,
                cacheBlocks,
                loadLagMs,
                eventLagMs,
                eventGapEvery,
                loadModelMs,
                heartbeatMs,
                honoursFencing);
    }

    /**
     * Returns the same settings with other sizes.
     *
     * @param newMaxBatch the most requests it runs at once
     * @param newMaxWaiting the most requests that wait
     * @param newCacheBlocks the prefix cache's size in blocks
     * @return the settings
     */
    public EngineOptions withSizes(int newMaxBatch, int newMaxWaiting, int newCacheBlocks) {
        return new EngineOptions(
                port,
                models,
                newMaxBatch,
                newMaxWaiting,
                stepMs,
                prefillTokensPerS,
                answerTokens,
                newCacheBlocks,
                loadLagMs,
                eventLagMs,
                eventGapEvery,
                loadModelMs,
                heartbeatMs,
                honoursFencing);
    }

    /**
     * Returns the same settings with other delays of what it reports.
     *
     * @param newLoadLagMs how old the load report is
     * @param newEventLagMs how late cache events come
     * @param newEventGapEvery every so many events one is lost; 0 for none
     * @param newHeartbeatMs how often a stream without tokens sends a comment
     * @return the settings
     */
    public EngineOptions withLags(long newLoadLagMs, long newEventLagMs, int newEventGapEvery, long newHeartbeatMs) {
        return new EngineOptions(
                port,
                models,
                maxBatch,
                maxWaiting,
                stepMs,
                prefillTokensPerS,
                answerTokens,
                cacheBlocks,
                newLoadLagMs,
                newEventLagMs,
                newEventGapEvery,
                loadModelMs,
                newHeartbeatMs,
                honoursFencing);
    }

    /**
     * Returns the same settings with another way of taking orders.
     *
     * @param newModels the models it serves at the start; empty to serve any
     * @param newLoadModelMs how long it takes to load a model
     * @param newHonoursFencing whether an order with an old fencing number is refused
     * @return the settings
     */
    public EngineOptions withOrders(List<String> newModels, long newLoadModelMs, boolean newHonoursFencing) {
        return new EngineOptions(
                port,
                newModels,
                maxBatch,
                maxWaiting,
                stepMs,
                prefillTokensPerS,
                answerTokens,
                cacheBlocks,
                loadLagMs,
                eventLagMs,
                eventGapEvery,
                newLoadModelMs,
                heartbeatMs,
                newHonoursFencing);
    }
}
