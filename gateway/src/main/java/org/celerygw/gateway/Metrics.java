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
import org.celerygw.core.limits.CustomerQuotas;
import org.celerygw.core.limits.Permits;
import org.celerygw.core.quarantine.Quarantine;
import org.celerygw.core.scheduling.EngineQueue;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.ProgramStore;
import org.celerygw.gateway.forward.OriginPools;
import org.celerygw.gateway.forward.ServerLinks;
import org.celerygw.gateway.log.StepFailures;
import org.celerygw.gateway.net.ClientRequest;
import org.celerygw.gateway.net.ClientResponse;
import org.celerygw.gateway.peers.Peers;

/** Collects the host's metrics and serves them in the Prometheus text format. */
final class Metrics {
    private static final double MS_PER_SECOND = 1000.0;

    private final PrometheusRegistry registry;
    private final Counter storeCalls;
    private final Histogram storeSeconds;

    Metrics(PrometheusRegistry registry, Gateway gateway) {
        this.registry = registry;
        registerGauge("celerygw_config_version", "Version of the configuration in force", gateway::configVersion);
        registerGauge("celerygw_requests_under_way", "Requests being served", gateway::requestsInFlight);
        registerGauge("celerygw_backend_servers", "Backend servers known", gateway::knownServers);
        registerGauge("celerygw_ready", "1 when the host takes clients", () -> gateway.ready() ? 1 : 0);
        registerGauge("celerygw_peers", "Other hosts heard lately", gateway::livePeers);
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

    /** Registers the metrics of the peers and programs; called once both have been created. */
    void registerPeersAndPrograms(Peers peers, ProgramStore programStore) {
        registerCounter("celerygw_failed_steps_total", "Steps of work that ended with an error", StepFailures::count);
        registerCounter("celerygw_relayed_calls_total", "Store calls of this host made by a peer", peers::relayedCalls);
        registerCounter(
                "celerygw_peer_datagrams_unread_total",
                "Datagrams of other hosts that could not be read",
                peers::unreadDatagrams);
        registerCounter("celerygw_turns_kept_total", "Turns kept in the store", programStore::storedTurns);
        registerCounter(
                "celerygw_turns_reserved_ahead_total",
                "Turns that needed no write to begin",
                programStore::turnsReservedAhead);
        registerGauge("celerygw_programs_waiting", "Programs that wait for a write", programStore::programsWaiting);
        registerGauge("celerygw_programs_remembered", "Programs in this host's cache", programStore::programsCached);
    }

    /** Registers the metrics of the queue in front of the engines. */
    void registerQueue(EngineQueue queue) {
        registerGauge(
                "celerygw_engine_queue_requests",
                "Requests that wait until an engine has room",
                () -> queue.waitingByService().values().stream()
                        .mapToInt(length -> length.underWay() + length.others())
                        .sum());
    }

    /** Registers the metrics of the links to the backend servers. */
    void registerLinks(ServerLinks links, OriginPools originPools) {
        registerGauge(
                "celerygw_cut_off",
                "1 while no backend server is reached over this host's connections",
                () -> links.isCutOff() ? 1 : 0);
        registerCounter(
                "celerygw_requests_through_peers_total",
                "Requests that this host sent to a backend server through a peer",
                links::relayedRequests);
        registerCounter(
                "celerygw_unassigned_server_data_total",
                "Bytes or responses of backend servers that belong to no request",
                originPools::unassignedData);
    }

    /** Registers the metrics of the request limits of servers and customers, and of the requests under which servers crash. */
    void registerServerProtection(
            ServerList servers, Permits permits, CustomerQuotas quotas, Quarantine quarantine, Clock clock) {
        registerGauge(
                "celerygw_quarantined_requests",
                "Requests and paths that are not sent since servers have crashed under them",
                quarantine::size);
        registerGauge(
                "celerygw_limited_servers",
                "Backend servers with a request limit, as known to this host",
                () -> servers.all().stream()
                        .filter(server -> server.limit().isInForce(clock.nowMs()))
                        .count());
        registerCounter(
                "celerygw_permits_granted_total", "Permits that this host was granted", permits::grantedPermits);
        registerCounter(
                "celerygw_permits_refused_total", "Requests for permits to be repeated later", permits::refusedPermits);
        registerCounter(
                "celerygw_permit_replies_lost_total", "Requests for permits without a reply", permits::lostReplies);
        registerGauge("celerygw_quota_accounts", "Customers whose account this host keeps", quotas::accounts);
        registerCounter(
                "celerygw_quota_replies_lost_total", "Messages about quotas without a reply", quotas::lostReplies);
    }

    /** Registers the metrics of the learned speeds; without one for each server, of which there may be many. */
    void registerServerSpeeds(ServerList servers, Clock clock) {
        registerGauge(
                "celerygw_slow_servers",
                "Backend servers that are certainly slower than the mean of their service",
                () -> servers.all().stream()
                        .filter(server -> server.speed().slowness(clock.nowMs()) > 1)
                        .count());
        registerGauge(
                "celerygw_server_slowness_max",
                "Time of the slowest backend server for a unit of work, divided by the mean of its service",
                () -> servers.all().stream()
                        .mapToDouble(server -> server.speed().slowness(clock.nowMs()))
                        .max()
                        .orElse(1));
    }

    /** Counts a completed call to the store and adds its duration to the histogram. */
    void recordStoreCall(String kind, String outcome, long durationMs) {
        storeCalls.labelValues(kind, outcome).inc();
        storeSeconds.labelValues(kind).observe(durationMs / MS_PER_SECOND);
    }

    /** Answers a scrape with the current values of all metrics. */
    void serve(ClientRequest request, ClientResponse response) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
        try {
            writer.write(text, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        response.send(200, new DefaultHttpHeaders().set("Content-Type", writer.getContentType()), text.toByteArray());
    }

    private void registerGauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(c -> c.call(value.getAsDouble()))
                .register(registry);
    }

    private void registerCounter(String name, String help, DoubleSupplier value) {
        CounterWithCallback.builder()
                .name(name)
                .help(help)
                .callback(c -> c.call(value.getAsDouble()))
                .register(registry);
    }
}
