package org.celerygw.core.ownership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.Slot;

/** Rendezvous hashing: hosts that see the same hosts agree on the owner of every slot without talking. */
public final class Rendezvous {
    private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

    private final List<Candidate> candidates;

    /**
     * Prepares the choice among hosts.
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

        long weight(Slot slot) {
            long z = seed ^ (slot.number() + 1) * GOLDEN_RATIO;
            z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
            z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
            return z ^ (z >>> 31);
        }
    }

    /**
     * Returns the host that should own a slot.
     *
     * @param slot the slot
     * @return the host, or empty when there are no hosts
     */
    public Optional<HostId> ownerOf(Slot slot) {
        Comparator<Candidate> byWeight = Comparator.comparingLong(c -> c.weight(slot));
        return candidates.stream().max(byWeight).map(Candidate::host);
    }
}
