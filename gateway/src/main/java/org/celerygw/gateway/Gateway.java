package org.celerygw.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.celerygw.core.gen.peers.CrashSuspect;
import org.celerygw.core.gen.peers.PermitRequest;
import org.celerygw.core.gen.peers.QuotaReply;
import org.celerygw.core.gen.peers.QuotaRequest;
import org.celerygw.core.gen.peers.ZoneRoom;
import org.celerygw.core.limits.CustomerQuotas;
import org.celerygw.core.limits.Permits;
import org.celerygw.core.limits.QuotaBounds;
import org.celerygw.core.peers.FeedWait;
import org.celerygw.core.peers.ZoneRoomCodec;
import org.celerygw.core.quarantine.Quarantine;
import org.celerygw.core.routes.ConfigFreshness;
import org.celerygw.core.routes.RouteTable;
import org.celerygw.core.routes.Service;
import org.celerygw.core.scheduling.EngineQueue;
import org.celerygw.core.scheduling.QueueLength;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.servers.ServerSelector;
import org.celerygw.core.servers.TrackedServer;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.ExpiredProgramCleaner;
import org.celerygw.core.turns.ProgramStore;
import org.celerygw.core.turns.Scheduler;
import org.celerygw.gateway.forward.Authenticator;
import org.celerygw.gateway.forward.Dialect;
import org.celerygw.gateway.forward.Forwarder;
import org.celerygw.gateway.forward.OriginPools;
import org.celerygw.gateway.forward.RequestLog;
import org.celerygw.gateway.forward.ServerLinks;
import org.celerygw.gateway.forward.ServerRelay;
import org.celerygw.gateway.log.StepFailures;
import org.celerygw.gateway.net.ClientRequest;
import org.celerygw.gateway.net.ClientResponse;
import org.celerygw.gateway.net.HttpListener;
import org.celerygw.gateway.net.OriginPool;
import org.celerygw.gateway.peers.Peers;
import org.celerygw.gateway.peers.StoreHealth;
import org.celerygw.gateway.watch.RowDecoder;
import org.celerygw.gateway.watch.RowFeed;
import org.celerygw.gateway.watch.Watch;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One gateway host. It holds no durable state of its own: any other host can read the same state from the store.
 *
 * <pre>{@code
 * Gateway.start(vertx, loop, settings, (eventLoop, clock) -> adapter).onSuccess(gateway -> ...);
 * }</pre>
 */
public final class Gateway {
    private static final Logger LOG = LoggerFactory.getLogger("host");
    private static final String CONFIGURATION_FEED = "configurations";
    private static final String SERVER_FEED = "servers";
    private static final long CONFIG_POLL_INTERVAL_MS = 100;
    private static final long MIN_SERVER_POLL_INTERVAL_MS = 400;
    /** A draining server must be known within 2 s; the store's answer and a repeated read take the rest. */
    private static final long MAX_SERVER_POLL_INTERVAL_MS = 1_500;

    private static final long SERVER_POLL_INTERVAL_MS_PER_HOST = 30;
    private static final long CLEANUP_INTERVAL_MS = 30_000;
    private static final long SWEEP_INTERVAL_MS = 500;
    private static final long MAX_REQUEST_READ_MS = 5_000;
    private static final long PROGRAM_CACHE_BYTES = 24L << 20;

    private final EventLoop loop;
    private final GatewaySettings settings;
    private final Clock clock = new MonotonicClock();
    private final Scheduler scheduler;
    private final ServerList servers;
    private final Permits permits;
    private final CustomerQuotas quotas;
    private final Quarantine quarantine;
    private final ServerSelector serverSelector;
    private final OriginPools originPools;
    private final ServerLinks links;
    private final EngineQueue engineQueue;
    private final ServerRelay serverRelay;
    private final Forwarder forwarder;
    private final Metrics metrics;
    private final Adapter adapter;
    private final ConfigFreshness configFreshness;
    private final Watch configurationWatch;
    private final Watch serverWatch;
    private final Peers peers;
    private final ExpiredProgramCleaner cleaner;
    private final long startedAtMs = clock.nowMs();
    private @Nullable RouteTable routes;
    private boolean serversKnown;
    private boolean storeUnavailable;
    private boolean stopping;
    private boolean wasReady;
    private @Nullable HttpListener clientListener;
    private @Nullable HttpListener readinessListener;

