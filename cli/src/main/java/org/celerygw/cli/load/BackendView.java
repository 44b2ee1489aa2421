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

/** What the stand-in back ends saw and hold, asked over HTTP. Its methods block. */
public final class BackendView {
    private static final long ANSWER_TIMEOUT_MS = 5_000;
    private static final int MOST_TRIES = 3;
    private static final long RELEASE_PATIENCE_MS = 30_000;

    private final HttpClient client;
    private final URI tools;
    private final List<URI> engines;

    /**
     * Makes a view.
     *
     * @param vertx runs its connections
     * @param tools the tool services
     * @param engines the engines
     */
    public BackendView(Vertx vertx, URI tools, List<URI> engines) {
        this.client = vertx.createHttpClient();
        this.tools = tools;
        this.engines = List.copyOf(engines);
    }

    /**
     * Returns the tool calls that ran.
     *
     * @return the calls in the order in which they ran
     */
    public List<Audit.Executed> executed() {
        return get(tools, "/executions").getJsonArray("executions", new JsonArray()).stream()
                .map(JsonObject.class::cast)
                .map(e -> new Audit.Executed(e.getString("idempotency_key", ""), e.getString("body", "")))
                .toList();
    }

    /**
     * Returns the programs for which engines hold memory, after the releases have had time to be confirmed.
     *
     * @return the programs; empty as soon as nothing is held
     */
    public Set<String> heldAfterAWhile() {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RELEASE_PATIENCE_MS);
        Set<String> held = held();
        while (!held.isEmpty() && System.nanoTime() < endNs) {
            Caller.pause(200);
            held = held();
        }
        return held;
    }

    private Set<String> held() {
        return engines.stream()
                .flatMap(e -> get(e, "/cache/held").getJsonObject("programs", new JsonObject()).fieldNames().stream())
                .collect(Collectors.toSet());
    }

    /** Reads a view; asked again when a kept connection closes in the same moment, as any client would. */
    private JsonObject get(URI server, String path) {
        for (int left = MOST_TRIES; ; left--) {
            try {
                return once(server, path);
            } catch (ExecutionException | TimeoutException e) {
                if (left == 1) {
                    throw new GatewayException(
                            ErrorCode.NO_BACKEND, "The stand-in at " + server + " does not answer: " + e);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new GatewayException(ErrorCode.CANCELLED, "Interrupted.");
            }
        }
    }

    private JsonObject once(URI server, String path) throws ExecutionException, TimeoutException, InterruptedException {
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
                .get(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
