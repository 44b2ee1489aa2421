package org.celerygw.core.peers;

import java.util.List;
import java.util.stream.IntStream;

/** Selects the peers that receive a host's digest in each periodic round: a few of all peers in turn. */
public final class DigestTargets {
    private final int roundSize;
    private int nextIndex;

    /**
     * Creates a selection.
     *
     * @param roundSize the number of peers in one round
     */
    public DigestTargets(int roundSize) {
        this.roundSize = roundSize;
    }

    /**
     * Returns the peers of the next round.
     *
     * @param <P> the type of a peer
     * @param all all known peers, whether they are live or not
     * @return the next few of them in turn
     */
    public <P> List<P> nextRound(List<P> all) {
        int first = nextIndex;
        nextIndex += roundSize;
        return IntStream.range(0, Math.min(roundSize, all.size()))
                .mapToObj(i -> all.get(Math.floorMod(first + i, all.size())))
                .toList();
    }
}
