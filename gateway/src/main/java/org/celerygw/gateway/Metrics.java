package org.celerygw.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.DoubleSupplier;
import org.celerygw.core.turns.Ledger;
import org.celerygw.gateway.net.Incoming;
import org.celerygw.gateway.net.Reply;
import org.celerygw.gateway.peers.Peers;

/** Serves the host's counters as text. */
final class Metrics {
    private static final double MS_PER_SECOND = 1000.0;

    private final PrometheusRegistry registry;
    private final Counter storeCalls;
    private final Histogram storeSeconds;

    Metrics(PrometheusRegistry registry, Gateway gateway) {
        this.registry = registry;
        gauge("celerygw_config_version", "Version of the configuration in force", gateway::configVersion);
        gauge("celerygw_requests_under_way", "Requests being served", gateway::underWay);
        gauge("celerygw_backend_servers", "Backend servers known", gateway::knownServers);
        gauge("celerygw_ready", "1 when the host takes clients", () -> gateway.ready() ? 1 : 0);
        gauge("celerygw_peers", "Other hosts heard lately", gateway::peersAlive);
        storeCalls = Counter.builder()
                .name("celerygw_store_calls_total")
                .help("Calls to the store's partitions, by kind and how they ended")
                .labelNames("kind", "outcome")
                .register(registry);
        storeSeconds = Histogram.builder()
                .name("celerygw_store_call_seconds")
                .help("Time until the store has answered, or was given up")
                .classicOnly()
                .labelNames("kind")
                .register(registry);
    }

    /** Adds what is known of the peers and of the programs, once they are there. */
    void watch(Peers peers, Ledger ledger) {
        total("celerygw_relayed_calls_total", "Store calls of this host made by a peer", peers::relayed);
        total("celerygw_turns_kept_total", "Turns kept in the store", ledger::keptTurns);
        total("celerygw_turns_reserved_ahead_total", "Turns that needed no write to begin", ledger::begunAhead);
        gauge("celerygw_programs_waiting", "Programs that wait for a write", ledger::waiting);
        gauge("celerygw_programs_remembered", "Programs in this host's cache", ledger::remembered);
    }

    /** Notes a call to the store. */
    void stored(String kind, String outcome, long tookMs) {
        storeCalls.labelValues(kind, outcome).inc();
        storeSeconds.labelValues(kind).observe(tookMs / MS_PER_SECOND);
    }

    void serve(Incoming request, Reply reply) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
        try {
            writer.write(text, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        reply.whole(200, new DefaultHttpHeaders().set("Content-Type", writer.getContentType()), text.toByteArray());
    }

    private void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(c -> c.call(value.getAsDouble()))
                .register(registry);
    }

    private void total(String name, String help, DoubleSupplier value) {
        CounterWithCallback.builder()
                .name(name)
                .help(help)
                .callback(c -> c.call(value.getAsDouble()))
                .register(registry);
    }
}
