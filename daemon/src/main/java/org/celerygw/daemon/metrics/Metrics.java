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

/** The metrics of one daemon. Safe for use by many threads; two daemons in one process do not share them. */
public final class Metrics {
    /** The media type of {@link #text}. */
    public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

    private static final double MS_PER_SECOND = 1_000;
    private static final double[] CALL_SECONDS = {
        0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 120
    };
    private static final double[] PROGRAM_SECONDS = {0.1, 0.5, 1, 2, 5, 10, 30, 60, 120, 300, 600, 1800, 3600};

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter calls = counter("calls_total", "Calls ended, by kind and result.", "kind", "result");
    private final Histogram callSeconds =
            histogram("call_seconds", "Time from a call's arrival to its end.", CALL_SECONDS, "kind");
    private final Histogram firstByteSeconds =
            histogram("first_byte_seconds", "Time from a call's arrival to its first byte.", CALL_SECONDS, "kind");
    private final Gauge callsOpen = gauge("calls_open", "Calls not yet ended on this host.");
    private final Counter programs = counter("programs_total", "Programs ended, by how.", "result");
    private final Histogram programSeconds =
            histogram("program_seconds", "Time from a program's start to its end.", PROGRAM_SECONDS, "class");
    private final Counter routes = counter("routes_total", "Routing decisions, by reason.", "reason");
    private final Counter prefixTokens =
            counter("prefix_tokens_total", "Prompt tokens sent, by whether an engine had them cached.", "state");
    private final Counter retries = counter("retries_total", "Calls sent again, by cause.", "cause");
    private final Counter spentTokens = counter("spent_tokens_total", "Tokens spent, by customer.", "customer");
    private final Counter storeWrites = counter("store_writes_total", "Table writes, by result.", "result");
    private final Histogram storeSeconds =
            histogram("store_seconds", "Time of one request to the store.", CALL_SECONDS, "operation");
    private final Gauge unknownCalls = gauge("unknown_calls", "Calls whose outcome an operator must settle.");
    private final Gauge slotsOwned = gauge("slots_owned", "Slots that this host owns.");
    private final Gauge configVersion = gauge("config_version", "Configuration version in force.");
    private final Gauge configConfirmed =
            gauge("config_confirmed", "1 while the version in force is confirmed as the newest, else 0.");
    private final Gauge hostsAlive = gauge("hosts_alive", "Hosts that this host sees alive.");
    private final Counter controlBytes =
            counter("control_bytes_total", "Bytes of membership messages, by direction.", "direction");
    private final Counter operatorActions =
            counter("operator_actions_total", "Changes by operators, by action and result.", "action", "result");

    /** Makes metrics that start at zero. */
    public Metrics() {
        Runtime runtime = Runtime.getRuntime();
        GaugeWithCallback.builder()
                .name("celerygw_heap_used_bytes")
                .help("Bytes of the Java heap in use.")
                .callback(sink -> sink.call((double) (runtime.totalMemory() - runtime.freeMemory())))
                .register(registry);
    }

    /**
     * Counts a call that arrived.
     */
    public void callBegan() {
        callsOpen.inc();
    }

    /**
     * Counts the first byte of an answer.
     *
     * @param kind model or tool
     * @param elapsedMs since the call arrived
     */
    public void firstByte(CallKind kind, long elapsedMs) {
        firstByteSeconds.labelValues(label(kind)).observe(elapsedMs / MS_PER_SECOND);
    }

    /**
     * Counts a call that ended.
     *
     * @param kind model or tool
     * @param code the failure, or null when there was an answer
     * @param elapsedMs since the call arrived
     */
    public void callEnded(CallKind kind, @Nullable ErrorCode code, long elapsedMs) {
        callsOpen.dec();
        calls.labelValues(label(kind), code == null ? "answered" : code.name()).inc();
        callSeconds.labelValues(label(kind)).observe(elapsedMs / MS_PER_SECOND);
    }

    /**
     * Counts a program that ended.
     *
     * @param priorityClass its priority class
     * @param result ended, abandoned, expired or the like
     * @param elapsedMs since it was created
     */
    public void programEnded(String priorityClass, String result, long elapsedMs) {
        programs.labelValues(result).inc();
        programSeconds.labelValues(priorityClass).observe(elapsedMs / MS_PER_SECOND);
    }

    /**
     * Counts a routing decision.
     *
     * @param reason affinity, load or the like
     * @param cachedTokens prompt tokens that the chosen engine is expected to hold
     * @param rebuiltTokens prompt tokens that it has to compute
     */
    public void routed(String reason, long cachedTokens, long rebuiltTokens) {
        routes.labelValues(reason).inc();
        prefixTokens.labelValues("cached").inc(cachedTokens);
        prefixTokens.labelValues("rebuilt").inc(rebuiltTokens);
    }

    /**
     * Counts a call that is sent again.
     *
     * @param cause the failure before it
     */
    public void retried(ErrorCode cause) {
        retries.labelValues(cause.name()).inc();
    }

    /**
     * Counts tokens spent.
     *
     * @param customer whose
     * @param tokens how many
     */
    public void spent(CustomerId customer, long tokens) {
        spentTokens.labelValues(customer.value()).inc(tokens);
    }

    /**
     * Counts a table write.
     *
     * @param result how it ended
     */
    public void storeWrote(String result) {
        storeWrites.labelValues(result).inc();
    }

    /**
     * Notes how long a request to the store took.
     *
     * @param operation write, read, scan, put, get or delete
     * @param elapsedMs since it was sent
     */
    public void storeAnswered(String operation, long elapsedMs) {
        storeSeconds.labelValues(operation).observe(elapsedMs / MS_PER_SECOND);
    }

    /**
     * Sets the number of calls whose outcome an operator must settle.
     *
     * @param count how many
     */
    public void unknownCalls(long count) {
        unknownCalls.set((double) count);
    }

    /**
     * Sets the number of slots owned.
     *
     * @param count how many
     */
    public void slotsOwned(int count) {
        slotsOwned.set(count);
    }

    /**
     * Sets the configuration in force.
     *
     * @param version its version
     * @param confirmed whether it is known to be the newest
     */
    public void config(long version, boolean confirmed) {
        configVersion.set((double) version);
        configConfirmed.set(confirmed ? 1 : 0);
    }

    /**
     * Sets the number of hosts seen alive.
     *
     * @param count how many, this one included
     */
    public void hostsAlive(int count) {
        hostsAlive.set(count);
    }

    /**
     * Counts membership messages.
     *
     * @param sent true for sent, false for received
     * @param bytes their size
     */
    public void controlBytes(boolean sent, long bytes) {
        controlBytes.labelValues(sent ? "sent" : "received").inc(bytes);
    }

    /**
     * Counts a change by an operator.
     *
     * @param action the method's name
     * @param result done, or the name of an error code
     */
    public void operatorAction(String action, String result) {
        operatorActions.labelValues(action, result).inc();
    }

    /**
     * Returns all metrics for the metrics endpoint.
     *
     * @return the Prometheus text format
     */
    public String text() {
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

    private Histogram histogram(String name, String help, double[] bounds, String... labels) {
        return Histogram.builder()
                .name("celerygw_" + name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(bounds)
                .labelNames(labels)
                .register(registry);
    }

    private static String label(CallKind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }
}
