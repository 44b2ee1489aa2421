package org.celerygw.core.limits;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.celerygw.core.gen.peers.PermitReply;
import org.celerygw.core.gen.peers.PermitRequest;
import org.celerygw.core.gen.peers.PermitResult;
import org.celerygw.core.servers.RequestLimit;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.servers.TrackedServer;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Scheduler;

/**
 * Keeps the request limits of servers over all hosts together. For each server with a limit, the host with the highest
 * rendezvous weight among those that answer issues permits, and every host asks it for one before each request. It holds
 * no state worth keeping: when it dies, the next host in the order starts with an empty account. A host that begins to
 * issue permits for a server says so to the next in the order at once, since that one may have done it so far. Not
 * thread-safe.
 */
public final class Permits {
    /** How long a permit is valid, in ms. */
    static final long VALIDITY_MS = 500;

    private static final long REPLY_TIMEOUT_MS = 100;
    private static final int MAX_TIMEOUTS = 3;
    private static final long ELSEWHERE_RETRY_MS = 300;
    private static final long MAX_RETRY_MS = 2_000;
    private static final int ANNOUNCED_HOSTS = 2;
    /** Longer than a host needs to hear of each other one in a large fleet, in ms. */
    private static final long GONE_AFTER_MS = 10_000;

    private final String host;
    private final Clock clock;
    private final Scheduler scheduler;
    private final ServerList servers;
    private final Network network;
    private final PermitIssuer issuer = new PermitIssuer();
    private final Map<Long, Request> requests = new HashMap<>();
    private final Map<String, Silence> silences = new HashMap<>();
    private long nextRequestId;
    private long grantedPermits;
    private long refusedPermits;
    private long lostReplies;

    /** Reaches the other hosts. */
    public interface Network {
        /**
         * Returns the other hosts of the fleet, down or not, except those that say that they grant no permits.
         *
         * @return their names
         */
        Collection<String> grantingHosts();

        /**
         * Tells another host that this one is alive and grants permits; the message may be lost.
         *
         * @param host the name of the other host
         */
        void announce(String host);

        /**
         * Returns whether this host knows the others and is not stopping.
         *
         * @return false if it could take itself for the first in the order, or if others should take its place
         */
        boolean mayGrant();

        /**
         * Sends a request for a permit; it or its reply may be lost.
         *
         * @param host the name of the host that issues permits
         * @param request the request
         */
        void send(String host, PermitRequest request);
    }

    private record Request(String server, String host, long sentAtMs) {}

    /** Requests in a row that a host has not answered, and the time of the last. */
    private record Silence(int timeouts, long lastMs) {}

    /**
     * Creates the permits of a host that has just started.
     *
     * @param host this host's name
     * @param clock the time source
     * @param scheduler runs the timeouts of requests
     * @param servers the servers whose permits are kept
     * @param network reaches the other hosts
     */
    public Permits(String host, Clock clock, Scheduler scheduler, ServerList servers, Network network) {
        this.host = host;
        this.clock = clock;
        this.scheduler = scheduler;
        this.servers = servers;
        this.network = network;
        // Replies to an earlier process of this host must not match.
        this.nextRequestId = clock.nowMs() << 20;
    }

    /**
     * Returns whether this host issues permits.
     *
     * @return false shortly after the start and while the host is stopping
     */
    public boolean grants() {
        return network.mayGrant();
    }

    /**
     * Asks for a permit to send one request to a server, unless one is held or asked for already. The permit arrives at
     * the server itself.
     *
     * @param server a server with a request limit
     */
    public void request(TrackedServer server) {
        long nowMs = clock.nowMs();
        RequestLimit limit = server.limit();
        if (limit.mayRequestPermit(nowMs)) {
            boolean unused = limit.takeUnusedPermit(nowMs);
            limit.permitRequested(nowMs + REPLY_TIMEOUT_MS);
            request(server.entry().id(), limit.perS(nowMs), unused);
        }
    }

    private void request(String server, double limitPerS, boolean unused) {
        Optional<String> issuingHost = issuingHost(server);
        if (issuingHost.isEmpty()) {
            return;
        }
        if (issuingHost.get().equals(host)) {
            apply(server, issue(server, limitPerS, unused));
            return;
        }
        long id = nextRequestId++;
        Request request = new Request(server, issuingHost.get(), clock.nowMs());
        requests.put(id, request);
        scheduler.schedule(REPLY_TIMEOUT_MS, () -> onTimeout(id));
        network.send(
                request.host(),
                PermitRequest.newBuilder()
                        .setId(id)
                        .setServer(server)
                        .setLimitPerS(limitPerS)
                        .setReturnsUnused(unused)
                        .build());
    }

    /**
     * Answers the request of another host.
     *
     * @param request the request
     * @return the reply
     */
    public PermitReply answer(PermitRequest request) {
        String server = request.getServer();
        PermitReply.Builder reply = PermitReply.newBuilder();
        if (grants() && request.getLimitPerS() >= 0) {
            if (issuingHost(server).equals(Optional.of(host))) {
                reply = issue(server, request.getLimitPerS(), request.getReturnsUnused());
            } else {
                // The asking host may have found that the one before this host is dead, which this host then finds,
                // too.
                probe(server, request.getLimitPerS());
            }
        }
        return reply.setId(request.getId()).build();
    }

