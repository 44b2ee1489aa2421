package org.celerygw.gateway.forward;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** Writes one line and counts one event for each decision about a request. */
public final class RequestLog {
    private static final Logger LOG = LoggerFactory.getLogger("request");

    private final Counter ended;
    private final Counter sends;
    private final Histogram seconds;

    /**
     * Makes a log.
     *
     * @param registry where its metrics are
     */
    public RequestLog(PrometheusRegistry registry) {
        ended = Counter.builder()
                .name("celerygw_requests_total")
                .help("Requests by how they ended")
                .labelNames("kind", "status")
                .register(registry);
        sends = Counter.builder()
                .name("celerygw_sends_total")
                .help("Requests sent to backend servers, by how that ended")
                .labelNames("outcome")
                .register(registry);
        seconds = Histogram.builder()
                .name("celerygw_request_seconds")
                .help("Time from a request's head to the end of its answer")
                .classicOnly()
                .labelNames("kind")
                .register(registry);
    }

    void sent(Exchange x, String server, int load) {
        LOG.atInfo()
                .addKeyValue("request", x.call.id())
                .addKeyValue("program", x.call.program())
                .addKeyValue("route", x.route.name())
                .addKeyValue("configVersion", x.routes.version())
                .addKeyValue("server", server)
                .addKeyValue("serverLoad", load)
                .addKeyValue("leftMs", x.leftMs())
                .log("route: sent to a server");
    }

    void sendEnded(Exchange x, String server, String outcome) {
        sends.labelValues(outcome).inc();
        if (!"whole".equals(outcome)) {
            LOG.atWarn()
                    .addKeyValue("request", x.call.id())
                    .addKeyValue("server", server)
                    .addKeyValue("outcome", outcome)
                    .log("route: no whole answer");
        }
    }

    void refused(@Nullable Call call, Forwarder.Refusal refusal) {
        ended.labelValues("refused", Integer.toString(refusal.status())).inc();
        LOG.atWarn()
                .addKeyValue("request", call == null ? "" : call.id())
                .addKeyValue("program", call == null ? "" : call.program())
                .addKeyValue("status", refusal.status())
                .addKeyValue("reason", refusal.reason())
                .addKeyValue("comeBackMs", refusal.comeBackMs())
                .log("end: refused, has not run");
    }

    void ended(Exchange x, int status, String how) {
        String kind = x.route.kind().name();
        ended.labelValues(kind, Integer.toString(status)).inc();
        seconds.labelValues(kind).observe(x.ageMs() / 1000.0);
        LOG.atLevel(status < 400 ? Level.INFO : Level.WARN)
                .addKeyValue("request", x.call.id())
                .addKeyValue("program", x.call.program())
                .addKeyValue("route", x.route.name())
                .addKeyValue("status", status)
                .addKeyValue("tookMs", x.ageMs())
                .addKeyValue("serverMs", x.serverMs())
                .addKeyValue("firstMs", x.firstMs())
                .addKeyValue("serverFirstMs", x.serverFirstMs())
                .addKeyValue("sends", x.sends())
                .log("end: " + how);
    }
}
