package org.celerygw.cli.load;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A caller that behaves as callers should: it repeats a request with the same idempotency key at the next ready host until
 * it has an answer that a retry cannot change. Blocks; safe for use by many threads.
 */
public final class Caller {
    private static final Set<String> RETRYABLE = Set.of(
            "NOT_OWNER",
            "STOPPING",
            "OVERLOADED",
            "CUSTOMER_LIMIT",
            "STORE_UNAVAILABLE",
            "BACKEND_LOST",
            "BACKEND_FAILED",
            "NO_BACKEND",
            "IN_PROGRESS",
            "INTERNAL");
    private static final long RETRY_MS = 100;
    private static final long TRY_TIMEOUT_MS = 30_000;

    private final HttpClient client;
    private final Balancer balancer;
    private final String key;
    private final long patienceMs;
    private final AtomicLong retries = new AtomicLong();
    private final AtomicLong cutOff = new AtomicLong();

    /**
     * Makes a caller.
     *
     * @param vertx runs its connections
     * @param hosts the entry hosts
     * @param key the caller key
     * @param patienceMs how long it repeats one request
     */
    public Caller(Vertx vertx, List<URI> hosts, String key, long patienceMs) {
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(1_000), new PoolOptions().setHttp1MaxSize(512));
        this.balancer = new Balancer(vertx, hosts);
        this.key = key;
        this.patienceMs = patienceMs;
    }

    /**
     * Returns how many requests were repeated.
     *
     * @return the number
     */
    public long retries() {
        return retries.get();
    }

    /**
     * Returns how many requests broke off after they were sent: no answer, or one that was not whole.
     *
     * @return the number
     */
    public long cutOff() {
        return cutOff.get();
    }

    /**
     * Sends a request until it is answered for good.
     *
     * @param method the HTTP method
     * @param path the path
     * @param headers further headers
     * @param body the body
     * @return the last answer
     */
    public Reply send(HttpMethod method, String path, Map<String, String> headers, Buffer body) {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMs);
        while (true) {
            Reply reply = once(method, path, headers, body);
            if (!mayRetry(reply) || System.nanoTime() >= endNs) {
                return reply;
            }
            retries.incrementAndGet();
            pause(RETRY_MS);
        }
    }

    private static boolean mayRetry(Reply reply) {
        return !reply.whole() || RETRYABLE.contains(reply.error("code"));
    }

    private Reply once(HttpMethod method, String path, Map<String, String> headers, Buffer body) {
        URI host = balancer.pick();
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(host.getHost())
                .setPort(host.getPort())
                .setURI(path)
                .setIdleTimeout(TRY_TIMEOUT_MS);
        headers.forEach(options::putHeader);
        options.putHeader("Authorization", "Bearer " + key);
        try {
            return client.request(options)
                    .compose(r -> r.send(body))
                    .compose(Caller::read)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(TRY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            countCutOff(e);
            return new Reply(0, new byte[0], false);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Reply(0, new byte[0], true);
        }
    }

    /** A refused connection cuts off nothing: the request was never taken. */
    private void countCutOff(Exception e) {
        if (!(e.getCause() instanceof java.net.ConnectException)) {
            cutOff.incrementAndGet();
        }
    }

    private static Future<Reply> read(HttpClientResponse response) {
        boolean stream = String.valueOf(response.getHeader("Content-Type")).startsWith("text/event-stream");
        return response.body().map(b -> {
            boolean whole = !stream || b.toString().endsWith("data: [DONE]\n\n");
            return new Reply(response.statusCode(), b.getBytes(), whole);
        });
    }

    static void pause(long pauseMs) {
        try {
            Thread.sleep(pauseMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