    /** Creates the adapter once the event loop and the clock are available. */
    @FunctionalInterface
    public interface AdapterFactory {
        /**
         * Creates the adapter.
         *
         * @param loop the event loop on which the adapter's connections run
         * @param clock the host's monotonic clock
         * @return an adapter that calls back on the event loop
         */
        Adapter create(EventLoop loop, Clock clock);
    }

    private Gateway(EventLoop loop, GatewaySettings settings, AdapterFactory factory) {
        this.loop = loop;
        this.settings = settings;
        this.scheduler = (delayMs, task) -> {
            var unused = loop.schedule(() -> StepFailures.run("timer", task), delayMs, TimeUnit.MILLISECONDS);
        };
        this.adapter = factory.create(loop, clock);
        this.originPools = new OriginPools(loop, clock, adapter.dialect().requestIdField());
        this.servers = new ServerList(originPools::remove, this::logReturn);
        this.quarantine = new Quarantine(settings.host());
        this.permits = new Permits(settings.host(), clock, scheduler, servers, new PermitNetwork());
        this.quotas = createQuotas();
        this.serverSelector = new ServerSelector(settings.zone(), permits::request);
        PrometheusRegistry registry = new PrometheusRegistry();
        this.metrics = new Metrics(registry, this);
        StoreHealth health = new StoreHealth(clock);
        this.configFreshness = createFreshness(settings.customerBounds());
        this.configurationWatch = createConfigurationWatch(health);
        this.serverWatch = createServerWatch(health);
        List<Table> partitions = meteredPartitions();
        Dialect dialect = adapter.dialect();
        this.links = new ServerLinks(clock, scheduler, dialect, servers, originPools, this::serverRelays);
        this.serverRelay = new ServerRelay(links, servers, scheduler);
        this.peers = new Peers(
                loop,
                clock,
                scheduler,
                settings.host(),
                settings.zone(),
                socketAddress(settings.clientAddress().ip(), settings.peerPort()),
                settings.seeds().stream()
                        .map(a -> socketAddress(a.ip(), a.port()))
                        .toList(),
                partitions,
                adapter.hostTable(),
                name -> CONFIGURATION_FEED.equals(name) ? configurationWatch.snapshot() : serverWatch.snapshot(),
                servers,
                health,
                new PeersLocalState(),
                permits,
                quotas,
                serverRelay);
        configurationWatch.setPeerSource(callback -> peers.readFeed(CONFIGURATION_FEED, callback));
        serverWatch.setPeerSource(callback -> peers.readFeed(SERVER_FEED, callback));
        ProgramStore programStore = new ProgramStore(
                peers.hedgedTables(partitions),
                settings.host() + "-" + Long.toString(startedAtMs, Character.MAX_RADIX),
                clock,
                scheduler,
                settings.maxRowBytes(),
                PROGRAM_CACHE_BYTES);
        metrics.registerPeersAndPrograms(peers, programStore);
        this.engineQueue = createEngineQueue();
        metrics.registerQueue(engineQueue);
        metrics.registerLinks(links, originPools);
        metrics.registerServerProtection(servers, permits, quotas, quarantine, clock);
        metrics.registerServerSpeeds(servers, clock);
        this.forwarder = new Forwarder(
                clock,
                scheduler,
                dialect,
                () -> routes,
                new Authenticator(configFreshness, configurationWatch::readFromPeer),
                servers,
                serverSelector,
                engineQueue,
                originPools,
                links,
                programStore,
                quarantine,
                quotas,
                new RequestLog(registry),
                peers::loadChanged,
                peers::suspectsChanged,
                (long) settings.memoryMb() << 20);
        this.cleaner =
                new ExpiredProgramCleaner(partitions, clock, settings.host().hashCode());
        configurationWatch.start();
        serverWatch.start();
    }

