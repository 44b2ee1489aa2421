package org.celerygw.gateway.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.celerygw.core.routes.Customer;
import org.celerygw.core.routes.Route;
import org.celerygw.core.routes.RouteKind;
import org.celerygw.core.routes.RouteTable;
import org.celerygw.core.routes.Service;
import org.celerygw.core.servers.PromptPart;
import org.celerygw.core.servers.TrackedServer;
import org.celerygw.gateway.net.ClientRequest;
import org.celerygw.gateway.net.ClientResponse;
import org.celerygw.gateway.net.OriginPool;
import org.celerygw.gateway.net.OriginRequest;
import org.celerygw.gateway.net.ResponseHandler;
import org.jspecify.annotations.Nullable;

/**
 * One client request in flight. Sends it to one backend server at a time, with retries, until a response is complete or
 * the request fails.
 */
final class Exchange {
    private static final int MAX_SENDS = 6;
    private static final long RESPONSE_TIME_FACTOR = 2;
    private static final long STORE_TURN_MS = 50;
    private static final long RETRY_DELAY_MS = 15;
    private static final long PERMIT_POLL_INTERVAL_MS = 15;
    private static final long MIN_REMAINING_TO_SEND_MS = 20;
    private static final long NON_REPEATABLE_MAX_IDLE_MS = 1_500;
    private static final long REPEATABLE_MAX_IDLE_MS = 60_000;
    private static final long BUSY_RETRY_AFTER_MS = 150;
    private static final int SERVER_ERROR = 500;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final long STORE_RETRY_AFTER_MS = 300;
    private static final int STORE_RETRY_JITTER_MS = 300;

    final Forwarder forwarder;
    final ClientRequest request;
    final ClientResponse clientResponse;
    final RequestMetadata metadata;
    final Route route;
    final RouteTable routes;
    final @Nullable Service service;
    private final Optional<Customer> customer;
    final ReadPacer pacer;
    final ExchangeTimes times;
    private final ProgramTurn turn;
    private final CrashGuard crashGuard;
    private final QuotaTokens quotaTokens;
    private final long timeoutMs;
    private final long requestDeadlineMs;
    private final Set<String> triedServerIds = new HashSet<>();
    private ResponseWriter responseWriter;
    private OriginPool.@Nullable PendingRequest pendingRequest;
    private @Nullable TrackedServer currentServer;
    private long sentTokens;
    private int sendCount;
    private int earlierRequests;
    private int possibleExecutions;
    private boolean ended;
    private @Nullable EngineWait engineWait;

    Exchange(
            Forwarder forwarder,
            ClientRequest request,
            ClientResponse clientResponse,
            RequestMetadata metadata,
            Route route,
            RouteTable routes,
            Optional<Customer> customer) {
        this.forwarder = forwarder;
        this.request = request;
        this.clientResponse = clientResponse;
        this.metadata = metadata;
        this.route = route;
        this.routes = routes;
        this.customer = customer;
        this.service = routes.service(route.selectService(targetDraw())).orElse(null);
        this.timeoutMs = metadata.timeoutMs(route);
        this.requestDeadlineMs = request.receivedAtMs() + timeoutMs;
        this.times = new ExchangeTimes(forwarder.clock, request.receivedAtMs());
        this.crashGuard = new CrashGuard(this);
        this.quotaTokens = new QuotaTokens(this, forwarder.quotas);
        this.pacer = new ReadPacer(forwarder.clock, forwarder.unsentBytes, clientResponse);
        this.turn = new ProgramTurn(this);
        this.responseWriter = new ResponseWriter(this, turn);
    }

    void start() {
        forwarder.scheduler.schedule(Math.max(1, remainingMs()), this::onDeadline);
        clientResponse.onClientDisconnect(this::onClientDisconnect);
        crashGuard
                .refusal()
                .ifPresentOrElse(
                        this::refuse, () -> quotaTokens.acquire(() -> continueWithToken(turn::prepare), this::refuse));
    }

