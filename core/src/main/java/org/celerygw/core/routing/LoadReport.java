package org.celerygw.core.routing;

/**
 * An engine's load at an earlier time.
 *
 * @param asOfMs when the engine took the figures, in milliseconds since 1970
 * @param running calls in its batch
 * @param waiting calls in its queue
 * @param queuedPrefillTokens prompt tokens that it has still to compute, for calls running or waiting
 * @param cacheAgeMs how long the cached block idle longest has been so, since one idle for longer must have been
 *     evicted; 0 while nothing was ever evicted
 */
public record LoadReport(long asOfMs, int running, int waiting, long queuedPrefillTokens, long cacheAgeMs) {}
