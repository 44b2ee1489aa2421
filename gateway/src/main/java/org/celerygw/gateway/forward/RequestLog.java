package org.celerygw.gateway.forward;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.HashSet;
import java.util.Set;
import org.celerygw.core.limits.CustomerQuotas;
import org.celerygw.core.quarantine.Fingerprint;
import org.celerygw.core.routes.Customer;
import org.celerygw.core.routes.Route;
import org.celerygw.core.scheduling.GracefulStop.Prospect;
import org.celerygw.core.servers.TrackedServer;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** Logs and counts each send, refusal and end of a request. */
public final class RequestLog {
    private static final Logger LOG = LoggerFactory.getLogger("request");
    private static final int MAX_COUNTED_CUSTOMERS = 100;
    /** Not a valid id of a customer. */
    private static final String OTHER_CUSTOMERS = "(others)";

    private final Counter requestsEnded;
    private final Counter sends;
    private final Counter limitChanges;
    private final Counter quotaRefusals;
    private final Set<String> countedCustomers = new HashSet<>();
    private final Histogram requestSeconds;

    /**
     * Creates a log and registers its metrics.
     *
     * @param registry the registry for the metrics
     */
    public RequestLog(PrometheusRegistry registry) {
        requestsEnded = Counter.builder()
                .name("celerygw_requests_total")
                .help("Requests by how they ended")
                .labelNames("kind", "status")
                .register(registry);
        sends = Counter.builder()
                .name("celerygw_sends_total")
                .help("Requests sent to backend servers, by how that ended")
                .labelNames("outcome")
                .register(registry);
        limitChanges = Counter.builder()
                .name("celerygw_server_limit_changes_total")
                .help("Responses in which a backend server named another request limit than before, or none any more")
                .register(registry);
        quotaRefusals = Counter.builder()
                .name("celerygw_quota_refusals_total")
                .help("Requests refused since their customer's quota was used up; customers beyond the first "
                        + MAX_COUNTED_CUSTOMERS + " count together")
                .labelNames("customer")
                .register(registry);
        requestSeconds = Histogram.builder()
                .name("celerygw_request_seconds")
                .help("Time from a request's head to the end of its answer")
                .classicOnly()
                .labelNames("kind")
                .register(registry);
    }

    void logSend(Exchange exchange, TrackedServer server) {
        LOG.atInfo()
                .addKeyValue("request", exchange.metadata.id())
                .addKeyValue("program", exchange.metadata.program())
                .addKeyValue("route", exchange.route.name())
                .addKeyValue("configVersion", exchange.routes.version())
                .addKeyValue("server", server.entry().id())
                .addKeyValue("serverVersion", server.entry().softwareVersion())
                .addKeyValue("serverLoad", server.load())
                .addKeyValue("lastEventId", exchange.lastEventId())
                .addKeyValue("resumes", exchange.metadata.resumedAttempt())
                .addKeyValue("queuedMs", exchange.times.queuedMs())
                .addKeyValue("leftMs", exchange.remainingMs())
                .addKeyValue("programLeftMs", exchange.metadata.programTimeoutMs())
                .log("route: sent to a server");
    }

    void logSendEnd(Exchange exchange, String serverId, String outcome) {
        sends.labelValues(outcome).inc();
        if (!"whole".equals(outcome)) {
            LOG.atWarn()
                    .addKeyValue("request", exchange.metadata.id())
                    .addKeyValue("server", serverId)
                    .addKeyValue("outcome", outcome)
                    .addKeyValue("earlierRequests", exchange.earlierRequests())
                    .log("route: send ended without a complete response");
        }
    }

    /** Logs by what it asks for a request whose server broke off, so that its attempts at all hosts can be compared. */
    void logBrokenOff(Exchange exchange, Fingerprint fingerprint, String serverId, int events, double crashes) {
        LOG.atWarn()
                .addKeyValue("request", exchange.metadata.id())
                .addKeyValue("server", serverId)
                .addKeyValue("path", Long.toHexString(fingerprint.path()))
                .addKeyValue("content", Long.toHexString(fingerprint.content()))
                .addKeyValue("runMs", exchange.times.currentSendMs())
                .addKeyValue("events", events)
                .addKeyValue("crashes", crashes)
                .log("route: a server broke off");
    }

    void logLimit(Exchange exchange, String serverId, ResponseMetadata response) {
        limitChanges.inc();
        LOG.atWarn()
                .addKeyValue("request", exchange.metadata.id())
                .addKeyValue("server", serverId)
                .addKeyValue("status", response.status())
                .addKeyValue("limitPerS", response.limitPerS())
                .log("servers: request limit named by a server has changed");
    }

