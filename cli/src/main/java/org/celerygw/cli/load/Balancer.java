package org.celerygw.cli.load;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.net.URI;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Selects entry hosts as the platform's load balancer does: round-robin over the hosts whose {@code /ready} endpoint
 * responds with status 200. Thread-safe.
 */
final class Balancer {
    private static final long POLL_INTERVAL_MS = 100;
    private static final long POLL_TIMEOUT_MS = 500;

    private final HttpClient client;
    private final List<URI> hostUris;
    private final Set<URI> unreadyHosts = ConcurrentHashMap.newKeySet();
    private final AtomicInteger nextIndex = new AtomicInteger();

    Balancer(Vertx vertx, List<URI> hostUris) {
        this.client = vertx.createHttpClient(new HttpClientOptions().setKeepAlive(false));
        this.hostUris = List.copyOf(hostUris);
        vertx.setPeriodic(POLL_INTERVAL_MS, t -> this.hostUris.forEach(this::pollReadiness));
    }

    /** Returns the next ready host in round-robin order, or the next host regardless when none is ready. */
    URI nextHost() {
        int startIndex = nextIndex.getAndIncrement();
        return hostUris.stream()
                .sorted(java.util.Comparator.comparingInt(
                        h -> Math.floorMod(hostUris.indexOf(h) - startIndex, hostUris.size())))
                .filter(h -> !unreadyHosts.contains(h))
                .findFirst()
                .orElseGet(() -> hostUris.get(Math.floorMod(startIndex, hostUris.size())));
    }

    /** Polls one host. A failed poll marks it unready, also when the client was closed at the end of the run. */
    private void pollReadiness(URI host) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(host.getHost())
                .setPort(host.getPort())
                .setURI("/ready")
                .setConnectTimeout(POLL_TIMEOUT_MS)
                .setIdleTimeout(POLL_TIMEOUT_MS);
        Future.succeededFuture()
                .compose(v -> client.request(options))
                .compose(r -> r.send())
                .map(response -> response.statusCode() == 200)
                .otherwise(false)
                .onSuccess(ready -> setReady(host, ready));
    }

    private void setReady(URI host, boolean ready) {
        if (ready) {
            unreadyHosts.remove(host);
        } else {
            unreadyHosts.add(host);
        }
    }
}
