package org.celerygw.core.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.fleet.FactRecord;
import org.celerygw.core.gen.fleet.FactRecordKind;
import org.celerygw.core.id.BackendServerId;

/**
 * The newest leaving mark and the newest load of each backend server. The fact with the higher version wins; at equal
 * versions, leaving wins over staying.
 */
final class FactTable {
    /** Maximum number of backend servers per kind of fact; the fact with the lowest version is evicted first. */
    private static final int MAX_SUBJECTS_PER_KIND = 8192;

    private final Map<String, FactRecord> leavingMarks = new HashMap<>();
    private final Map<String, FactRecord> loads = new HashMap<>();

    /** Stores a fact if it is newer than the stored one, and returns whether it was stored. */
    boolean merge(FactRecord fact) {
        return switch (fact.getKind()) {
            case BACKEND_LEAVING, BACKEND_STAYING -> putIfNewer(leavingMarks, fact);
            case BACKEND_LOAD -> putIfNewer(loads, fact);
            default -> false; // a newer release may send kinds that this one does not know
        };
    }

    boolean isLeaving(BackendServerId id) {
        FactRecord mark = leavingMarks.get(id.value());
        return mark != null && mark.getKind() == FactRecordKind.BACKEND_LEAVING;
    }

    Set<BackendServerId> leavingServers() {
        return leavingMarks.values().stream()
                .filter(m -> m.getKind() == FactRecordKind.BACKEND_LEAVING)
                .map(m -> new BackendServerId(m.getSubject()))
                .collect(Collectors.toUnmodifiableSet());
    }

    Optional<LoadSummary> load(BackendServerId id) {
        return Optional.ofNullable(loads.get(id.value()))
                .map(f -> new LoadSummary(f.getVersion(), f.getQueued(), f.getRunning(), f.getCachePermille()));
    }

    /** Returns the facts that all members store and compare by digest; loads are not among them. */
    Collection<FactRecord> leavingMarkRecords() {
        return leavingMarks.values();
    }

    void removeLoadsBefore(long observedAtMs) {
        loads.values().removeIf(f -> f.getVersion() < observedAtMs);
    }

    static int hash(FactRecord fact) {
        return Hashing.murmur3_32_fixed()
                .newHasher()
                .putString(fact.getSubject(), StandardCharsets.UTF_8)
                .putLong(fact.getVersion())
                .putInt(fact.getKindValue())
                .hash()
                .asInt();
    }

    private static boolean putIfNewer(Map<String, FactRecord> facts, FactRecord fact) {
        if (!isServerId(fact.getSubject())) {
            return false;
        }
        FactRecord stored = facts.get(fact.getSubject());
        if (stored != null && !isNewer(fact, stored)) {
            return false;
        }
        facts.put(fact.getSubject(), fact);
        if (facts.size() > MAX_SUBJECTS_PER_KIND) {
            removeOldest(facts);
        }
        return true;
    }

    private static boolean isNewer(FactRecord fact, FactRecord stored) {
        if (fact.getVersion() != stored.getVersion()) {
            return Long.compareUnsigned(fact.getVersion(), stored.getVersion()) > 0;
        }
        return fact.getKind() == FactRecordKind.BACKEND_LEAVING && stored.getKind() == FactRecordKind.BACKEND_STAYING;
    }

    private static boolean isServerId(String subject) {
        try {
            new BackendServerId(subject);
            return true;
        } catch (GatewayException e) {
            return false;
        }
    }

    private static void removeOldest(Map<String, FactRecord> facts) {
        Iterator<FactRecord> remaining = facts.values().iterator();
        FactRecord oldest = remaining.next();
        while (remaining.hasNext()) {
            FactRecord next = remaining.next();
            oldest = next.getVersion() < oldest.getVersion() ? next : oldest;
        }
        facts.remove(oldest.getSubject());
    }
}
