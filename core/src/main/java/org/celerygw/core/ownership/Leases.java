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
import org.celerygw.core.journal.RowKeys;
import org.celerygw.core.store.Row;

/**
 * The heads of all hosts' journals as this host read them last. The lease of a host starts when this host first reads a
 * new version of its head, by this host's own clock; the clocks of different hosts are never compared.
 */
final class Leases {
    private final long leaseMs;
    private final Map<String, ObservedHead> headsByHost = new HashMap<>();

    Leases(long leaseMs) {
        this.leaseMs = leaseMs;
    }

    /** A head, with the time from which this host counts the lease of the head's host. */
    record ObservedHead(HostId host, long version, Head head, long leaseStartMs) {
        boolean isSealed() {
            return !head.getSealedBy().isEmpty();
        }
    }

    /** Stores the heads in rows that were read; a head with a new version renews its host's lease. */
    void observe(List<Row> rows, long readMs) {
        rows.stream().filter(Row::exists).forEach(row -> observe(row, readMs));
    }

    private void observe(Row row, long readMs) {
        String host = row.key().substring(RowKeys.HEAD_PREFIX.length());
        ObservedHead previous = headsByHost.get(host);
        if (previous == null || previous.version() != row.version()) {
            headsByHost.put(host, new ObservedHead(new HostId(host), row.version(), parse(row), readMs));
        }
    }

    /** Restarts all leases after the store did not answer, because live hosts could not renew theirs either. */
    void restart(long nowMs) {
        headsByHost.replaceAll(
                (host, observed) -> new ObservedHead(observed.host(), observed.version(), observed.head(), nowMs));
    }

    /** Restarts the lease of one host, so that the next attempt to seal its journal follows after a full lease. */
    void restart(ObservedHead observed, long nowMs) {
        headsByHost.replace(
                observed.host().value(), new ObservedHead(observed.host(), observed.version(), observed.head(), nowMs));
    }

    /** Stores the head that this host has written to seal a journal. */
    void recordSeal(ObservedHead observed, Head head, long nowMs) {
        headsByHost.put(
                observed.host().value(), new ObservedHead(observed.host(), observed.version() + 1, head, nowMs));
    }

    /** Returns the heads of the unsealed journals whose host did not write for the duration of a lease. */
    List<ObservedHead> expired(long nowMs) {
        return headsByHost.values().stream()
                .filter(observed -> !observed.isSealed() && nowMs - observed.leaseStartMs() >= leaseMs)
                .toList();
    }

    /** Returns the head of a host's journal if it is sealed. */
    Optional<ObservedHead> sealedHead(String host) {
        return Optional.ofNullable(headsByHost.get(host)).filter(ObservedHead::isSealed);
    }

    Set<HostId> sealedHosts() {
        return headsByHost.values().stream()
                .filter(ObservedHead::isSealed)
                .map(ObservedHead::host)
                .collect(Collectors.toSet());
    }

    private static Head parse(Row row) {
        try {
            return Head.parseFrom(row.value());
        } catch (InvalidProtocolBufferException e) {
            // Treating an unreadable head as sealed is safe: its owner is fenced, and entries that can't be replayed
            // are reported as damaged.
            return Head.newBuilder().setSealedBy("unreadable").build();
        }
    }
}
