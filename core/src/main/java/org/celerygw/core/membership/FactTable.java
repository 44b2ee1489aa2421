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

/** The newest fact of each kind and subject. A higher version wins; of equal ones, leaving wins over staying. */
final class FactTable {
    /** The most subjects of one kind; the oldest version goes first. */
    private static final int MAX_SUBJECTS = 8192;

    private final Map<String, FactRecord> marks = new HashMap<>();
    private final Map<String, FactRecord> loads = new HashMap<>();

    /** Takes a fact when it is newer than what is held, and returns whether it was. */
    boolean merge(FactRecord fact) {
        return switch (fact.getKind()) {
            case BACKEND_LEAVING, BACKEND_STAYING -> put(marks, fact);
            case BACKEND_LOAD -> put(loads, fact);
            default -> false; // a later release may know more kinds
        };
    }

    boolean leaving(BackendServerId id) {
        FactRecord mark = marks.get(id.value());
        return mark != null && mark.getKind() == FactRecordKind.BACKEND_LEAVING;
    }

    Set<BackendServerId> leaving() {
        return marks.values().stream()
                .filter(m -> m.getKind() == FactRecordKind.BACKEND_LEAVING)
                .map(m -> new BackendServerId(m.getSubject()))
                .collect(Collectors.toUnmodifiableSet());
    }

    Optional<LoadSummary> load(BackendServerId id) {
        return Optional.ofNullable(loads.get(id.value()))
                .map(f -> new LoadSummary(f.getVersion(), f.getQueued(), f.getRunning(), f.getCachePermille()));
    }

    /** The facts that every member keeps, and whose agreement the members check. */
    Collection<FactRecord> kept() {
        return marks.values();
    }

    void forgetLoadsBefore(long observedAtMs) {
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

    private static boolean put(Map<String, FactRecord> facts, FactRecord fact) {
        if (!isName(fact.getSubject())) {
            return false;
        }
        FactRecord held = facts.get(fact.getSubject());
        if (held != null && !newer(fact, held)) {
            return false;
        }
        facts.put(fact.getSubject(), fact);
        if (facts.size() > MAX_SUBJECTS) {
            removeOldest(facts);
        }
        return true;
    }

    private static boolean newer(FactRecord fact, FactRecord held) {
        if (fact.getVersion() != held.getVersion()) {
            return Long.compareUnsigned(fact.getVersion(), held.getVersion()) > 0;
        }
        return fact.getKind() == FactRecordKind.BACKEND_LEAVING && held.getKind() == FactRecordKind.BACKEND_STAYING;
    }

    private static boolean isName(String subject) {
        try {
            new BackendServerId(subject);
            return true;
        } catch (GatewayException e) {
            return false;
        }
    }

    private static void removeOldest(Map<String, FactRecord> facts) {
        Iterator<FactRecord> all = facts.values().iterator();
        FactRecord oldest = all.next();
        while (all.hasNext()) {
            FactRecord next = all.next();
            oldest = next.getVersion() < oldest.getVersion() ? next : oldest;
        }
        facts.remove(oldest.getSubject());
    }
}
