package org.celerygw.daemon.backend;

/**
 * An engine's load as it last told, with a lag.
 *
 * @param running the requests that it computes
 * @param waiting the requests that wait in it
 * @param waitingTokens the prompt tokens that it has yet to compute
 * @param maxBatch the most requests that it computes at once
 * @param cacheUsedBlocks the blocks in its prefix cache
 * @param cacheBlocks the size of its prefix cache
 */
public record LoadReport(
        int running, int waiting, int waitingTokens, int maxBatch, int cacheUsedBlocks, int cacheBlocks) {}