    /** Goes on with a token of the quota, which is given back if the exchange has ended meanwhile. */
    private void continueWithToken(Runnable next) {
        if (ended) {
            quotaTokens.releaseUnused(possibleExecutions);
        } else {
            next.run();
        }
    }

    long remainingMs() {
        return deadlineMs() - forwarder.clock.nowMs();
    }

    /** Returns when the request must have been answered: by its own deadline, and before this host ends. */
    long deadlineMs() {
        return Math.min(requestDeadlineMs, forwarder.stopAdmission.answerUntilMs());
    }

    /**
     * Returns the latest time at which a first send can still be answered by the deadline. Twice the route's average
     * response time and some time to store the turn are reserved for the response, at most half of the request's timeout.
     */
    long latestSendMs() {
        long responseMs = RESPONSE_TIME_FACTOR * forwarder.responseTimes.averageMs(route) + STORE_TURN_MS;
        return deadlineMs() - Math.min(responseMs, timeoutMs / 2);
    }

    int sendCount() {
        return sendCount;
    }

    /** Returns the customer for which the request acts; empty for none. */
    Optional<Customer> customer() {
        return customer;
    }

    /** Returns the urgency rank: the customer's, or else the route's. */
    int rank() {
        return customer.flatMap(c -> c.rank().stream().boxed().findFirst()).orElse(route.rank());
    }

    /** Returns how many requests the connection of the last send had carried before. */
    int earlierRequests() {
        return earlierRequests;
    }

    boolean ended() {
        return ended;
    }

    /** Returns the id of the last event of the stream that the client has or is about to get; negative if there is none. */
    long lastEventId() {
        return responseWriter.lastEventId();
    }

    /** Returns the id of the server that the request was last sent to; empty before the first send. */
    String lastServerId() {
        return currentServer == null ? "" : currentServer.entry().id();
    }

    /** Returns whether a backend server may have executed this request. */
    boolean mayHaveExecuted() {
        return possibleExecutions > 0;
    }

    /** Sends the request to a backend server, or ends the exchange when no server or no time is left. */
    void send() {
        if (ended || pendingRequest != null || engineWait != null) {
            return;
        }
        Optional<Forwarder.Refusal> refusal = refusalBeforeSend();
        if (refusal.isPresent()) {
            endRefused(refusal.get());
        } else if (service == null || remainingMs() <= MIN_REMAINING_TO_SEND_MS || sendCount >= MAX_SENDS) {
            endWithoutServer();
        } else if (service.runsEngines()) {
            engineWait = new EngineWait(this);
            engineWait.begin(service.name(), turn, triedServerIds);
        } else {
            selectServer(service).ifPresentOrElse(this::sendTo, () -> awaitPermit(service));
        }
    }

    /** Called when an engine has room for this request. */
    void onEngineSelected(TrackedServer server, long waitedMs) {
        engineWait = null;
        times.onQueued(waitedMs);
        refusalBeforeSend().ifPresentOrElse(this::endRefused, () -> sendTo(server));
    }

    /** Called when this request will not get an engine in time. */
    void onEngineRefused(String reason, long retryAfterMs) {
        engineWait = null;
        if (possibleExecutions > 0) {
            fail(502, reason);
        } else {
            refuse(new Forwarder.Refusal(503, reason, retryAfterMs));
        }
    }

    /** Returns why the request must not be sent now; empty if it may be. */
    private Optional<Forwarder.Refusal> refusalBeforeSend() {
        return crashGuard.refusal().or(this::refusalForStop);
    }

    private Optional<Forwarder.Refusal> refusalForStop() {
        return mayHaveExecuted()
                ? Optional.empty()
                : forwarder.stopAdmission.beforeSend(metadata, route, requestDeadlineMs);
    }

    /** Refuses the request, while this host stops, if it waits for something and may outlast the host. */
    void refuseIfOutlastingHost() {
        if (!ended) {
            refusalForStop().ifPresent(this::refuse);
        }
    }