    private CustomerQuotas createQuotas() {
        GatewaySettings.CustomerBounds bounds = settings.customerBounds();
        return new CustomerQuotas(
                settings.host(),
                clock,
                scheduler,
                new QuotaBounds(bounds.quotaWindowMs(), bounds.quotaOverage(), bounds.quotaSlack()),
                new QuotaNetwork());
    }

    private List<Table> meteredPartitions() {
        return adapter.partitions(settings.partitions()).stream()
                .map(t -> (Table) new MeteredTable(t, clock, metrics::recordStoreCall))
                .toList();
    }

    private List<OriginPool> serverRelays() {
        return peers.serverRelays();
    }

    private static ConfigFreshness createFreshness(GatewaySettings.CustomerBounds bounds) {
        return new ConfigFreshness(bounds.revokeMs(), bounds.strictRevocation());
    }

    private Watch createConfigurationWatch(StoreHealth health) {
        RowFeed confirming = new ConfirmingFeed(adapter.configurationFeed(), clock, configFreshness);
        RowFeed feed = new HealthTrackingFeed(confirming, health);
        return new Watch(
                feed, clock, scheduler, () -> CONFIG_POLL_INTERVAL_MS, this::configurationWaitMs, new ConfigListener());
    }

    private Watch createServerWatch(StoreHealth health) {
        RowFeed feed = new HealthTrackingFeed(adapter.serverFeed(), health);
        return new Watch(feed, clock, scheduler, this::serverPollIntervalMs, new ServerListener());
    }

    /**
     * Starts a host.
     *
     * @param vertx the Vert.x instance that owns the event loop
     * @param loop the event loop on which the whole host runs
     * @param settings the host's settings
     * @param factory creates the adapter to the platform
     * @return the host once all its listeners are bound; fails when one of them cannot be bound or a setting cannot be applied
     */
    public static Future<Gateway> start(Vertx vertx, EventLoop loop, GatewaySettings settings, AdapterFactory factory) {
        Promise<Gateway> promise = Promise.promise();
        loop.execute(() -> {
            try {
                new Gateway(loop, settings, factory).begin(promise);
            } catch (RuntimeException e) {
                promise.tryFail(e);
            }
        });
        return promise.future();
    }

    /**
     * Stops gracefully. The host reports itself as not ready at once, keeps accepting connections until the load
     * balancer has had time to notice, and then completes the requests that it has already received.
     *
     * @return completes when no request is in flight any more, or shortly before the grace period ends
     */
    public Future<Void> stop() {
        Promise<Void> promise = Promise.promise();
        loop.execute(() -> {
            if (!stopping) {
                stopping = true;
                logReadinessChange();
                new HostStop(clock, scheduler, clientListeners(), forwarder, serverRelay, settings.stopGraceMs())
                        .start(promise::complete);
            }
        });
        return promise.future();
    }

    /**
     * Returns the port on which clients connect.
     *
     * @return the bound port; 0 before the host listens
     */
    public int clientPort() {
        return clientListener == null ? 0 : clientListener.port();
    }

    /**
     * Returns whether this host is ready for client requests.
     *
     * @return true when the configuration and the backend servers are known and the host is not stopping
     */
    public boolean ready() {
        return !stopping && routes != null && serversKnown;
    }

    /**
     * Returns how many other hosts sent a digest recently.
     *
     * @return the number of live peers
     */
    public int livePeers() {
        return peers.liveCount();
    }

    long configVersion() {
        return routes == null ? 0 : routes.version();
    }

    int requestsInFlight() {
        return forwarder.requestsInFlight();
    }

    int knownServers() {
        return servers.all().size();
    }

    /**
     * Returns the minimum time between two polls of the servers' entries. Each server writes its entry every second or so;
     * the interval grows with the fleet, so that the polls of all hosts together do not grow with the product of both.
     */
    private long serverPollIntervalMs() {
        long intervalMs = SERVER_POLL_INTERVAL_MS_PER_HOST * (1 + livePeers());
        return Math.max(MIN_SERVER_POLL_INTERVAL_MS, Math.min(MAX_SERVER_POLL_INTERVAL_MS, intervalMs));
    }

