package org.celerygw.core.ownership;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.celerygw.core.gen.state.Head;
import org.celerygw.core.id.HostId;
import org.celerygw.core.journal.Keys;
import org.celerygw.core.store.Row;

/**
 * What this host saw of the other hosts' heads. A lease runs from the moment at which this host first saw a
 * version, by its own clock; the clocks of hosts are never compared.
 */
final class Leases {
    private final long leaseMs;
    private final Map<String, Seen> seen = new HashMap<>();

    Leases(long leaseMs) {
        this.leaseMs = leaseMs;
    }

    record Seen(HostId host, long version, Head head, long sinceMs) {
        boolean isSealed() {
            return !head.getSealedBy().isEmpty();
        }
    }

    /** Notes rows that the store returned just now. */
    void saw(List<Row> rows, long answeredMs) {
        rows.stream().filter(Row::exists).forEach(row -> saw(row, answeredMs));
    }

    private void saw(Row row, long answeredMs) {
        String name = row.key().substring(Keys.HEADS.length());
        Seen before = seen.get(name);
        if (before == null || before.version() != row.version()) {
            seen.put(name, new Seen(new HostId(name), row.version(), parse(row), answeredMs));
        }
    }

    /** Starts every lease anew: while the store did not answer, a live host could not renew either. */
    void restart(long nowMs) {
        seen.replaceAll((name, s) -> new Seen(s.host(), s.version(), s.head(), nowMs));
    }

    void restart(Seen one, long nowMs) {
        seen.replace(one.host().value(), new Seen(one.host(), one.version(), one.head(), nowMs));
    }

    void sealed(Seen one, Head head, long nowMs) {
        seen.put(one.host().value(), new Seen(one.host(), one.version() + 1, head, nowMs));
    }

    List<Seen> lapsed(long nowMs) {
        return seen.values().stream()
                .filter(s -> !s.isSealed() && nowMs - s.sinceMs() >= leaseMs)
                .toList();
    }

    Optional<Seen> sealed(String host) {
        return Optional.ofNullable(seen.get(host)).filter(Seen::isSealed);
    }

    Set<HostId> sealedHosts() {
        return seen.values().stream().filter(Seen::isSealed).map(Seen::host).collect(Collectors.toSet());
    }

    private static Head parse(Row row) {
        try {
            return Head.parseFrom(row.value());
        } catch (InvalidProtocolBufferException e) {
            // Fenced is the safe reading for its owner; what can't be replayed is reported as damaged.
            return Head.newBuilder().setSealedBy("unreadable").build();
        }
    }
}