    private void endRefused(Forwarder.Refusal refusal) {
        if (possibleExecutions > 0) {
            fail(502, refusal.reason());
        } else {
            refuse(refusal);
        }
    }

    private void sendTo(TrackedServer server) {
        currentServer = server;
        sendCount++;
        possibleExecutions++;
        crashGuard.onSend();
        turn.onSend(server.entry().softwareVersion());
        sentTokens = turn.memoryTokens();
        forwarder.requestStarted(server, service, sentTokens);
        forwarder.requestLog.logSend(this, server);
        times.onSend();
        pendingRequest = forwarder.links.send(
                server,
                originRequest(server),
                metadata.id(),
                Math.max(1, remainingMs()),
                maxConnectionIdleMs(),
                new BackendResponseHandler(server));
        pacer.begin(pendingRequest);
        earlierRequests = pendingRequest.earlierRequests();
        if (route.repeatable()) {
            watchForSilence(pendingRequest, server);
        }
    }

    /** Returns for how long the server has sent nothing although it was read, in ms. */
    private long silentMs() {
        return pacer.isPaused()
                ? 0
                : forwarder.clock.nowMs() - Math.max(times.lastReceivedMs(), pacer.readingSinceMs());
    }

    /** Cancels the send when its server is silent for too long, provided that another attempt is allowed. */
    private void watchForSilence(OriginPool.@Nullable PendingRequest watched, TrackedServer server) {
        long silentMs = silentMs();
        long maxSilenceMs = SilenceTimeouts.maxSilenceMs(route, responseWriter.streaming());
        if (ended || pendingRequest == null || pendingRequest != watched || possibleExecutions >= route.maxAttempts()) {
            return;
        }
        if (silentMs < maxSilenceMs) {
            forwarder.scheduler.schedule(maxSilenceMs - silentMs, () -> watchForSilence(watched, server));
            return;
        }
        pendingRequest.cancel();
        forwarder.originPools.closeIdle(server);
        server.recordFailure(forwarder.clock.nowMs());
        onResponseLost(server, "silent");
    }

    /** Refuses the request; only valid when no server has executed it. */
    void refuse(Forwarder.Refusal refusal) {
        if (ended) {
            return;
        }
        markEnded();
        turn.settle(0);
        forwarder.refuse(clientResponse, metadata, refusal);
    }

    /** Fails the request; a response that has started is aborted, so that the client sees it as incomplete. */
    void fail(int status, String reason) {
        if (ended) {
            return;
        }
        int deliveredEvents = responseWriter.deliveredEvents();
        markEnded();
        cancelPendingRequest();
        turn.settle(deliveredEvents);
        if (clientResponse.started()) {
            clientResponse.abort();
        } else {
            clientResponse.send(status, new DefaultHttpHeaders(), new byte[0]);
        }
        forwarder.requestLog.logEnd(this, status, reason);
    }

    /** Ends the exchange after the complete response was sent to the client. */
    void complete(int status) {
        if (!ended) {
            markEnded();
            if (!pacer.heldUpServer()) {
                forwarder.responseTimes.record(route.name(), times.serverMs());
            }
            forwarder.requestLog.logEnd(this, status, "answered");
        }
    }

    void endStoreUnavailable() {
        if (possibleExecutions > 0) {
            fail(502, "store did not confirm a write in time");
        } else {
            // Spreads the retries of clients that were refused at the same time.
            long retryAfterMs =
                    STORE_RETRY_AFTER_MS + Math.floorMod(metadata.id().hashCode(), STORE_RETRY_JITTER_MS);
            refuse(new Forwarder.Refusal(503, "store did not answer in time to serve the request", retryAfterMs));
        }
    }

