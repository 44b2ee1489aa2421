package org.celerygw.core.ownership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.Slot;

/** Rendezvous hashing: hosts with the same view of the membership compute the same owner for every slot. */
public final class Rendezvous {
    private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

    private final List<Candidate> candidates;

    /**
     * Creates the assignment of slots to a set of hosts.
     *
     * @param hosts the live hosts
     */
    public Rendezvous(Collection<HostId> hosts) {
        candidates = hosts.stream().map(Candidate::of).toList();
    }

    private record Candidate(HostId host, long seed) {
        static Candidate of(HostId host) {
            long seed = Hashing.murmur3_128()
                    .hashString(host.value(), StandardCharsets.UTF_8)
                    .asLong();
            return new Candidate(host, seed);
        }

        /** Mixes the host's seed with the slot's number by the SplitMix64 finalizer. */
        long weight(Slot slot) {
            long hash = seed ^ (slot.number() + 1) * GOLDEN_RATIO;
            hash = (hash ^ (hash >>> 30)) * 0xBF58476D1CE4E5B9L;
            hash = (hash ^ (hash >>> 27)) * 0x94D049BB133111EBL;
            return hash ^ (hash >>> 31);
        }
    }

    /**
     * Returns the host that should own a slot.
     *
     * @param slot the slot
     * @return the host with the highest weight for the slot; empty when there are no hosts
     */
    public Optional<HostId> ownerOf(Slot slot) {
        Comparator<Candidate> byWeight = Comparator.comparingLong(c -> c.weight(slot));
        return candidates.stream().max(byWeight).map(Candidate::host);
    }
}
