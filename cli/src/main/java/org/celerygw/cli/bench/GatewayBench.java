package org.celerygw.cli.bench;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Measures what a daemon adds to a call: the same call is sent through the daemon and directly, in turn, in one run.
 *
 * <pre>{@code
 * BenchResult result = GatewayBench.run(vertx, BenchOptions.model(gateway, key, engine, "m")).await();
 * result.lines().forEach(System.out::println);
 * }</pre>
 */
public final class GatewayBench {
    private static final double[] PERCENTILES = {50, 95, 99};

    private GatewayBench() {}

    /**
     * Measures.
     *
     * @param vertx runs the callers
     * @param options what to measure
     * @return the result; calls that fail are counted in it
     */
    public static Future<BenchResult> run(Vertx vertx, BenchOptions options) {
        HttpClient http = vertx.createHttpClient(
                new HttpClientOptions().setTcpNoDelay(true), new PoolOptions().setHttp1MaxSize(options.workers()));
        String run = "bench-" + Long.toString(System.currentTimeMillis(), 36);
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(options.limitMs());
        List<Worker> workers = IntStream.range(0, options.workers())
                .mapToObj(i -> new Worker(vertx, options, http, run + "-" + i, endNs))
                .toList();
        return Future.join(workers.stream().map(Worker::run).toList())
                .map(v -> result(workers))
                .eventually(() -> http.close());
    }

    private static BenchResult result(List<Worker> workers) {
        long beganNs = workers.stream()
                .mapToLong(Worker::countedFromNs)
                .filter(ns -> ns != 0)
                .min()
                .orElse(System.nanoTime());
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNs);
        return new BenchResult(
                latency(workers.stream().map(Worker::direct)),
                latency(workers.stream().map(Worker::gateway)),
                elapsedMs);
    }

    private static BenchResult.Latency latency(Stream<Side> sides) {
        Side all = new Side();
        sides.forEach(all::add);
        return new BenchResult.Latency(
                all.count(),
                all.failures(),
                all.lastFailure(),
                IntStream.range(0, PERCENTILES.length)
                        .mapToObj(i -> all.firstByteMs(PERCENTILES[i]))
                        .toList(),
                IntStream.range(0, PERCENTILES.length)
                        .mapToObj(i -> all.wholeMs(PERCENTILES[i]))
                        .toList());
    }
}
