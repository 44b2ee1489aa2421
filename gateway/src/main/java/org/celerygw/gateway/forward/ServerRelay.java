package org.celerygw.gateway.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.celerygw.core.limits.UnsentBytes;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.servers.TrackedServer;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Scheduler;
import org.celerygw.gateway.net.ClientRequest;
import org.celerygw.gateway.net.ClientResponse;
import org.celerygw.gateway.net.OriginPool;
import org.celerygw.gateway.net.OriginRequest;
import org.celerygw.gateway.net.RequestHandler;
import org.celerygw.gateway.net.ResponseHandler;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests to backend servers for peers that do not reach them. The peer has decided everything; this host only
 * passes bytes on, over connections of its own and never through another peer, so that requests cannot loop.
 */
public final class ServerRelay implements RequestHandler {
    private static final int MAX_IN_FLIGHT = 128;
    private static final int NOT_SENT_STATUS = 503;
    private static final long MAX_IDLE_MS = 1_500;
    private static final long MAX_TIMEOUT_MS = 600_000;
    /** What all peers together may leave unread. */
    private static final long MAX_UNREAD_BYTES = 16L << 20;
    /** A peer reads as fast as its client; after a longer pause it is taken for dead. */
    private static final long MAX_PAUSE_MS = 5_000;

    private final ServerLinks links;
    private final ServerList servers;
    private final Scheduler scheduler;
    private final Clock clock;
    private final UnsentBytes unreadBytes = new UnsentBytes(MAX_UNREAD_BYTES);
    private int inFlight;
    private boolean stopping;

    /**
     * Creates a relay without requests.
     *
     * @param links sends the requests
     * @param servers the backend servers, as this host knows them
     * @param scheduler runs timeouts
     */
    public ServerRelay(ServerLinks links, ServerList servers, Scheduler scheduler) {
        this.links = links;
        this.servers = servers;
        this.scheduler = scheduler;
        this.clock = links.clock();
    }

    /**
     * Returns whether a request on the port for peers is meant for a backend server.
     *
     * @param request the request
     * @return true if it is to be handled here
     */
    public static boolean isRelayed(ClientRequest request) {
        return request.headers().contains(RelayHeaders.SERVER);
    }

    /** Refuses all further requests, so that the peers send them elsewhere. */
    public void beginStop() {
        stopping = true;
    }

    /**
     * Returns how many requests of peers are in flight.
     *
     * @return the number of requests that have not ended
     */
    public int requestsInFlight() {
        return inFlight;
    }

    @Override
    public void handle(ClientRequest request, ClientResponse response) {
        TrackedServer server = servers.byId(request.headers().get(RelayHeaders.SERVER, ""));
        if (server == null || !server.isUsable() || stopping || inFlight >= MAX_IN_FLIGHT) {
            refuse(response);
        } else {
            new Relayed(response).start(request, server);
        }
    }

    private static void refuse(ClientResponse response) {
        response.send(NOT_SENT_STATUS, new DefaultHttpHeaders().set(RelayHeaders.NOT_SENT, "1"), new byte[0]);
    }

    private static long timeoutMs(ClientRequest request) {
        try {
            long timeoutMs = Long.parseLong(request.headers().get(RelayHeaders.TIMEOUT_MS, "0"));
            return Math.max(0, Math.min(MAX_TIMEOUT_MS, timeoutMs));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** One request of a peer. */
    private final class Relayed implements ResponseHandler {
        private final ClientResponse response;
        private OriginPool.@Nullable PendingRequest pending;
        private final ReadPacer pacer;
        private boolean ended;
        private boolean pauseWatched;

        Relayed(ClientResponse response) {
            this.response = response;
            this.pacer = new ReadPacer(clock, unreadBytes, response);
        }

        void start(ClientRequest request, TrackedServer server) {
            inFlight++;
            response.onClientDisconnect(this::cancel);
            scheduler.schedule(timeoutMs(request), this::breakOff);
            OriginRequest passedOn = new OriginRequest(
                    request.method(),
                    request.uri(),
                    Headers.copy(request.headers(), RelayHeaders::isForwardable),
                    request.body());
            pending = links.sendDirect(
                    server, passedOn, request.headers().get(RelayHeaders.REQUEST, ""), MAX_IDLE_MS, this);
            pacer.begin(pending);
        }

        private void breakOff() {
            if (!ended) {
                cancel();
                response.abort();
            }
        }

        private void cancel() {
            if (!ended) {
                end();
                if (pending != null) {
                    pending.cancel();
                }
            }
        }

        private void end() {
            ended = true;
            inFlight--;
        }

        @Override
        public void onHead(HttpResponse head) {
            response.start(head.status().code(), Headers.copy(head.headers(), RelayHeaders::isForwardable));
        }

        @Override
        public void onBody(byte[] bytes) {
            pacer.sendBody(bytes);
            if (pacer.isPaused() && !pauseWatched) {
                watchPause();
            }
        }

        private void watchPause() {
            pauseWatched = true;
            long readingSinceMs = pacer.readingSinceMs();
            scheduler.schedule(MAX_PAUSE_MS, () -> {
                pauseWatched = false;
                if (pacer.isPaused() && pacer.readingSinceMs() == readingSinceMs) {
                    breakOff();
                } else if (pacer.isPaused()) {
                    watchPause();
                }
            });
        }

        @Override
        public void onComplete() {
            end();
            response.finish();
        }

        @Override
        public void onFailure(boolean sent) {
            end();
            if (sent) {
                response.abort();
            } else {
                refuse(response);
            }
        }
    }
}