    /** A host that serves customers must know soon that its configuration is the newest: their keys may be withdrawn. */
    private long configurationWaitMs() {
        boolean hasKeys = routes != null && routes.customers().requiresKeys();
        boolean mustConfirm = hasKeys || settings.customerBounds().strictRevocation();
        long confirmWithinMs = mustConfirm ? settings.customerBounds().revokeMs() : Long.MAX_VALUE;
        return FeedWait.nextMs(1 + livePeers(), confirmWithinMs, () -> ThreadLocalRandom.current()
                .nextDouble());
    }

    private void begin(Promise<Gateway> promise) {
        listen().onComplete(r -> {
            if (r.succeeded()) {
                sweep();
                cleanUp();
                LOG.atInfo()
                        .addKeyValue("host", settings.host())
                        .addKeyValue("zone", settings.zone())
                        .log("host: listening");
                promise.complete(this);
            } else {
                promise.fail(r.cause());
            }
        });
    }

    private Future<Void> listen() {
        GatewaySettings.Address clientAddress = settings.clientAddress();
        GatewaySettings.Address readinessAddress = settings.readinessAddress();
        Future<HttpListener> clientBind =
                HttpListener.start(loop, clock, clientAddress.ip(), clientAddress.port(), forwarder);
        Future<HttpListener> readinessBind =
                HttpListener.start(loop, clock, readinessAddress.ip(), readinessAddress.port(), this::serveReadiness);
        Future<?> metricsBind = settings.metricsPort() == 0
                ? Future.succeededFuture()
                : HttpListener.start(loop, clock, clientAddress.ip(), settings.metricsPort(), metrics::serve);
        return Future.all(List.of(clientBind, readinessBind, metricsBind, peers.start()))
                .map(all -> {
                    clientListener = clientBind.result();
                    readinessListener = readinessBind.result();
                    return null;
                });
    }

    private List<HttpListener> clientListeners() {
        return Optional.ofNullable(clientListener).stream().toList();
    }

    private void serveReadiness(ClientRequest request, ClientResponse response) {
        response.send(ready() ? 200 : 503, new DefaultHttpHeaders(), new byte[0]);
    }

    private void logReadinessChange() {
        boolean isReady = ready();
        if (isReady != wasReady) {
            wasReady = isReady;
            LOG.atInfo()
                    .addKeyValue("ready", isReady)
                    .addKeyValue("configVersion", configVersion())
                    .addKeyValue("servers", knownServers())
                    .addKeyValue("sinceStartMs", clock.nowMs() - startedAtMs)
                    .log("host: readiness changed");
        }
    }

    private void sweep() {
        // First, so that the next sweep does not depend on how this one ends.
        scheduler.schedule(SWEEP_INTERVAL_MS, this::sweep);
        RouteTable current = routes;
        long idleMs = current == null ? 60_000 : current.limits().idleTimeoutMs();
        clientListeners().forEach(l -> l.sweep(idleMs, MAX_REQUEST_READ_MS));
        originPools.closeExpired();
        servers.removeExpired(clock.nowMs());
    }

    private void cleanUp() {
        scheduler.schedule(CLEANUP_INTERVAL_MS, this::cleanUp);
        cleaner.cleanNextPartition();
    }

    private void onStoreUnavailable(String feed) {
        servers.onStoreUnavailable();
        if (!storeUnavailable) {
            storeUnavailable = true;
            LOG.atWarn()
                    .addKeyValue("feed", feed)
                    .log("store: neither the store nor a peer answers; continuing with the last known rows");
        }
    }

    private void onStoreAvailable(String feed) {
        servers.onStoreAvailable(clock.nowMs());
        if (storeUnavailable) {
            storeUnavailable = false;
            LOG.atInfo().addKeyValue("feed", feed).log("store: the store or a peer answers again");
        }
    }

    private EngineQueue createEngineQueue() {
        return new EngineQueue(
                servers,
                serverSelector,
                peers::waitingAtPeers,
                peers::waitingAtPeersByPrecedence,
                () -> ThreadLocalRandom.current().nextDouble());
    }

