package org.celerygw.cli.load;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;

/** Reads over HTTP which calls the stand-ins executed and for which programs they hold cache memory. Methods block. */
public final class StandinClient {
    private static final long RESPONSE_TIMEOUT_MS = 5_000;
    private static final int MAX_ATTEMPTS = 3;
    private static final long RELEASE_TIMEOUT_MS = 30_000;

    private final HttpClient client;
    private final URI toolsUri;
    private final List<URI> engineUris;

    /**
     * Creates a client for the given stand-ins.
     *
     * @param vertx the instance that runs the HTTP connections
     * @param toolsUri the base URI of the tool services
     * @param engineUris the base URI of each engine
     */
    public StandinClient(Vertx vertx, URI toolsUri, List<URI> engineUris) {
        this.client = vertx.createHttpClient();
        this.toolsUri = toolsUri;
        this.engineUris = List.copyOf(engineUris);
    }

    /**
     * Returns the tool calls that the services executed.
     *
     * @return the calls in order of execution
     */
    public List<Audit.ExecutedCall> executedCalls() {
        return getWithRetry(toolsUri, "/executions").getJsonArray("executions", new JsonArray()).stream()
                .map(JsonObject.class::cast)
                .map(e -> new Audit.ExecutedCall(e.getString("idempotency_key", ""), e.getString("body", "")))
                .toList();
    }

    /**
     * Waits up to 30 s until no engine holds cache memory for a program, since releases are confirmed asynchronously.
     *
     * @return the ids of the programs for which memory is still held after the wait; empty when all was released
     */
    public Set<String> awaitCacheRelease() {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RELEASE_TIMEOUT_MS);
        Set<String> programs = programsHoldingCache();
        while (!programs.isEmpty() && System.nanoTime() < endNs) {
            Caller.pause(200);
            programs = programsHoldingCache();
        }
        return programs;
    }

    private Set<String> programsHoldingCache() {
        return engineUris.stream()
                .flatMap(e ->
                        getWithRetry(e, "/cache/held")
                                .getJsonObject("programs", new JsonObject())
                                .fieldNames()
                                .stream())
                .collect(Collectors.toSet());
    }

    /** Sends a GET request, retried because a server may close an idle connection just as the request is sent on it. */
    private JsonObject getWithRetry(URI server, String path) {
        for (int attemptsLeft = MAX_ATTEMPTS; ; attemptsLeft--) {
            try {
                return getOnce(server, path);
            } catch (ExecutionException | TimeoutException e) {
                if (attemptsLeft == 1) {
                    throw new GatewayException(
                            ErrorCode.NO_BACKEND,
                            "No response from the stand-in at " + server + " after the last attempt: " + e);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new GatewayException(ErrorCode.CANCELLED, "Interrupted.");
            }
        }
    }

    private JsonObject getOnce(URI server, String path)
            throws ExecutionException, TimeoutException, InterruptedException {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(server.getHost())
                .setPort(server.getPort())
                .setURI(path);
        return client.request(options)
                .compose(r -> r.send())
                .compose(HttpClientResponse::body)
                .map(Buffer::toJsonObject)
                .toCompletionStage()
                .toCompletableFuture()
                .get(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
