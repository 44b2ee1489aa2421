package org.celerygw.daemon.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.celerygw.core.call.CallKind;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.id.CustomerId;
import org.jspecify.annotations.Nullable;

/** The metrics of one daemon. Thread-safe; each instance has its own registry, so daemons in one process share none. */
public final class Metrics {
    /** The media type of {@link #toPrometheusText}. */
    public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

    private static final double MS_PER_SECOND = 1_000;
    private static final double[] CALL_BUCKETS_SECONDS = {
        0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 120
    };
    private static final double[] PROGRAM_BUCKETS_SECONDS = {0.1, 0.5, 1, 2, 5, 10, 30, 60, 120, 300, 600, 1800, 3600};

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter calls = counter("calls_total", "Calls ended, by kind and result.", "kind", "result");
    private final Histogram callSeconds =
            histogram("call_seconds", "Time from a call's arrival to its end.", CALL_BUCKETS_SECONDS, "kind");
    private final Histogram firstByteSeconds = histogram(
            "first_byte_seconds", "Time from a call's arrival to its first byte.", CALL_BUCKETS_SECONDS, "kind");
    private final Gauge callsOpenGauge = gauge("calls_open", "Calls not yet ended on this host.");
    private final Counter programs = counter("programs_total", "Programs ended, by how.", "result");
    private final Histogram programSeconds =
            histogram("program_seconds", "Time from a program's start to its end.", PROGRAM_BUCKETS_SECONDS, "class");
    private final Counter routes = counter("routes_total", "Routing decisions, by reason.", "reason");
    private final Counter prefixTokens =
            counter("prefix_tokens_total", "Prompt tokens sent, by whether an engine had them cached.", "state");
    private final Counter retries = counter("retries_total", "Calls sent again, by cause.", "cause");
    private final Counter spentTokens = counter("spent_tokens_total", "Tokens spent, by customer.", "customer");
    private final Counter storeWrites = counter("store_writes_total", "Table writes, by result.", "result");
    private final Histogram storeSeconds =
            histogram("store_seconds", "Time of one request to the store.", CALL_BUCKETS_SECONDS, "operation");
    private final Gauge unknownCallsGauge = gauge("unknown_calls", "Calls whose outcome an operator must settle.");
    private final Gauge slotsOwnedGauge = gauge("slots_owned", "Slots that this host owns.");
    private final Gauge configVersionGauge = gauge("config_version", "Configuration version in force.");
    private final Gauge configConfirmedGauge =
            gauge("config_confirmed", "1 while the version in force is confirmed as the newest, else 0.");
    private final Gauge hostsAliveGauge = gauge("hosts_alive", "Hosts that this host sees alive.");
    private final Counter controlBytes =
            counter("control_bytes_total", "Bytes of membership messages, by direction.", "direction");
    private final Counter operatorActions =
            counter("operator_actions_total", "Changes by operators, by action and result.", "action", "result");

    /** Creates metrics that start at zero. */
    public Metrics() {
        Runtime runtime = Runtime.getRuntime();
        GaugeWithCallback.builder()
                .name("celerygw_heap_used_bytes")
                .help("Bytes of the Java heap in use.")
                .callback(sink -> sink.call((double) (runtime.totalMemory() - runtime.freeMemory())))
                .register(registry);
    }

    /**
     * Counts a received call as open until {@link #callEnded}.
     */
    public void callStarted() {
        callsOpenGauge.inc();
    }

    /**
     * Records the time to the first part of a response, also when the caller did not request a stream.
     *
     * @param kind model or tool
     * @param elapsedMs the time since the call was received
     */
    public void firstByteReceived(CallKind kind, long elapsedMs) {
        firstByteSeconds.labelValues(toLabel(kind)).observe(elapsedMs / MS_PER_SECOND);
    }

    /**
     * Counts a call that ended, by result, and records its duration.
     *
     * @param kind model or tool
     * @param code the error code, or null when the call succeeded
     * @param elapsedMs the time since the call was received
     */
    public void callEnded(CallKind kind, @Nullable ErrorCode code, long elapsedMs) {
        callsOpenGauge.dec();
        calls.labelValues(toLabel(kind), code == null ? "answered" : code.name())
                .inc();
        callSeconds.labelValues(toLabel(kind)).observe(elapsedMs / MS_PER_SECOND);
    }

