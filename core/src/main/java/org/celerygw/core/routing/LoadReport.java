package org.celerygw.core.routing;

/**
 * The load of an engine at the time when the engine measured it.
 *
 * @param asOfMs when the engine measured its load, in milliseconds since 1970
 * @param runningCalls the number of calls in the batch
 * @param queuedCalls the number of calls that wait inside the engine
 * @param queuedPrefillTokens the prompt tokens still to compute, for running and queued calls
 * @param evictionIdleMs the idle time of the cached block that has been idle longest; a block that was idle for longer
 *     must have been evicted; 0 while no block has been evicted
 */
public record LoadReport(
        long asOfMs, int runningCalls, int queuedCalls, long queuedPrefillTokens, long evictionIdleMs) {}