    private void logReturn(TrackedServer server) {
        LOG.atInfo()
                .addKeyValue("server", server.entry().id())
                .addKeyValue("limitPerS", server.limit().perS(clock.nowMs()))
                .addKeyValue("usable", server.isUsable())
                .log("servers: entry has returned; what is known of this incarnation still holds");
    }

    private static InetSocketAddress socketAddress(String ip, int port) {
        return new InetSocketAddress(ip, port);
    }

    /** The state of this host that its digests report to the peers. */
    private final class PeersLocalState implements Peers.LocalState {
        @Override
        public long configVersion() {
            return Gateway.this.configVersion();
        }

        @Override
        public Map<String, QueueLength> waitingByService() {
            return engineQueue.waitingByService();
        }

        @Override
        public Map<String, Map<Integer, QueueLength>> waitingByPrecedence() {
            return engineQueue.waitingByPrecedence(clock.nowMs());
        }

        @Override
        public Map<Integer, Double> customerWork() {
            return engineQueue.customerWork(clock.nowMs());
        }

        @Override
        public void onCustomerWork(String peer, Map<Integer, Double> workMs) {
            engineQueue.customerWorkElsewhere(peer, workMs, clock.nowMs());
        }

        @Override
        public List<Integer> recentlyStarted() {
            return engineQueue.recentlyStarted(clock.nowMs());
        }

        @Override
        public void startedElsewhere(List<Integer> programHashes) {
            engineQueue.startedElsewhere(programHashes);
        }

        @Override
        public List<CrashSuspect> crashSuspects() {
            return quarantine.suspectsToTell(clock.nowMs());
        }

        @Override
        public void onCrashSuspects(String peer, List<CrashSuspect> suspects) {
            quarantine.addTold(suspects, clock.nowMs(), hash -> LOG.atWarn()
                    .addKeyValue("content", Long.toHexString(hash))
                    .addKeyValue("peer", peer)
                    .log("quarantine: a peer tells of a request under which servers have crashed"));
        }

        @Override
        public boolean cutOff() {
            return links.isCutOff();
        }

        @Override
        public boolean leaving() {
            return stopping;
        }

        @Override
        public void onGroup(int index, int count) {
            serverSelector.setGroup(index, count);
        }

        @Override
        public void onPeerConfiguration(long version, boolean storeAnswers) {
            configFreshness.recordPeer(version, storeAnswers, configVersion(), clock.nowMs());
        }

        @Override
        public void onHostZones(Set<String> zones) {
            serverSelector.setHostZones(zones);
            serverSelector.zoneRooms().removeExpired(clock.nowMs());
        }

        @Override
        public List<ZoneRoom> zoneRooms() {
            return ZoneRoomCodec.encode(servers, serverSelector, this::waiting, clock.nowMs());
        }

        private int waiting(String service) {
            QueueLength own = engineQueue.waitingByService().getOrDefault(service, QueueLength.NONE);
            QueueLength all = own.plus(peers.waitingAtPeers(service));
            return all.underWay() + all.others();
        }

        @Override
        public void onZoneRooms(List<ZoneRoom> rooms) {
            ZoneRoomCodec.apply(rooms, serverSelector.zoneRooms(), clock.nowMs());
        }

        @Override
        public void onNewerConfiguration() {
            configurationWatch.readFromPeer();
        }
    }

    /** Reaches the hosts that issue permits for servers with a request limit. */
    private final class PermitNetwork implements Permits.Network {
        @Override
        public Collection<String> grantingHosts() {
            return peers.grantingHosts();
        }

        @Override
        public void send(String host, PermitRequest request) {
            peers.sendPermitRequest(host, request);
        }

        @Override
        public void announce(String host) {
            peers.sendDigest(host);
        }

        @Override
        public boolean mayGrant() {
            return !stopping && peers.knowsHosts();
        }
    }

    /** Reaches the hosts that keep the accounts of customers' quotas. */
    private final class QuotaNetwork implements CustomerQuotas.Network {
        @Override
        public Collection<String> hosts() {
            return peers.grantingHosts();
        }