    private void markEnded() {
        ended = true;
        quotaTokens.releaseUnused(possibleExecutions);
        responseWriter.releaseWhenSent();
        if (engineWait != null) {
            engineWait.cancel();
            engineWait = null;
        }
        forwarder.exchangeEnded(this);
    }

    /** Tries again while some server is usable, though none may be sent a request now; there is no queue here. */
    private void awaitPermit(Service plainService) {
        boolean usable = forwarder.serverSelector.hasUsableServer(
                candidates(plainService), triedServerIds, forwarder.clock.nowMs());
        if (usable && forwarder.clock.nowMs() < latestSendMs()) {
            forwarder.scheduler.schedule(PERMIT_POLL_INTERVAL_MS, this::send);
        } else {
            endWithoutServer();
        }
    }

    private Optional<TrackedServer> selectServer(Service plainService) {
        if (isAboutObject()) {
            return forwarder.serverSelector.selectStickyServer(
                    candidates(plainService),
                    triedServerIds,
                    route.name(),
                    metadata.affinityKey(),
                    forwarder.clock.nowMs());
        }
        return forwarder.serverSelector.selectServer(
                candidates(plainService), triedServerIds, affinityKey(), forwarder.clock.nowMs());
    }

    /** Returns the parts of the prompt that other requests share; the last part is the request's own. */
    List<PromptPart> sharedParts() {
        List<PromptPart> parts = metadata.promptParts();
        return parts.subList(0, Math.max(0, parts.size() - 1));
    }

    /** Returns whether some servers may have the object of the request in their cache. */
    boolean isAboutObject() {
        return route.sticky() && !metadata.affinityKey().isEmpty();
    }

    List<TrackedServer> candidates(Service plainService) {
        return forwarder.servers.byService(plainService.name(), turn.requiredVersion());
    }

    /** Returns the key by which related requests go to the same server: an engine's program, or else the client's key. */
    String affinityKey() {
        if (service != null && service.runsEngines() && !metadata.program().isEmpty()) {
            return metadata.program();
        }
        return metadata.affinityKey().isEmpty() ? metadata.id() : metadata.affinityKey();
    }

    /** Returns a number in [0, 1) by which a weighted target is selected; the same for the same affinity key. */
    private double targetDraw() {
        return Math.floorMod(affinityKey().hashCode() * 31L, 10_007) / 10_007.0;
    }

    /** Returns the maximum idle time of a reused connection; shorter for a request that cannot be retried. */
    private long maxConnectionIdleMs() {
        return route.repeatable() ? REPEATABLE_MAX_IDLE_MS : NON_REPEATABLE_MAX_IDLE_MS;
    }

    private OriginRequest originRequest(TrackedServer server) {
        boolean requiresKeys = routes.customers().requiresKeys();
        HttpHeaders headers =
                Headers.copy(request.headers(), name -> forwarder.dialect.isForwardable(name, requiresKeys));
        forwarder.dialect.addForwardingHeaders(
                headers,
                new Dialect.ForwardingHeaders(
                        server.entry().id(), Math.max(1, remainingMs()), lastEventId(), customer.map(Customer::id)));
        return new OriginRequest(request.method(), request.uri(), headers, turn.requestBody());
    }

    private void endWithoutServer() {
        if (possibleExecutions > 0) {
            fail(502, "no backend server available or no time left for a retry");
        } else {
            refuse(new Forwarder.Refusal(
                    503, "no backend server available or no time left to send", BUSY_RETRY_AFTER_MS));
        }
    }

    private void onDeadline() {
        if (ended) {
            // The client of a request that may not be cancelled has left; its server may go on sending without end.
            cancelPendingRequest();
            return;
        }
        if (pendingRequest != null && currentServer != null && silentMs() > SilenceTimeouts.STREAM_MS) {
            forwarder.originPools.closeIdle(currentServer);
        }
        if (deadlineMs() < requestDeadlineMs) {
            endForStop();
        } else {
            endOutOfTime("deadline exceeded", BUSY_RETRY_AFTER_MS);
        }
    }

