package org.celerygw.daemon.backend;

/**
 * The load that an engine last reported; it lags behind the engine's current load.
 *
 * @param running the number of requests in the current batch
 * @param waiting the number of requests in the engine's queue
 * @param waitingTokens the prompt tokens still to be prefilled
 * @param maxBatch the maximum number of requests in a batch
 * @param cacheUsedBlocks the number of blocks in use in the prefix cache
 * @param cacheBlocks the capacity of the prefix cache in blocks
 */
public record EngineLoad(
        int running, int waiting, int waitingTokens, int maxBatch, int cacheUsedBlocks, int cacheBlocks) {}