    /** Logs why the queue refuses a request. */
    void logQueueRefusal(Exchange exchange, String reason, long waitedMs, long retryAfterMs) {
        LOG.atWarn()
                .addKeyValue("request", exchange.metadata.id())
                .addKeyValue(
                        "customer", exchange.customer().map(c -> c.id().value()).orElse(""))
                .addKeyValue("rank", exchange.rank())
                .addKeyValue("waitedMs", waitedMs)
                .addKeyValue("comeBackMs", retryAfterMs)
                .addKeyValue("reason", reason)
                .log("queue: a request is refused");
    }

    /** Logs why a request is accepted or refused while this host stops. */
    void logDuringStop(RequestMetadata metadata, Route route, Prospect prospect, StopTimes times) {
        LOG.atInfo()
                .addKeyValue("request", metadata.id())
                .addKeyValue("route", route.name())
                .addKeyValue("prospect", prospect)
                .addKeyValue("stoppingMs", times.stoppingMs())
                .addKeyValue("hostLeftMs", times.hostLeftMs())
                .addKeyValue("leftMs", times.leftMs())
                .addKeyValue("averageMs", times.averageMs())
                .log(
                        prospect == Prospect.DOUBTFUL
                                ? "stop: a request may outlast this host and is refused"
                                : "stop: a request is accepted");
    }

    /**
     * The times that decide on a request during a graceful stop.
     *
     * @param stoppingMs the time since the stop began, in ms
     * @param hostLeftMs the time until all requests must have been answered, in ms
     * @param leftMs the time until the request's own deadline, in ms
     * @param averageMs the average response time of the route, in ms
     */
    record StopTimes(long stoppingMs, long hostLeftMs, long leftMs, long averageMs) {}

    void logRefusal(@Nullable RequestMetadata metadata, Forwarder.Refusal refusal) {
        requestsEnded.labelValues("refused", Integer.toString(refusal.status())).inc();
        LOG.atWarn()
                .addKeyValue("request", metadata == null ? "" : metadata.id())
                .addKeyValue("program", metadata == null ? "" : metadata.program())
                .addKeyValue("status", refusal.status())
                .addKeyValue("reason", refusal.reason())
                .addKeyValue("comeBackMs", refusal.retryAfterMs())
                .log("end: refused without execution");
    }

    void logQuotaRefusal(Exchange exchange, Customer customer, CustomerQuotas.Decision decision) {
        String name = customer.id().value();
        boolean counted = countedCustomers.contains(name)
                || (countedCustomers.size() < MAX_COUNTED_CUSTOMERS && countedCustomers.add(name));
        quotaRefusals.labelValues(counted ? name : OTHER_CUSTOMERS).inc();
        LOG.atWarn()
                .addKeyValue("request", exchange.metadata.id())
                .addKeyValue("customer", name)
                .addKeyValue("limitPerS", customer.limit().perS())
                .addKeyValue("burst", customer.limit().burst())
                .addKeyValue("accountAgeMs", decision.accountAgeMs())
                .addKeyValue("decidedBy", decision.decidedBy())
                .addKeyValue("retryAfterMs", decision.retryAfterMs())
                .log("quota: a request is over its customer's limit");
    }

    void logEnd(Exchange exchange, int status, String result) {
        String kind = exchange.route.kind().name();
        requestsEnded.labelValues(kind, Integer.toString(status)).inc();
        requestSeconds.labelValues(kind).observe(exchange.times.elapsedMs() / 1000.0);
        LOG.atLevel(status < 400 ? Level.INFO : Level.WARN)
                .addKeyValue("request", exchange.metadata.id())
                .addKeyValue("program", exchange.metadata.program())
                .addKeyValue("route", exchange.route.name())
                .addKeyValue("status", status)
                .addKeyValue("tookMs", exchange.times.elapsedMs())
                .addKeyValue("queuedMs", exchange.times.queuedMs())
                .addKeyValue("serverMs", exchange.times.serverMs())
                .addKeyValue("firstMs", exchange.times.firstByteMs())
                .addKeyValue("serverFirstMs", exchange.times.serverFirstByteMs())
                .addKeyValue("sends", exchange.sendCount())
                .addKeyValue("server", exchange.lastServerId())
                .addKeyValue("earlierRequests", exchange.earlierRequests())
                .log("end: " + result);
    }
}
