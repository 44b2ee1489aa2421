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
 * An HTTP client with the recommended retry behaviour of callers: it retries a request with the same idempotency key
 * at the next ready host until it receives a complete response without a retryable error code, or until the retry
 * window ends. Methods block. Thread-safe.
 */
public final class Caller {
    private static final Set<String> RETRYABLE_CODES = Set.of(
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
    private static final long RETRY_DELAY_MS = 100;
    private static final long ATTEMPT_TIMEOUT_MS = 30_000;

    private final HttpClient client;
    private final Balancer balancer;
    private final String callerKey;
    private final long retryWindowMs;
    private final AtomicLong retryCount = new AtomicLong();
    private final AtomicLong cutOffCount = new AtomicLong();

    /**
     * Creates a caller that sends to the given hosts.
     *
     * @param vertx the instance that runs the HTTP connections
     * @param hostUris the base URIs of the entry hosts
     * @param callerKey the caller key, sent as a bearer token
     * @param retryWindowMs how long one request is retried after it was first sent, in milliseconds
     */
    public Caller(Vertx vertx, List<URI> hostUris, String callerKey, long retryWindowMs) {
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(1_000), new PoolOptions().setHttp1MaxSize(512));
        this.balancer = new Balancer(vertx, hostUris);
        this.callerKey = callerKey;
        this.retryWindowMs = retryWindowMs;
    }

    /**
     * Returns how many retries were sent.
     *
     * @return the count over all requests, not counting first attempts
     */
    public long retryCount() {
        return retryCount.get();
    }

    /**
     * Returns how many attempts were cut off: they failed or timed out before the response ended.
     *
     * @return the count over all attempts; refused connections are not counted
     */
    public long cutOffCount() {
        return cutOffCount.get();
    }

    /**
     * Sends a request, with retries until its response is final or the retry window ends.
     *
     * @param method the HTTP method
     * @param path the request path, with its leading slash
     * @param headers the header fields besides {@code Authorization}
     * @param body the request body
     * @return the response to the last attempt; status 0 when that attempt failed
     */
    public Reply send(HttpMethod method, String path, Map<String, String> headers, Buffer body) {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(retryWindowMs);
        while (true) {
            Reply reply = sendOnce(method, path, headers, body);
            if (!shouldRetry(reply) || System.nanoTime() >= endNs) {
                return reply;
            }
            retryCount.incrementAndGet();
            pause(RETRY_DELAY_MS);
        }
    }

    private static boolean shouldRetry(Reply reply) {
        return !reply.complete() || RETRYABLE_CODES.contains(reply.errorField("code"));
    }

    private Reply sendOnce(HttpMethod method, String path, Map<String, String> headers, Buffer body) {
        URI host = balancer.nextHost();
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(host.getHost())
                .setPort(host.getPort())
                .setURI(path)
                .setIdleTimeout(ATTEMPT_TIMEOUT_MS);
        headers.forEach(options::putHeader);
        options.putHeader("Authorization", "Bearer " + callerKey);
        try {
            return client.request(options)
                    .compose(r -> r.send(body))
                    .compose(Caller::readReply)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(ATTEMPT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            countCutOff(e);
            return new Reply(0, new byte[0], false);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Reply(0, new byte[0], true);
        }
    }

    /** Counts a failed attempt, except when the connection was refused, since then no request was sent. */
    private void countCutOff(Exception failure) {
        if (!(failure.getCause() instanceof java.net.ConnectException)) {
            cutOffCount.incrementAndGet();
        }
    }

    private static Future<Reply> readReply(HttpClientResponse response) {
        boolean eventStream = String.valueOf(response.getHeader("Content-Type")).startsWith("text/event-stream");
        return response.body().map(b -> {
            boolean complete = !eventStream || b.toString().endsWith("data: [DONE]\n\n");
            return new Reply(response.statusCode(), b.getBytes(), complete);
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
