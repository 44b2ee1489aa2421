package org.celerygw.gateway.forward;

import java.util.List;
import org.celerygw.core.routes.Service;
import org.celerygw.core.servers.CacheAffinity;
import org.celerygw.core.servers.PromptPart;
import org.celerygw.core.servers.SpeedLearner;
import org.celerygw.core.servers.TrackedServer;

/** Learns from one send how fast its server is. Created when the request has been counted in the server's load. */
final class SpeedMeasurement {
    private final Exchange exchange;
    private final TrackedServer server;
    private final int loadAtStart;
    private final long missingTokens;
    private long firstBodyMs;

    SpeedMeasurement(Exchange exchange, TrackedServer server) {
        this.exchange = exchange;
        this.server = server;
        this.loadAtStart = server.load() - 1;
        List<PromptPart> shared = exchange.sharedParts();
        // Clients that name no tokens may name parts all the same.
        long held = server.promptCache().heldTokens(shared, nowMs());
        this.missingTokens = Math.max(0, exchange.metadata.promptTokens() - held);
        server.promptCache().add(shared, nowMs());
    }

    private long nowMs() {
        return exchange.forwarder.clock.nowMs();
    }

    /** Called with the time from the send to each part of the body, in ms. */
    void onBody(long sinceSendMs) {
        if (firstBodyMs == 0) {
            firstBodyMs = sinceSendMs;
        }
    }

    /**
     * Records a successful response that came from the server directly and at its own pace.
     *
     * @param service the service that the server belongs to
     * @param wholeMs the time from the send to the end of the response, in ms
     * @param events the number of events of a stream
     */
    void record(Service service, long wholeMs, int events) {
        if (service.runsEngines()) {
            recordEngine(wholeMs, events);
        } else {
            String route = exchange.route.name();
            String work = exchange.isAboutObject() ? route + recordWarmth(service, wholeMs) : route;
            exchange.forwarder.speedLearner.recordResponse(server, work, loadAtStart, wholeMs, nowMs());
        }
    }

    private void recordEngine(long wholeMs, int events) {
        Forwarder forwarder = exchange.forwarder;
        if (!exchange.metadata.promptParts().isEmpty() && exchange.metadata.promptTokens() > 0) {
            forwarder
                    .serverSelector
                    .prefillTimes()
                    .record(missingTokens, firstBodyMs / server.speed().slowness(nowMs()));
        }
        forwarder.speedLearner.recordEngineResponse(
                server,
                exchange.route.name(),
                loadAtStart,
                new SpeedLearner.EngineTimes(missingTokens, Math.max(0, events - 1), firstBodyMs, wholeMs),
                nowMs());
    }

    /** Requests with and without a warm cache are different work. */
    private CacheAffinity.Warmth recordWarmth(Service service, long wholeMs) {
        return exchange.forwarder
                .serverSelector
                .cacheAffinity()
                .recordResponse(
                        server,
                        exchange.candidates(service),
                        exchange.route.name(),
                        exchange.metadata.affinityKey(),
                        wholeMs,
                        nowMs());
    }
}