    /** Answers the request, since this host has no time left. */
    void endForStop() {
        endOutOfTime("the host stops", 0);
    }

    private void endOutOfTime(String reason, long retryAfterMs) {
        if (possibleExecutions > 0 || clientResponse.started()) {
            fail(504, reason);
        } else {
            refuse(new Forwarder.Refusal(503, reason + " before the request could be executed", retryAfterMs));
        }
    }

    private void onClientDisconnect() {
        if (ended) {
            return;
        }
        int deliveredEvents = responseWriter.deliveredEvents();
        markEnded();
        if (route.kind() != RouteKind.UNSAFE) {
            cancelPendingRequest();
        }
        turn.settle(deliveredEvents);
        forwarder.requestLog.logEnd(this, 499, "client disconnected");
    }

    private void cancelPendingRequest() {
        OriginPool.PendingRequest pending = pendingRequest;
        TrackedServer server = currentServer;
        pendingRequest = null;
        if (pending != null && server != null) {
            pending.cancel();
            forwarder.requestEnded(server, service, sentTokens);
            forwarder.requestLog.logSendEnd(this, server.entry().id(), "cancelled");
        }
    }

    /** Called when a send ended without being executed by the server; retries at another one. */
    private void onNotExecuted(TrackedServer server, String outcome) {
        endSend(server, outcome);
        possibleExecutions--;
        if (ended) {
            quotaTokens.releaseUnused(possibleExecutions);
            return;
        }
        triedServerIds.add(server.entry().id());
        forwarder.scheduler.schedule(sendCount < 2 ? 1 : RETRY_DELAY_MS, this::send);
    }

    /** Called when a send ended without a complete response, although the server may have executed the request. */
    private void onResponseLost(TrackedServer server, String outcome) {
        endSend(server, outcome);
        if (ended) {
            return;
        }
        triedServerIds.add(server.entry().id());
        responseWriter.discardPartial();
        if (route.repeatable()
                && possibleExecutions < route.maxAttempts()
                && remainingMs() > MIN_REMAINING_TO_SEND_MS) {
            quotaTokens.acquire(() -> continueWithToken(this::send), refusal -> fail(502, refusal.reason()));
        } else {
            fail(502, "no complete response from the backend server");
        }
    }

    private void endSend(TrackedServer server, String outcome) {
        pendingRequest = null;
        times.onSendEnd();
        forwarder.requestEnded(server, service, sentTokens);
        forwarder.requestLog.logSendEnd(this, server.entry().id(), outcome);
    }

    /** Handles the response to one send. */
    private final class BackendResponseHandler implements ResponseHandler {
        private final TrackedServer server;
        private final int eventsBefore;
        private final SpeedMeasurement speed;
        private Verdict verdict = Verdict.UNSOUND;
        private int status;

        /** Created when the request has been counted in the server's load. */
        BackendResponseHandler(TrackedServer server) {
            this.server = server;
            this.speed = new SpeedMeasurement(Exchange.this, server);
            this.eventsBefore = responseWriter.receivedEvents();
        }

        @Override
        public void onHead(HttpResponse head) {
            times.onReceived();
            ResponseMetadata response = forwarder.dialect.parseResponse(head);
            verdict = Verdict.of(
                    response,
                    route.repeatable() && possibleExecutions < route.maxAttempts(),
                    responseWriter.streaming());
            status = response.status();
            recordLimit(response);
            if (verdict == Verdict.UNSOUND) {
                // The response to this request may still follow, so the connection is not used again.
                giveUp("unsound");
            } else if (!ended && verdict == Verdict.PASS) {
                responseWriter.onHead(head, response);
            }
        }

        @Override
        public void onBody(byte[] bytes) {
            times.onBodyReceived();
            speed.onBody(times.responseMs());
            if (!ended && verdict == Verdict.PASS && !responseWriter.onBody(bytes)) {
                if (responseWriter.outOfMemory()) {
                    endUnread("no memory", "too much of all responses is held for their clients");
                } else {
                    giveUp("malformed");
                }
            }
        }

