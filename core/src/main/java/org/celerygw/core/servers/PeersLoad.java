package org.celerygw.core.servers;

/**
 * The estimated load of a backend server from the peers.
 *
 * @param requests the number of requests in flight
 * @param tokens the memory that those of known size can hold at their end, in tokens
 * @param marginTokens the memory to keep free because the estimate is inexact, in tokens
 * @param unsizedRequests how many of the requests have no known size, for example those of hosts of an earlier release
 */
public record PeersLoad(double requests, double tokens, double marginTokens, double unsizedRequests) {
    /** No load. */
    public static final PeersLoad NONE = new PeersLoad(0, 0, 0, 0);

    /**
     * Adds a multiple of another load.
     *
     * @param factor the multiple; negative to subtract
     * @param other the other load
     * @return the sum
     */
    public PeersLoad plus(double factor, PeersLoad other) {
        return new PeersLoad(
                requests + factor * other.requests,
                tokens + factor * other.tokens,
                marginTokens + factor * other.marginTokens,
                unsizedRequests + factor * other.unsizedRequests);
    }
}