    private void probe(String server, double limitPerS) {
        boolean asking =
                requests.values().stream().anyMatch(request -> request.server().equals(server));
        if (!asking) {
            request(server, limitPerS, false);
        }
    }

    /**
     * Applies the reply of the host that issues permits.
     *
     * @param reply the reply; ignored if it is too late or was not asked for
     */
    public void onReply(PermitReply reply) {
        Request request = requests.remove(reply.getId());
        if (request != null) {
            onHostAlive(request.host());
            apply(request.server(), reply.toBuilder());
        }
    }

    /**
     * Records a sign of life of another host. If that host was silent, it may have been this one that was cut off, so that
     * the other silent ones are asked again, too.
     *
     * @param name the host's name
     */
    public void onHostAlive(String name) {
        if (isSilent(name)) {
            silences.clear();
        } else {
            silences.remove(name);
        }
    }

    /**
     * Returns how many permits this host was granted, by itself or by others.
     *
     * @return the number since the start
     */
    public long grantedPermits() {
        return grantedPermits;
    }

    /**
     * Returns how many requests for permits were to be repeated, later or at another host.
     *
     * @return the number since the start
     */
    public long refusedPermits() {
        return refusedPermits;
    }

    /**
     * Returns how many requests for permits were not answered.
     *
     * @return the number since the start
     */
    public long lostReplies() {
        return lostReplies;
    }

    /** Returns the host that issues a server's permits, as far as this host knows; empty if none does. */
    private Optional<String> issuingHost(String server) {
        Stream<String> self = grants() ? Stream.of(host) : Stream.empty();
        return Stream.concat(otherHosts(), self).max(Comparator.comparing(name -> weight(server, name)));
    }

    private Stream<String> otherHosts() {
        return network.grantingHosts().stream().filter(name -> !isSilent(name));
    }

    private boolean isSilent(String name) {
        Silence silence = silences.get(name);
        return silence != null && silence.timeouts() >= MAX_TIMEOUTS;
    }

    /**
     * Returns whether a host that comes before this one has been silent for a short time only. It may be alive and issue
     * permits as well, so that this host issues half of them: together they stay within one and a half times the limit.
     */
    private boolean issuesHalf(String server) {
        long ownWeight = weight(server, host);
        return network.grantingHosts().stream()
                .filter(this::isSilent)
                .filter(name -> weight(server, name) > ownWeight)
                .anyMatch(name -> clock.nowMs() - silences.get(name).lastMs() < GONE_AFTER_MS);
    }

    private PermitReply.Builder issue(String server, double requestedLimitPerS, boolean unused) {
        if (issuer.isNew(server)) {
            otherHosts()
                    .sorted(Comparator.<String, Long>comparing(name -> weight(server, name))
                            .reversed())
                    .limit(ANNOUNCED_HOSTS)
                    .forEach(network::announce);
        }
        long nowMs = clock.nowMs();
        TrackedServer known = servers.knownById(server);
        double limitPerS = known == null
                ? requestedLimitPerS
                : Math.min(requestedLimitPerS, known.limit().perS(nowMs));
        long waitMs = issuer.issue(server, issuesHalf(server) ? limitPerS / 2 : limitPerS, unused, nowMs);
        boolean granted = waitMs <= PermitIssuer.MAX_WAIT_MS;
        return PermitReply.newBuilder()
                .setResult(granted ? PermitResult.GRANTED : PermitResult.LATER)
                .setWaitMs((int) (granted ? waitMs : waitMs - PermitIssuer.MAX_WAIT_MS));
    }

    private void apply(String server, PermitReply.Builder reply) {
        boolean granted = reply.getResult() == PermitResult.GRANTED;
        grantedPermits += granted ? 1 : 0;
        refusedPermits += granted ? 0 : 1;
        TrackedServer known = servers.knownById(server);
        if (known == null) {
            return;
        }
        long nowMs = clock.nowMs();
        long waitMs = Math.max(0, reply.getWaitMs());
        switch (reply.getResult()) {
            case GRANTED -> {
                long validFromMs = nowMs + Math.min(waitMs, PermitIssuer.MAX_WAIT_MS);
                known.limit().grantPermit(validFromMs, validFromMs + VALIDITY_MS);
            }
            case LATER -> known.limit().permitRefused(nowMs + Math.min(waitMs, MAX_RETRY_MS));
            default -> known.limit().permitRefused(nowMs + ELSEWHERE_RETRY_MS);
        }
    }

    private void onTimeout(long id) {
        Request request = requests.remove(id);
        if (request == null) {
            return;
        }
        lostReplies++;
        // A timer that fires late shows that this host was slow, not the other one.
        if (clock.nowMs() - request.sentAtMs() < 2 * REPLY_TIMEOUT_MS) {
            silences.merge(
                    request.host(),
                    new Silence(1, clock.nowMs()),
                    (before, last) -> new Silence(before.timeouts() + 1, last.lastMs()));
        }
    }

    private static long weight(String server, String host) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(server, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(host, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
