package org.celerygw.core.limits;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * The order in which hosts keep the account of a customer (rendezvous hashing), and which of them do not answer this
 * host. Not thread-safe.
 */
final class KeeperOrder {
    private static final long REFRESH_MS = 500;
    private static final int MAX_TIMEOUTS = 2;
    private static final long MIN_FORGET_MS = 30_000;
    /** A live host sends at least this often in large fleets, where digests to all hosts take longer. */
    private static final long FORGET_MS_PER_HOST = 200;

    private static final int MAX_REMEMBERED = 4_000;
    /** A host to which more than this many hosts in a row are silent is cut off itself. */
    private static final int MAX_SILENT = 6;

    private final String self;
    private final Supplier<? extends Collection<String>> knownHosts;
    private final Map<String, Integer> timeouts = new HashMap<>();
    private final Map<String, Long> aliveMs = new HashMap<>();
    private List<String> hosts = List.of();
    private boolean withSelf;
    private long refreshedMs = Long.MIN_VALUE / 2;
    private long changedMs;
    private long version;

    KeeperOrder(String self, Supplier<? extends Collection<String>> knownHosts, long nowMs) {
        this.self = self;
        this.knownHosts = knownHosts;
        this.changedMs = nowMs;
    }

    /** Reads the known hosts again from time to time, and when this host may keep accounts or no longer. */
    void refresh(boolean mayKeep, long nowMs) {
        if (nowMs - refreshedMs < REFRESH_MS && mayKeep == withSelf) {
            return;
        }
        refreshedMs = nowMs;
        if (mayKeep != withSelf) {
            version++;
            // Another host may have kept this host's accounts until now, or keeps them from now on.
            changedMs = nowMs;
        }
        withSelf = mayKeep;
        Set<String> known = Set.copyOf(knownHosts.get());
        if (known.size() == hosts.size() && known.containsAll(hosts)) {
            return;
        }
        if (!known.containsAll(hosts)) {
            changedMs = nowMs;
        }
        if (timeouts.size() > MAX_REMEMBERED) {
            timeouts.keySet().retainAll(known);
        }
        known.forEach(host -> aliveMs.putIfAbsent(host, nowMs));
        // Not by name, so that neighbours in the list are not in the same zone.
        hosts = known.stream()
                .sorted(Comparator.comparingLong(host -> weight("", host)))
                .toList();
        version++;
    }

    /** Returns a number that differs after each change of the order. */
    long version() {
        return version;
    }

    /** Returns when a host was lost last, or this host started: others may keep accounts until all have noticed. */
    long changedMs() {
        return changedMs;
    }

    /** Returns the hosts that may keep an account, first the one that should; none if too many do not answer. */
    Stream<String> candidates(String customer) {
        return Stream.concat(hosts.stream(), withSelf ? Stream.of(self) : Stream.empty())
                .sorted(Comparator.<String, Long>comparing(host -> weight(customer, host))
                        .reversed())
                .limit(MAX_SILENT + 1)
                .filter(host -> !isSilent(host));
    }

    /** Returns whether a host that would keep the account does not answer, so that another may keep it as well. */
    boolean hasSilentBefore(String customer, String keeper) {
        long keeperWeight = weight(customer, keeper);
        return hosts.stream().anyMatch(host -> isSilent(host) && weight(customer, host) > keeperWeight);
    }

    /** Returns whether the hosts of the fleet are known, so that one of them keeps each account. */
    boolean knowsHosts() {
        return withSelf || !hosts.isEmpty();
    }

    /** Returns the other hosts that answer. */
    List<String> answering() {
        return hosts.stream().filter(host -> !isSilent(host)).toList();
    }

    /** Returns the other hosts that answer, or have not answered for a short time only and may be cut off. */
    List<String> remembered(long nowMs) {
        long forgetMs = Math.max(MIN_FORGET_MS, FORGET_MS_PER_HOST * hosts.size());
        return hosts.stream()
                .filter(host -> nowMs - aliveMs.getOrDefault(host, nowMs) < forgetMs)
                .toList();
    }

    /** Returns how many hosts are known, with this one. */
    int size() {
        return hosts.size() + 1;
    }

    boolean isSilent(String host) {
        return timeouts.getOrDefault(host, 0) >= MAX_TIMEOUTS;
    }

    void onAlive(String host, long nowMs) {
        if (aliveMs.size() > MAX_REMEMBERED) {
            aliveMs.clear();
        }
        aliveMs.put(host, nowMs);
        Integer count = timeouts.remove(host);
        if (count != null && count >= MAX_TIMEOUTS) {
            version++;
        }
    }

    /** Counts a message without an answer; returns whether the host is silent from now on. */
    boolean onTimeout(String host, long nowMs) {
        boolean lost = timeouts.merge(host, 1, Integer::sum) == MAX_TIMEOUTS;
        if (lost) {
            changedMs = nowMs;
            version++;
        }
        return lost;
    }

    /** Returns the hosts that have not answered for a short time only. */
    List<String> silent(long nowMs) {
        return remembered(nowMs).stream().filter(this::isSilent).toList();
    }

    static long weight(String customer, String host) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(customer, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(host, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
