package org.celerygw.core.routes;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The routes, services and limits of one version of the configuration; immutable. */
public final class RouteTable {
    private final long version;
    private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();
    private final Map<String, Service> services;
    private final Limits limits;
    private final CustomerDirectory customers;

    /**
     * Creates a table without customers.
     *
     * @param version the configuration's version
     * @param routes its routes; the last one applies if several have the same host and prefix
     * @param services its services; the last one applies if several have the same name
     * @param limits the limits for client connections and requests
     */
    public RouteTable(long version, List<Route> routes, List<Service> services, Limits limits) {
        this(version, routes, services, limits, CustomerDirectory.EMPTY);
    }

    /**
     * Creates a table.
     *
     * @param version the configuration's version
     * @param routes its routes; the last one applies if several have the same host and prefix
     * @param services its services; the last one applies if several have the same name
     * @param limits the limits for client connections and requests
     * @param customers the customers with their keys
     */
    public RouteTable(
            long version, List<Route> routes, List<Service> services, Limits limits, CustomerDirectory customers) {
        this.version = version;
        this.services = services.stream().collect(Collectors.toMap(Service::name, Function.identity(), (a, b) -> b));
        this.limits = limits;
        this.customers = customers;
        routes.forEach(r ->
                routesByHost.computeIfAbsent(r.host(), h -> new HashMap<>()).put(r.prefix(), r));
    }

    /**
     * Limits for client connections and requests.
     *
     * @param maxHeaderBytes the maximum size of the header section of a request, in bytes
     * @param maxBodyBytes the maximum size of a request body, in bytes
     * @param headerTimeoutMs the maximum time to receive a header section, in ms
     * @param idleTimeoutMs the maximum time that a connection may be idle, in ms
     */
    public record Limits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}

    /**
     * Returns the same table for engines that manage their memory themselves.
     *
     * @return a table whose services name no memory size
     */
    public RouteTable withoutMemoryLimits() {
        List<Route> routes =
                routesByHost.values().stream().flatMap(r -> r.values().stream()).toList();
        List<Service> unsized =
                services.values().stream().map(Service::withoutMemory).toList();
        return new RouteTable(version, routes, unsized, limits, customers);
    }

    /**
     * Returns the configuration's version.
     *
     * @return the version, which only increases
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits for client connections and requests.
     *
     * @return the limits
     */
    public Limits limits() {
        return limits;
    }

    /**
     * Returns the customers.
     *
     * @return the customers with their keys
     */
    public CustomerDirectory customers() {
        return customers;
    }

    /**
     * Returns the number of routes.
     *
     * @return the number of routes of all hosts
     */
    public int size() {
        return routesByHost.values().stream().mapToInt(Map::size).sum();
    }

    /**
     * Looks up a service by name.
     *
     * @param name the service's name
     * @return the service; empty if there is no such service
     */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds the route with the longest matching path prefix.
     *
     * @param host the host that the client requested, with or without a port
     * @param path the path, without its query
     * @return the route; empty if no route matches
     */
    public Optional<Route> find(String host, String path) {
        Map<String, Route> routes = routesByHost.get(normalizeHost(host));
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

    private static String normalizeHost(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon >= 0 ? host.substring(0, colon) : host;
        return name.toLowerCase(Locale.ROOT);
    }
}
