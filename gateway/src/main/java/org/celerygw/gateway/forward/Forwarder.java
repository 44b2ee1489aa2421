package org.celerygw.gateway.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.limits.ByteQuota;
import org.celerygw.core.limits.CustomerQuotas;
import org.celerygw.core.limits.UnsentBytes;
import org.celerygw.core.quarantine.Quarantine;
import org.celerygw.core.routes.ResponseTimeAverages;
import org.celerygw.core.routes.Route;
import org.celerygw.core.routes.RouteTable;
import org.celerygw.core.routes.Service;
import org.celerygw.core.scheduling.EngineQueue;
import org.celerygw.core.scheduling.GracefulStop;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.servers.ServerSelector;
import org.celerygw.core.servers.SpeedLearner;
import org.celerygw.core.servers.TrackedServer;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.ProgramStore;
import org.celerygw.core.turns.Scheduler;
import org.celerygw.gateway.net.ClientRequest;
import org.celerygw.gateway.net.ClientResponse;
import org.celerygw.gateway.net.RequestHandler;
import org.jspecify.annotations.Nullable;

/**
 * Matches each client request to a route and starts its exchange with a backend server. Not thread-safe: used on one
 * event loop.
 */
public final class Forwarder implements RequestHandler {
    private static final int UNAUTHORIZED = 401;
    private static final long NO_CONFIG_RETRY_AFTER_MS = 300;
    private static final long QUEUE_POLL_INTERVAL_MS = 10;
    /** The part of the host's memory for responses that are held, in 64ths: 24 MiB of 256. */
    private static final int HELD_RESPONSES_64THS = 6;
    /** The part for what slow clients have not taken. */
    private static final int UNSENT_64THS = 3;

    final Clock clock;
    final Scheduler scheduler;
    final Dialect dialect;
    final ServerList servers;
    final ServerSelector serverSelector;
    final OriginPools originPools;
    final ServerLinks links;
    final ProgramStore programStore;
    final RequestLog requestLog;
    final EngineQueue engineQueue;
    final Quarantine quarantine;
    final CustomerQuotas quotas;
    final ByteQuota responseBytes;
    final UnsentBytes unsentBytes;
    final ResponseTimeAverages responseTimes = new ResponseTimeAverages();
    final SpeedLearner speedLearner = new SpeedLearner();
    private final Supplier<@Nullable RouteTable> currentRoutes;
    private final Authenticator authenticator;
    private final Runnable onLoadChanged;
    private final Runnable onSuspectsChanged;
    private final Set<Exchange> exchanges = new LinkedHashSet<>();
    final StopAdmission stopAdmission;
    private boolean pollScheduled;

