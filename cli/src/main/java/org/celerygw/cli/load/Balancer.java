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
 * Chooses entry hosts as the platform's balancer does: in turn, and only those that say they are ready. Safe for use
 * by many threads.
 */
final class Balancer {
    private static final long POLL_MS = 100;
    private static final long POLL_TIMEOUT_MS = 500;

    private final HttpClient client;
    private final List<URI> hosts;
    private final Set<URI> unready = ConcurrentHashMap.newKeySet();
    private final AtomicInteger next = new AtomicInteger();

    Balancer(Vertx vertx, List<URI> hosts) {
        this.client = vertx.createHttpClient(new HttpClientOptions().setKeepAlive(false));
        this.hosts = List.copyOf(hosts);
        vertx.setPeriodic(POLL_MS, t -> this.hosts.forEach(this::poll));
    }

    /** Returns the next host that is ready, or just the next one when none is. */
    URI pick() {
        int from = next.getAndIncrement();
        return hosts.stream()
                .sorted(java.util.Comparator.comparingInt(h -> Math.floorMod(hosts.indexOf(h) - from, hosts.size())))
                .filter(h -> !unready.contains(h))
                .findFirst()
                .orElseGet(() -> hosts.get(Math.floorMod(from, hosts.size())));
    }

    /** Asks one host; a client that was closed at the end of the run counts as no answer. */
    private void poll(URI host) {
        RequestOptions ready = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(host.getHost())
                .setPort(host.getPort())
                .setURI("/ready")
                .setConnectTimeout(POLL_TIMEOUT_MS)
                .setIdleTimeout(POLL_TIMEOUT_MS);
        Future.succeededFuture()
                .compose(v -> client.request(ready))
                .compose(r -> r.send())
                .map(response -> response.statusCode() == 200)
                .otherwise(false)
                .onSuccess(ok -> mark(host, ok));
    }

    private void mark(URI host, boolean ready) {
        if (ready) {
            unready.remove(host);
        } else {
            unready.add(host);
        }
    }
}
