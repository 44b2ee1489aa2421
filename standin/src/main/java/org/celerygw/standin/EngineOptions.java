package org.celerygw.standin;

import java.util.List;

/**
 * Settings of a stand-in engine.
 *
 * @param port the port to listen on; 0 for any free port
 * @param models the models it serves at the start; empty to serve any model
 * @param maxBatch maximum number of requests it runs at once
 * @param maxWaiting maximum number of requests that wait; further ones are refused
 * @param stepMs duration of one decode step; 0 to compute as fast as possible
 * @param prefillTokensPerS rate at which prompt tokens are computed
 * @param answerTokens approximate number of tokens in an answer
 * @param cacheBlocks capacity of the prefix cache in blocks
 * @param loadLagMs age of the load report that clients see
 * @param eventLagMs delay until a cache event becomes visible
 * @param lostEventInterval one cache event in this many is lost; 0 to lose none
 * @param loadModelMs duration of loading a model
 * @param heartbeatMs time without output after which a stream sends a comment
 * @param honoursFencing whether an order with an older fencing token is refused
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
        int lostEventInterval,
        long loadModelMs,
        long heartbeatMs,
        boolean honoursFencing) {
    /** Copies the list of models. */
    public EngineOptions {
        models = List.copyOf(models);
    }

    /**
     * Returns the settings of an engine with realistic rates: 20 ms per token, 8,000 prompt tokens per second.
     *
     * @param port the port to listen on; 0 for any free port
     * @return the new settings
     */
    public static EngineOptions onPort(int port) {
        return new EngineOptions(port, List.of(), 32, 256, 20, 8_000, 64, 4_096, 500, 300, 50, 2_000, 500, true);
    }

    /**
     * Returns a copy of these settings with other rates.
     *
     * @param newStepMs duration of one decode step; 0 to compute as fast as possible
     * @param newPrefillTokensPerS rate at which prompt tokens are computed
     * @param newAnswerTokens approximate number of tokens in an answer
     * @return the new settings
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
                lostEventInterval,
                loadModelMs,
                heartbeatMs,
                honoursFencing);
    }

    /**
     * Returns a copy of these settings with other sizes.
     *
     * @param newMaxBatch maximum number of requests it runs at once
     * @param newMaxWaiting maximum number of requests that wait
     * @param newCacheBlocks capacity of the prefix cache in blocks
     * @return the new settings
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
                lostEventInterval,
                loadModelMs,
                heartbeatMs,
                honoursFencing);
    }

    /**
     * Returns a copy of these settings with other delays and losses of load reports, cache events and heartbeats.
     *
     * @param newLoadLagMs age of the load report that clients see
     * @param newEventLagMs delay until a cache event becomes visible
     * @param newLostEventInterval one cache event in this many is lost; 0 to lose none
     * @param newHeartbeatMs time without output after which a stream sends a comment
     * @return the new settings
     */
    public EngineOptions withLags(
            long newLoadLagMs, long newEventLagMs, int newLostEventInterval, long newHeartbeatMs) {
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
                newLostEventInterval,
                loadModelMs,
                newHeartbeatMs,
                honoursFencing);
    }

    /**
     * Returns a copy of these settings with other handling of orders.
     *
     * @param newModels the models it serves at the start; empty to serve any model
     * @param newLoadModelMs duration of loading a model
     * @param newHonoursFencing whether an order with an older fencing token is refused
     * @return the new settings
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
                lostEventInterval,
                newLoadModelMs,
                heartbeatMs,
                newHonoursFencing);
    }
}
