package org.celerygw.core.routes;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The routes and services of one version of the configuration; immutable. */
public final class RouteTable {
    private final long version;
    private final Map<String, Map<String, Route>> byHost = new HashMap<>();
    private final Map<String, Service> services;
    private final Limits limits;

    /**
     * Makes a table.
     *
     * @param version the configuration's version
     * @param routes its routes; of two with the same host and prefix the later one counts
     * @param services its services
     * @param limits what clients may send
     */
    public RouteTable(long version, List<Route> routes, List<Service> services, Limits limits) {
        this.version = version;
        this.services = services.stream().collect(Collectors.toMap(Service::name, Function.identity(), (a, b) -> b));
        this.limits = limits;
        routes.forEach(
                r -> byHost.computeIfAbsent(r.host(), h -> new HashMap<>()).put(r.prefix(), r));
    }

    /**
     * What clients may send.
     *
     * @param maxHeaderBytes the most bytes of a request's head
     * @param maxBodyBytes the most bytes of a request's body
     * @param headerTimeoutMs how long a head may take to arrive
     * @param idleTimeoutMs how long a connection may stay without a request
     */
    public record Limits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}

    /**
     * Returns the configuration's version.
     *
     * @return a number that only rises
     */
    public long version() {
        return version;
    }

    /**
     * Returns what clients may send.
     *
     * @return the limits
     */
    public Limits limits() {
        return limits;
    }

    /**
     * Returns how many routes there are.
     *
     * @return the number of routes
     */
    public int size() {
        return byHost.values().stream().mapToInt(Map::size).sum();
    }

    /**
     * Returns a service.
     *
     * @param name its name
     * @return the service; empty when there is none of this name
     */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns the route with the longest prefix that begins the path.
     *
     * @param host the host that the client named, with or without a port
     * @param path the path, without its query
     * @return the route; empty when none matches
     */
    public Optional<Route> find(String host, String path) {
        Map<String, Route> routes = byHost.get(plainHost(host));
        if (routes == null) {
            return Optional.empty();
        }
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = routes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String plainHost(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon >= 0 ? host.substring(0, colon) : host;
        return name.toLowerCase(Locale.ROOT);
    }
}