        @Override
        public void onComplete() {
            switch (verdict) {
                case NOT_RUN -> onShed();
                case FAILED -> {
                    server.recordErrorResponse(forwarder.clock.nowMs());
                    onResponseLost(server, "failed");
                }
                case PASS -> onPassed();
                case UNSOUND -> throw new IllegalStateException("given up at its head");
            }
        }

        @Override
        public void onFailure(boolean sent) {
            if (sent && pacer.heldUpServer()) {
                endUnread("unread", "the client took the response too slowly");
                return;
            }
            server.recordFailure(forwarder.clock.nowMs());
            if (sent) {
                if (!forwarder.links.prefersPeers(server)) {
                    crashGuard.onBrokenOff(server, responseWriter.receivedEvents() - eventsBefore);
                }
                onResponseLost(server, "broken");
            } else {
                onNotExecuted(server, "unreachable");
            }
        }

        /** Only a successful response without a limit says that there is none: a refusal may come from elsewhere. */
        private void recordLimit(ResponseMetadata response) {
            boolean namesLimit = response.limitPerS() < Double.POSITIVE_INFINITY;
            boolean saysNone = !namesLimit && verdict == Verdict.PASS && response.isSuccessful();
            if ((namesLimit || saysNone)
                    && server.limit().recordResponse(response.limitPerS(), forwarder.clock.nowMs())) {
                forwarder.requestLog.logLimit(Exchange.this, server.entry().id(), response);
            }
        }

        /** Says nothing about the request, in contrast to a connection that breaks while the request runs. */
        @Override
        public void onMalformed() {
            server.recordFailure(forwarder.clock.nowMs());
            onResponseLost(server, "malformed");
        }

        /** Closes the connection and handles the response as lost. */
        private void giveUp(String outcome) {
            if (pendingRequest != null) {
                pendingRequest.cancel();
            }
            server.recordFailure(forwarder.clock.nowMs());
            onResponseLost(server, outcome);
        }

        /** Ends the exchange for a reason that says nothing of the server; it is not sent to another one. */
        private void endUnread(String outcome, String reason) {
            if (pendingRequest != null) {
                pendingRequest.cancel();
            }
            endSend(server, outcome);
            fail(502, reason);
        }

        private void onPassed() {
            if (!responseWriter.isComplete() && pacer.heldUpServer()) {
                endUnread("unread", "the client took the response too slowly");
                return;
            }
            if (!responseWriter.isComplete()) {
                server.recordFailure(forwarder.clock.nowMs());
                onResponseLost(server, "cut");
                return;
            }
            if (status >= SERVER_ERROR) {
                server.recordErrorResponse(forwarder.clock.nowMs());
            } else {
                server.recordSuccess(forwarder.clock.nowMs());
            }
            crashGuard.onAnswered();
            endSend(server, "whole");
            if (service != null && service.runsEngines() && status < SERVER_ERROR && !pacer.heldUpServer()) {
                forwarder.engineQueue.recordServiceTime(service.name(), times.responseMs());
            }
            recordSpeed();
            if (!ended) {
                responseWriter.finish();
            }
        }

        /** Says nothing of a server whose response came through a peer, was held up by its client, or is no success. */
        private void recordSpeed() {
            boolean ofServer = !forwarder.links.prefersPeers(server) && !pacer.heldUpServer();
            if (status / 100 == 2 && service != null && ofServer) {
                speed.record(service, times.responseMs(), responseWriter.receivedEvents() - eventsBefore);
            }
        }

        private void onShed() {
            if (status == MISDIRECTED_REQUEST) {
                server.recordFailure(forwarder.clock.nowMs());
            } else {
                server.recordOverload(forwarder.clock.nowMs());
            }
            onNotExecuted(server, "shed");
        }
    }
}