    /**
     * Counts a program that ended, by result, and records its duration.
     *
     * @param priorityClass the name of the program's priority class
     * @param result how it ended, such as ended, abandoned or expired
     * @param elapsedMs the time since the program was created
     */
    public void programEnded(String priorityClass, String result, long elapsedMs) {
        programs.labelValues(result).inc();
        programSeconds.labelValues(priorityClass).observe(elapsedMs / MS_PER_SECOND);
    }

    /**
     * Counts a routing decision and the prompt tokens that it sends to an engine.
     *
     * @param reason why the engine was selected, such as affinity or load
     * @param cachedTokens prompt tokens that the selected engine is expected to have in its prefix cache
     * @param rebuiltTokens prompt tokens that the engine has to compute
     */
    public void callRouted(String reason, long cachedTokens, long rebuiltTokens) {
        routes.labelValues(reason).inc();
        prefixTokens.labelValues("cached").inc(cachedTokens);
        prefixTokens.labelValues("rebuilt").inc(rebuiltTokens);
    }

    /**
     * Counts a retry of a call.
     *
     * @param cause the error of the attempt before
     */
    public void callRetried(ErrorCode cause) {
        retries.labelValues(cause.name()).inc();
    }

    /**
     * Counts tokens that a customer spent.
     *
     * @param customer the customer whose tokens were spent
     * @param tokens the number of tokens to add
     */
    public void tokensSpent(CustomerId customer, long tokens) {
        spentTokens.labelValues(customer.value()).inc(tokens);
    }

    /**
     * Counts a completed table write.
     *
     * @param result the value of the result label
     */
    public void tableWriteCompleted(String result) {
        storeWrites.labelValues(result).inc();
    }

    /**
     * Records the duration of a request to the store.
     *
     * @param operation write, read, scan, put, get or delete
     * @param elapsedMs the time since the request was sent
     */
    public void storeRequestCompleted(String operation, long elapsedMs) {
        storeSeconds.labelValues(operation).observe(elapsedMs / MS_PER_SECOND);
    }

    /**
     * Sets the number of calls of unknown outcome, which an operator must settle.
     *
     * @param count the current number
     */
    public void setUnknownCalls(long count) {
        unknownCallsGauge.set((double) count);
    }

    /**
     * Sets the number of slots that this host owns.
     *
     * @param count the current number
     */
    public void setSlotsOwned(int count) {
        slotsOwnedGauge.set(count);
    }

    /**
     * Sets the active configuration.
     *
     * @param version the version of the configuration
     * @param confirmed whether this version is confirmed as the newest
     */
    public void setConfig(long version, boolean confirmed) {
        configVersionGauge.set((double) version);
        configConfirmedGauge.set(confirmed ? 1 : 0);
    }

    /**
     * Sets the number of hosts that this host considers alive.
     *
     * @param count the current number, including this host
     */
    public void setHostsAlive(int count) {
        hostsAliveGauge.set(count);
    }

    /**
     * Counts bytes of membership messages.
     *
     * @param sent true for sent, false for received messages
     * @param bytes the number of bytes to add
     */
    public void countControlBytes(boolean sent, long bytes) {
        controlBytes.labelValues(sent ? "sent" : "received").inc(bytes);
    }

    /**
     * Counts a state-changing request by an operator.
     *
     * @param action the name of the operator method
     * @param result {@code done}, or the name of an error code
     */
    public void operatorActionCompleted(String action, String result) {
        operatorActions.labelValues(action, result).inc();
    }

    /**
     * Returns all metrics, for the metrics endpoint.
     *
     * @return the metrics in the Prometheus text format
     */
    public String toPrometheusText() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder()
                .name("celerygw_" + name)
                .help(help)
                .labelNames(labels)
                .register(registry);
    }

    private Gauge gauge(String name, String help) {
        return Gauge.builder().name("celerygw_" + name).help(help).register(registry);
    }

    private Histogram histogram(String name, String help, double[] bucketBounds, String... labels) {
        return Histogram.builder()
                .name("celerygw_" + name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(bucketBounds)
                .labelNames(labels)
                .register(registry);
    }

    private static String toLabel(CallKind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }
}
