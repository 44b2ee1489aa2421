package org.celerygw.core.servers;

import java.util.Collection;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.stream.Collectors;
import org.celerygw.core.helper.LruMap;

/**
 * Learns the speeds of servers from complete responses. The time of a response is compared with the mean time of the same
 * kind of work at the same load. The means are of a server of mean speed: each time is divided by what is known of the
 * speed of its server, so that a host that uses slow servers only does not take them for the mean. Not thread-safe.
 *
 * <pre>{@code
 * learner.recordResponse(server, route, loadAtStart, 87, nowMs);
 * double slowness = server.speed().slowness(nowMs);
 * }</pre>
 */
public final class SpeedLearner {
    private static final double SMOOTHING_FACTOR = 0.05;
    /** The mean time of a kind of work is known after this many responses. */
    private static final int MIN_SAMPLES = 4;

    private static final int MAX_KINDS = 4_000;
    private static final int LOAD_STEPS = 4;
    private static final int MAX_LOAD_STEP = 2 * LOAD_STEPS;

    private final Map<Kind, Mean> means = new LruMap<>(MAX_KINDS);

    /** The step is negative for work that is not the first part of a response. */
    private record Kind(String service, String route, int promptStep, int loadStep) {}

    private static final class Mean {
        private double ms;
        private int samples;

        OptionalDouble known() {
            return samples < MIN_SAMPLES ? OptionalDouble.empty() : OptionalDouble.of(ms);
        }

        void add(double sampleMs) {
            samples = Math.min(Integer.MAX_VALUE - 1, samples) + 1;
            ms += Math.max(SMOOTHING_FACTOR, 1.0 / samples) * (sampleMs - ms);
        }
    }

    /**
     * A complete response of an engine.
     *
     * @param missingTokens the tokens of the prompt that the engine probably did not hold; 0 if not known
     * @param events the number of events after the first one
     * @param firstEventMs the time from sending the request to the first event, in ms
     * @param wholeMs the time from sending the request to the end of the response, in ms
     */
    public record EngineTimes(long missingTokens, int events, long firstEventMs, long wholeMs) {}

    /**
     * Records a complete response of a server that is not an engine.
     *
     * @param server the server
     * @param route the route's name
     * @param loadAtStart the server's load when the request was sent, in requests
     * @param durationMs the time from sending the request to the end of the response, in ms
     * @param nowMs the current time, in ms
     */
    public void recordResponse(TrackedServer server, String route, int loadAtStart, long durationMs, long nowMs) {
        double ms = Math.max(1, durationMs);
        Mean mean = mean(server, route, 0, loadAtStart);
        double slowness = server.speed().slowness(nowMs);
        mean.known().ifPresent(knownMs -> server.speed().record(ms / knownMs, nowMs));
        mean.add(ms / slowness);
    }

    /**
     * Records a complete response of an engine.
     *
     * @param server the engine
     * @param route the route's name
     * @param loadAtStart the engine's load when the request was sent, in requests
     * @param times the times of the response
     * @param nowMs the current time, in ms
     */
    public void recordEngineResponse(
            TrackedServer server, String route, int loadAtStart, EngineTimes times, long nowMs) {
        int promptStep = 64 - Long.numberOfLeadingZeros(Math.max(0, times.missingTokens()));
        Mean first = mean(server, route, promptStep, loadAtStart);
        Mean perEvent = mean(server, "", -1, loadAtStart);
        double firstMs = Math.max(1, times.firstEventMs());
        double restMs = Math.max(0, times.wholeMs() - times.firstEventMs());
        double slowness = server.speed().slowness(nowMs);
        if (first.known().isPresent()
                && (times.events() == 0 || perEvent.known().isPresent())) {
            double expectedMs = first.known().getAsDouble()
                    + (times.events() == 0
                            ? 0
                            : times.events() * perEvent.known().getAsDouble());
            server.speed().record(Math.max(1, times.wholeMs()) / Math.max(1, expectedMs), nowMs);
        }
        first.add(firstMs / slowness);
        if (times.events() > 0) {
            perEvent.add(restMs / times.events() / slowness);
        }
    }

    private Mean mean(TrackedServer server, String route, int promptStep, int loadAtStart) {
        int slots = Math.max(1, server.entry().slots());
        int loadStep = Math.min(MAX_LOAD_STEP, Math.max(0, loadAtStart) * LOAD_STEPS / slots);
        Kind kind = new Kind(server.entry().service(), route, promptStep, loadStep);
        return means.computeIfAbsent(kind, k -> new Mean());
    }

    /**
     * Recomputes the mean speed of each service, to which speeds are relative. Each server counts as much as any other;
     * one without samples is taken for one of mean speed, since peers report what differs only. The samples of a host are relative to the servers that it uses, and are brought
     * to the scale of the peers by the servers that both know.
     *
     * @param servers the servers
     * @param nowMs the current time, in ms
     */
    public static void updateServiceMeans(Collection<TrackedServer> servers, long nowMs) {
        servers.stream()
                .collect(Collectors.groupingBy(
                        server -> server.entry().service(),
                        Collectors.mapping(TrackedServer::speed, Collectors.toList())))
                .values()
                .forEach(sameService -> updateServiceMean(sameService, nowMs));
    }

    private static void updateServiceMean(List<ServerSpeed> speeds, long nowMs) {
        DoubleSummaryStatistics excess = speeds.stream()
                .filter(speed -> speed.isKnownToPeersAsWell(nowMs))
                .mapToDouble(ServerSpeed::peersExcess)
                .summaryStatistics();
        // One more server without a difference keeps a few samples from moving the scale.
        double offset = excess.getSum() / (excess.getCount() + 1);
        speeds.forEach(speed -> speed.setLocalOffset(offset));
        double mean = speeds.stream()
                .mapToDouble(speed -> speed.shrunkLogMean(nowMs))
                .average()
                .orElse(0);
        speeds.forEach(speed -> speed.setServiceLogMean(mean));
    }
}