    /**
     * Creates a forwarder without requests.
     *
     * @param clock the time source of deadlines and durations
     * @param scheduler runs timeouts and delayed retries
     * @param dialect translates headers
     * @param currentRoutes supplies the routes of the latest configuration; null before the first one is known
     * @param authenticator determines the customer of each request
     * @param servers the backend servers
     * @param serverSelector selects a backend server for each send
     * @param engineQueue decides which request to an engine starts, waits or is refused
     * @param originPools the connections to the backend servers
     * @param links sends requests over these connections or through peers
     * @param programStore reserves and settles token budgets and stores turns
     * @param quarantine the requests under which servers have crashed
     * @param quotas the quotas of the customers
     * @param requestLog logs and counts sends and ends of requests
     * @param onLoadChanged called when a request to an engine has started or ended
     * @param onSuspectsChanged called when a server has crashed under a request
     * @param memoryBytes how much memory the host may use, of which a part is for responses
     */
    public Forwarder(
            Clock clock,
            Scheduler scheduler,
            Dialect dialect,
            Supplier<@Nullable RouteTable> currentRoutes,
            Authenticator authenticator,
            ServerList servers,
            ServerSelector serverSelector,
            EngineQueue engineQueue,
            OriginPools originPools,
            ServerLinks links,
            ProgramStore programStore,
            Quarantine quarantine,
            CustomerQuotas quotas,
            RequestLog requestLog,
            Runnable onLoadChanged,
            Runnable onSuspectsChanged,
            long memoryBytes) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.dialect = dialect;
        this.currentRoutes = currentRoutes;
        this.authenticator = authenticator;
        this.servers = servers;
        this.serverSelector = serverSelector;
        this.engineQueue = engineQueue;
        this.originPools = originPools;
        this.links = links;
        this.programStore = programStore;
        this.quarantine = quarantine;
        this.quotas = quotas;
        this.requestLog = requestLog;
        this.stopAdmission = new StopAdmission(clock, responseTimes, requestLog);
        this.onLoadChanged = onLoadChanged;
        this.onSuspectsChanged = onSuspectsChanged;
        this.responseBytes = new ByteQuota(memoryBytes / 64 * HELD_RESPONSES_64THS);
        this.unsentBytes = new UnsentBytes(memoryBytes / 64 * UNSENT_64THS);
    }

    @Override
    public void handle(ClientRequest request, ClientResponse response) {
        try {
            RequestMetadata metadata = dialect.parseRequest(request);
            RouteTable routes = currentRoutes.get();
            if (routes == null) {
                refuse(response, metadata, new Refusal(503, "no configuration received yet", NO_CONFIG_RETRY_AFTER_MS));
                return;
            }
            Optional<Route> route = routes.find(metadata.host(), request.path());
            if (route.isEmpty()) {
                refuse(
                        response,
                        metadata,
                        new Refusal(404, "no matching route in configuration version " + routes.version(), 0));
                return;
            }
            long deadlineMs = request.receivedAtMs() + metadata.timeoutMs(route.get());
            Optional<Refusal> tooLate = stopAdmission.onArrival(metadata, route.get(), deadlineMs);
            if (tooLate.isPresent()) {
                refuse(response, metadata, tooLate.get());
                return;
            }
            Authenticator.Decision decision =
                    authenticator.authenticate(metadata.credentials(), route.get(), routes, clock.nowMs());
            if (decision.refusal().isPresent()) {
                refuse(response, metadata, decision.refusal().get());
                return;
            }
            Exchange exchange =
                    new Exchange(this, request, response, metadata, route.get(), routes, decision.customer());
            exchanges.add(exchange);
            exchange.start();
        } catch (GatewayException e) {
            refuse(response, null, new Refusal(e.code().httpStatus(), String.valueOf(e.getMessage()), 0));
        }
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return exchanges that have started and not ended
     */
    public int requestsInFlight() {
        return exchanges.size();
    }

    /**
     * Begins a graceful stop: from now on, requests that cannot be answered in time are refused.
     *
     * @param begun the stop
     */
    public void beginStop(GracefulStop begun) {
        stopAdmission.begin(begun);
    }

    /** Refuses the requests that wait for a server, a quota or the store and may outlast this host, which stops. */
    public void refuseOutlasting() {
        List.copyOf(exchanges).forEach(Exchange::refuseIfOutlastingHost);
    }

    /** Answers all requests in flight, since the host has no time left: as not run, or as unknown once they were sent. */
    public void endAll() {
        List.copyOf(exchanges).forEach(Exchange::endForStop);
    }

    /** Counts a request that is sent to a server. */
    void requestStarted(TrackedServer server, @Nullable Service service, long tokens) {
        server.requestStarted(tokens);
        reportLoadChange(service);
    }

    /** Counts a request that no longer runs at a server. */
    void requestEnded(TrackedServer server, @Nullable Service service, long tokens) {
        server.requestEnded(tokens);
        reportLoadChange(service);
        // Not during this call: the exchange whose request has ended is not ready for another one yet.
        scheduler.schedule(0, this::pollQueue);
    }

    /** Reports that requests have joined or left the queue. */
    void queueChanged() {
        onLoadChanged.run();
        if (!pollScheduled && engineQueue.hasWaiting()) {
            pollScheduled = true;
            scheduler.schedule(QUEUE_POLL_INTERVAL_MS, () -> {
                pollScheduled = false;
                pollQueue();
            });
        }
    }

    private void pollQueue() {
        if (engineQueue.hasWaiting()) {
            engineQueue.poll(clock.nowMs());
            queueChanged();
        }
    }

    /** Lets the peers know of a request under which a server has crashed. */
    void reportSuspects() {
        onSuspectsChanged.run();
    }

    private void reportLoadChange(@Nullable Service service) {
        if (service != null && service.runsEngines()) {
            onLoadChanged.run();
        }
    }

    void exchangeEnded(Exchange exchange) {
        exchanges.remove(exchange);
    }

    /** Responds to a request that no server has executed or will execute. */
    void refuse(ClientResponse response, @Nullable RequestMetadata metadata, Refusal refusal) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (refusal.retryAfterMs() > 0) {
            dialect.setRetryAfter(headers, refusal.retryAfterMs());
        }
        if (refusal.status() == UNAUTHORIZED) {
            headers.set(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer");
        }
        response.send(refusal.status(), headers, new byte[0]);
        requestLog.logRefusal(metadata, refusal);
    }

    /**
     * Why a request is refused without being executed.
     *
     * @param status the status code sent to the client
     * @param reason the reason for the log; not sent to the client
     * @param retryAfterMs the time after which the client may retry; 0 to send no such header
     */
    record Refusal(int status, String reason, long retryAfterMs) {
        static Refusal of(ErrorCode code, String reason, long retryAfterMs) {
            return new Refusal(code.httpStatus(), reason, retryAfterMs);
        }
    }
}