        @Override
        public boolean mayKeep() {
            return !stopping && peers.knowsHosts();
        }

        @Override
        public void send(String host, QuotaRequest request) {
            peers.sendQuotaRequest(host, request);
        }

        @Override
        public void sendNotice(String host, QuotaReply notice) {
            peers.sendQuotaNotice(host, notice);
        }

        @Override
        public void announce(String host) {
            peers.sendDigest(host);
        }
    }

    /** Applies configurations whose version is newer than the current one. */
    private final class ConfigListener implements Watch.Listener {
        private final RowDecoder<RouteTable> configurationRows = new RowDecoder<>(
                CONFIGURATION_FEED,
                "config: cannot decode the configuration, the previous one stays active",
                adapter::parseConfiguration);

        @Override
        public void onSnapshot(List<Row> rows) {
            onChanges(rows);
        }

        @Override
        public void onChanges(List<Row> rows) {
            rows.stream()
                    .filter(Row::exists)
                    .flatMap(r -> configurationRows.decode(r).stream())
                    .filter(t -> t.version() > configVersion())
                    .forEach(this::apply);
        }

        @Override
        public void onUnavailable() {
            onStoreUnavailable(CONFIGURATION_FEED);
        }

        @Override
        public void onAvailable() {
            onStoreAvailable(CONFIGURATION_FEED);
        }

        private void apply(RouteTable newRoutes) {
            LOG.atInfo()
                    .addKeyValue("configVersion", newRoutes.version())
                    .addKeyValue("before", configVersion())
                    .addKeyValue("routes", newRoutes.size())
                    .log("config: new configuration is in force");
            routes = settings.limitsEngineMemory() ? newRoutes : newRoutes.withoutMemoryLimits();
            serverSelector.setMemory(
                    name -> routes.service(name).map(Service::memoryTokens).orElse(0));
            newRoutes.customers().problems().forEach(problem -> LOG.atError()
                    .addKeyValue("configVersion", newRoutes.version())
                    .addKeyValue("problem", problem)
                    .log("config: a customer's entry cannot be used as it is"));
            // Hosts whose connection to the store has gone silent learn of the version from digests.
            peers.loadChanged();
            clientListeners().forEach(l -> l.maxBodyBytes(newRoutes.limits().maxBodyBytes()));
            logReadinessChange();
        }
    }

    /** Applies changes of the registered backend servers. */
    private final class ServerListener implements Watch.Listener {
        private final RowDecoder<BackendServer> serverRows = new RowDecoder<>(
                SERVER_FEED, "servers: cannot decode an entry, it counts as no server", adapter::parseServer);

        @Override
        public void onSnapshot(List<Row> rows) {
            if (serversKnown) {
                // A snapshot follows a failure, and the long poll of the configuration may wait on a dead connection
                // too.
                configurationWatch.reread();
            }
            serversKnown = true;
            servers.replaceAll(
                    rows.stream().flatMap(r -> serverRows.decode(r).stream()).toList(), clock.nowMs());
            logReadinessChange();
        }

        @Override
        public void onChanges(List<Row> rows) {
            rows.forEach(r -> {
                Optional<BackendServer> server = serverRows.decode(r);
                logEntryChange(r.key(), server);
                server.ifPresentOrElse(servers::put, () -> servers.remove(r.key(), clock.nowMs()));
            });
        }

        /** Servers write their entries at each heartbeat; a line that says nothing new displaces those of requests. */
        private void logEntryChange(String id, Optional<BackendServer> server) {
            Optional<BackendServer> known =
                    Optional.ofNullable(servers.byId(id)).map(TrackedServer::entry);
            if (!known.equals(server)) {
                LOG.atInfo()
                        .addKeyValue("server", id)
                        .addKeyValue("entry", server.map(Object::toString).orElse("no usable server"))
                        .log("servers: backend server entry changed");
            }
        }

        @Override
        public void onUnavailable() {
            onStoreUnavailable(SERVER_FEED);
        }

        @Override
        public void onAvailable() {
            onStoreAvailable(SERVER_FEED);
        }
    }
}
