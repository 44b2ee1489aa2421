package org.celerygw.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.DoubleSupplier;
import org.celerygw.gateway.net.Incoming;
import org.celerygw.gateway.net.Reply;

/** Serves the host's counters as text. */
final class Metrics {
    private final PrometheusRegistry registry;

    Metrics(PrometheusRegistry registry, Gateway gateway) {
        this.registry = registry;
        gauge("celerygw_config_version", "Version of the configuration in force", gateway::configVersion);
        gauge("celerygw_requests_under_way", "Requests being served", gateway::underWay);
        gauge("celerygw_backend_servers", "Backend servers known", gateway::knownServers);
        gauge("celerygw_ready", "1 when the host takes clients", () -> gateway.ready() ? 1 : 0);
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
}
