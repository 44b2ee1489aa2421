package org.celerygw.gateway.forward;

import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.IntStream;
import org.celerygw.core.servers.Reachability;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.servers.TrackedServer;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Scheduler;
import org.celerygw.gateway.net.OriginPool;
import org.celerygw.gateway.net.OriginRequest;
import org.celerygw.gateway.net.ResponseHandler;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends requests to backend servers over connections of this host, or through a peer where none can be established. A
 * request that was sent once, or may have been, is not sent again here. Not thread-safe: used on one event loop.
 */
public final class ServerLinks {
    private static final Logger LOG = LoggerFactory.getLogger("servers");
    private static final long CHECK_INTERVAL_MS = 200;
    private static final long PEER_MAX_IDLE_MS = 2_000;

    private final Clock clock;
    private final Scheduler scheduler;
    private final Dialect dialect;
    private final ServerList servers;
    private final OriginPools originPools;
    private final PeerRoute peerRoute;
    private final Reachability reachability = new Reachability();
    private boolean checking;
    private long relayedRequests;

    /**
     * Creates the links of a host.
     *
     * @param clock the time source
     * @param scheduler runs the checks
     * @param dialect tells which response belongs to a request
     * @param servers the backend servers
     * @param originPools this host's connections to them
     * @param peerRoute the hosts through which they can be reached
     */
    public ServerLinks(
            Clock clock,
            Scheduler scheduler,
            Dialect dialect,
            ServerList servers,
            OriginPools originPools,
            PeerRoute peerRoute) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.dialect = dialect;
        this.servers = servers;
        this.originPools = originPools;
        this.peerRoute = peerRoute;
    }

    /** Starts the checks that find out whether this host is cut off; they end when it is not and no request is in flight. */
    private void ensureChecking() {
        if (!checking) {
            checking = true;
            scheduler.schedule(CHECK_INTERVAL_MS, this::check);
        }
    }

    private void check() {
        checking = false;
        if (!reachability.needsChecks()) {
            return;
        }
        // First, so that the next check does not depend on how this one ends.
        ensureChecking();
        int count = reachability.serversToProbe(clock.nowMs());
        if (count > 0) {
            probe(count);
        }
    }

    /**
     * Returns whether this host reaches no server over its own connections.
     *
     * @return true while peers should not ask this host to relay
     */
    public boolean isCutOff() {
        return reachability.isCutOff();
    }

    /**
     * Returns how many requests this host has sent through peers.
     *
     * @return the number since the start
     */
    public long relayedRequests() {
        return relayedRequests;
    }

    Clock clock() {
        return clock;
    }

    /** Returns whether a response that was lost says nothing about its server: it may have been lost on the way. */
    boolean prefersPeers(TrackedServer server) {
        return reachability.prefersPeers(server, clock.nowMs());
    }

    /**
     * Sends a request to a server, directly or through a peer.
     *
     * @param server the server
     * @param request the request
     * @param requestId the id that the response must carry
     * @param timeoutMs the time after which a peer gives the request up, in ms
     * @param maxIdleMs the maximum idle time of a reused connection, in ms
     * @param handler receives the response
     * @return the request in flight
     */
    OriginPool.PendingRequest send(
            TrackedServer server,
            OriginRequest request,
            String requestId,
            long timeoutMs,
            long maxIdleMs,
            ResponseHandler handler) {
        Send send = new Send(server, request, requestId, timeoutMs, maxIdleMs, handler, true);
        send.start(reachability.prefersPeers(server, clock.nowMs()));
        return send;
    }

    /** Sends a request over a connection of this host, whatever is known of its links; never through a peer. */
    OriginPool.PendingRequest sendDirect(
            TrackedServer server, OriginRequest request, String requestId, long maxIdleMs, ResponseHandler handler) {
        Send send = new Send(server, request, requestId, 0, maxIdleMs, handler, false);
        send.startDirect();
        return send;
    }

    private void probe(int count) {
        List<TrackedServer> usable =
                servers.all().stream().filter(TrackedServer::isUsable).toList();
        if (usable.isEmpty()) {
            return;
        }
        int first = ThreadLocalRandom.current().nextInt(usable.size());
        IntStream.range(0, Math.min(count, usable.size()))
                .mapToObj(i -> usable.get((first + i) % usable.size()))
                .forEach(this::probe);
    }

    private void probe(TrackedServer server) {
        long sinceMs = clock.nowMs();
        originPools.poolFor(server).probe(reached -> {
            if (reached) {
                onReached(server);
            } else {
                onConnectFailed(server, sinceMs);
            }
        });
    }

    /** A server that leaves gets no request any more; those in flight there end as they would. */
    private void recordLeaving(TrackedServer server, HttpResponse head) {
        ResponseMetadata response = dialect.parseResponse(head);
        if (response.leaving() && response.isCredible() && server.markLeaving()) {
            originPools.closeIdle(server);
            LOG.atInfo()
                    .addKeyValue("server", server.entry().id())
                    .addKeyValue("status", response.status())
                    .log("servers: a server says that it leaves; no more requests are sent to it");
        }
    }

    private void onReached(TrackedServer server) {
        if (reachability.onReached(server, clock.nowMs())) {
            LOG.atInfo()
                    .addKeyValue("server", server.entry().id())
                    .log("servers: reached over a connection of this host again");
        }
    }

    private void onConnectFailed(TrackedServer server, long sinceMs) {
        long nowMs = clock.nowMs();
        long usable = servers.all().stream().filter(TrackedServer::isUsable).count();
        if (reachability.onConnectFailed(server, nowMs - sinceMs, (int) usable, nowMs)) {
            originPools.closeAllIdle();
            ensureChecking();
            LOG.atWarn()
                    .addKeyValue("lastServer", server.entry().id())
                    .addKeyValue("servers", usable)
                    .log("servers: none is reached over connections of this host; sending through peers");
        }
    }

    /** One request on its way: at first directly or through a peer, and by the other way if nothing of it was sent. */
    private final class Send implements OriginPool.PendingRequest {
        private final TrackedServer server;
        private final OriginRequest request;
        private final String requestId;
        private final long timeoutMs;
        private final long maxIdleMs;
        private final ResponseHandler handler;
        private final boolean mayUsePeers;
        private @Nullable Deque<OriginPool> peers;
        private OriginPool.@Nullable PendingRequest pending;
        private long directSinceMs;
        private boolean directTried;
        private boolean directInFlight;
        private boolean cancelled;

        Send(
                TrackedServer server,
                OriginRequest request,
                String requestId,
                long timeoutMs,
                long maxIdleMs,
                ResponseHandler handler,
                boolean mayUsePeers) {
            this.server = server;
            this.request = request;
            this.requestId = requestId;
            this.timeoutMs = timeoutMs;
            this.maxIdleMs = maxIdleMs;
            this.handler = handler;
            this.mayUsePeers = mayUsePeers;
        }

        void start(boolean peersFirst) {
            if (peersFirst && hasPeer()) {
                tryNextPeer();
            } else {
                startDirect();
            }
        }

        void startDirect() {
            directTried = true;
            directInFlight = true;
            directSinceMs = clock.nowMs();
            reachability.onSend(directSinceMs);
            ensureChecking();
            pending = originPools
                    .poolFor(server)
                    .send(request, head -> dialect.matchesRequest(head, requestId), maxIdleMs, new DirectHandler());
        }

        /** Called when nothing of the request has been sent to the server yet: tries another way, or reports the failure. */
        private void continueIf(boolean anotherWay) {
            if (cancelled) {
                return;
            }
            if (anotherWay && hasPeer()) {
                tryNextPeer();
            } else if (anotherWay && !directTried && !reachability.isCutOff()) {
                startDirect();
            } else {
                handler.onFailure(false);
            }
        }

        /** Asks for peers only when one is needed, which is rare. */
        private boolean hasPeer() {
            if (peers == null) {
                peers = new ArrayDeque<>(mayUsePeers ? peerRoute.next() : List.of());
            }
            return !peers.isEmpty();
        }

        private void tryNextPeer() {
            OriginPool peer = Objects.requireNonNull(peers).remove();
            relayedRequests++;
            LOG.atInfo()
                    .addKeyValue("request", requestId)
                    .addKeyValue("server", server.entry().id())
                    .addKeyValue("peer", peer.address())
                    .addKeyValue("cutOff", reachability.isCutOff())
                    .log("servers: request sent through a peer");
            pending = peer.send(
                    RelayHeaders.add(request, server.entry().id(), requestId, timeoutMs),
                    head -> dialect.matchesRequest(head, requestId),
                    PEER_MAX_IDLE_MS,
                    new RelayHandler());
        }

        @Override
        public void cancel() {
            cancelled = true;
            endDirect();
            Optional.ofNullable(pending).ifPresent(OriginPool.PendingRequest::cancel);
        }

        @Override
        public void setReading(boolean reading) {
            Optional.ofNullable(pending).ifPresent(p -> p.setReading(reading));
        }

        @Override
        public int earlierRequests() {
            return pending == null ? 0 : pending.earlierRequests();
        }

        private void endDirect() {
            if (directInFlight) {
                directInFlight = false;
                reachability.onEnd();
            }
        }

        /** Receives the response over a connection of this host. */
        private final class DirectHandler implements ResponseHandler {
            @Override
            public void onHead(HttpResponse head) {
                onReached(server);
                recordLeaving(server, head);
                handler.onHead(head);
            }

            @Override
            public void onBody(byte[] bytes) {
                onReached(server);
                handler.onBody(bytes);
            }

            @Override
            public void onComplete() {
                endDirect();
                handler.onComplete();
            }

            @Override
            public void onMalformed() {
                endDirect();
                handler.onMalformed();
            }

            @Override
            public void onFailure(boolean sent) {
                endDirect();
                if (sent) {
                    handler.onFailure(true);
                } else {
                    onConnectFailed(server, directSinceMs);
                    continueIf(prefersPeers(server));
                }
            }
        }

        /** Receives the response through a peer; a peer that could not send the request says so. */
        private final class RelayHandler implements ResponseHandler {
            private boolean notSent;

            @Override
            public void onHead(HttpResponse head) {
                notSent = head.headers().contains(RelayHeaders.NOT_SENT);
                if (!notSent) {
                    recordLeaving(server, head);
                    handler.onHead(head);
                }
            }

            @Override
            public void onBody(byte[] bytes) {
                if (!notSent) {
                    handler.onBody(bytes);
                }
            }

            @Override
            public void onComplete() {
                if (notSent) {
                    reachability.onPeerFailed(server, clock.nowMs());
                    continueIf(true);
                } else {
                    handler.onComplete();
                }
            }

            @Override
            public void onMalformed() {
                handler.onMalformed();
            }

            @Override
            public void onFailure(boolean sent) {
                if (sent) {
                    handler.onFailure(true);
                } else {
                    continueIf(true);
                }
            }
        }
    }
}
