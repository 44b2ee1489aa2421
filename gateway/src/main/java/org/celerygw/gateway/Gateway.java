package org.celerygw.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.celerygw.core.routes.RouteTable;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.servers.Chooser;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Cleaner;
import org.celerygw.core.turns.Ledger;
import org.celerygw.core.turns.Scheduler;
import org.celerygw.gateway.forward.Forwarder;
import org.celerygw.gateway.forward.Pools;
import org.celerygw.gateway.forward.RequestLog;
import org.celerygw.gateway.net.Incoming;
import org.celerygw.gateway.net.Listener;
import org.celerygw.gateway.net.Reply;
import org.celerygw.gateway.peers.Peers;
import org.celerygw.gateway.peers.StoreHealth;
import org.celerygw.gateway.watch.Watch;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One host of the gateway. It holds nothing that another host could not read in the store.
 *
 * <pre>{@code
 * Gateway.start(vertx, loop, settings, loop -> adapter).onSuccess(gateway -> ...);
 * }</pre>
 */
public final class Gateway {
    private static final Logger LOG = LoggerFactory.getLogger("host");
    private static final String CONFIGURATIONS = "configurations";
    private static final String ENTRIES = "servers";
    private static final long CONFIG_GAP_MS = 100;
    private static final long SERVERS_GAP_MS = 200;
    private static final long CLEAN_MS = 30_000;
    private static final long SWEEP_MS = 500;
    private static final long MOST_READ_MS = 5_000;
    private static final long STOP_ACCEPT_MS = 3_200;
    private static final long STOP_MARGIN_MS = 700;
    private static final long STOP_STEP_MS = 50;
    private static final long CACHE_BYTES = 24L << 20;

    private final EventLoop loop;
    private final GatewaySettings settings;
    private final Clock clock = new SteadyClock();
    private final Scheduler scheduler;
    private final ServerList servers;
    private final Pools pools;
    private final Forwarder forwarder;
    private final Metrics metrics;
    private final Adapter adapter;
    private final Watch configurations;
    private final Watch entries;
    private final Peers peers;
    private final Cleaner cleaner;
    private final long startedAtMs = clock.nowMs();
    private @Nullable RouteTable table;
    private boolean serversKnown;
    private boolean storeAway;
    private boolean stopping;
    private boolean wasReady;
    private @Nullable Listener clients;
    private @Nullable Listener probes;

    /** Makes the adapter once the event loop and the clock are there. */
    @FunctionalInterface
    public interface AdapterFactory {
        /**
         * Makes the adapter.
         *
         * @param loop runs its connections
         * @param clock tells the time
         * @return the adapter
         */
        Adapter make(EventLoop loop, Clock clock);
    }

    private Gateway(EventLoop loop, GatewaySettings settings, AdapterFactory factory) {
        this.loop = loop;
        this.settings = settings;
        this.scheduler = (delayMs, task) -> {
            var unused = loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
        };
        this.adapter = factory.make(loop, clock);
        this.pools = new Pools(loop, clock);
        this.servers = new ServerList(pools::left);
        PrometheusRegistry registry = new PrometheusRegistry();
        this.metrics = new Metrics(registry, this);
        StoreHealth health = new StoreHealth(clock);
        this.configurations = new Watch(
                new NotedFeed(adapter.configurations(), health), clock, scheduler, CONFIG_GAP_MS, new ConfigListener());
        this.entries = new Watch(
                new NotedFeed(adapter.servers(), health), clock, scheduler, SERVERS_GAP_MS, new ServerListener());
        List<Table> partitions = adapter.partitions(settings.partitions()).stream()
                .map(t -> (Table) new MeteredTable(t, clock, metrics::stored))
                .toList();
        this.peers = new Peers(
                loop,
                clock,
                scheduler,
                settings.host(),
                address(settings.clients().ip(), settings.peersPort()),
                settings.seeds().stream().map(a -> address(a.ip(), a.port())).toList(),
                partitions,
                adapter.members(),
                name -> CONFIGURATIONS.equals(name) ? configurations.known() : entries.known(),
                servers,
                health,
                new PeersView());
        configurations.peers(done -> peers.feed(CONFIGURATIONS, done));
        entries.peers(done -> peers.feed(ENTRIES, done));
        Ledger ledger = new Ledger(
                peers.throughPeers(partitions),
                settings.host() + "-" + Long.toString(startedAtMs, Character.MAX_RADIX),
                clock,
                scheduler,
                settings.rowBytes(),
                CACHE_BYTES);
        metrics.watch(peers, ledger);
        this.forwarder = new Forwarder(
                clock,
                scheduler,
                adapter.dialect(),
                () -> table,
                servers,
                new Chooser(settings.zone()),
                pools,
                ledger,
                new RequestLog(registry));
        this.cleaner = new Cleaner(partitions, clock, settings.host().hashCode());
        configurations.start();
        entries.start();
    }

    /**
     * Starts a host.
     *
     * @param vertx owns the event loop
     * @param loop the event loop that everything runs on
     * @param settings the host's settings
     * @param factory makes the adapter
     * @return the host, once it listens
     */
    public static Future<Gateway> start(Vertx vertx, EventLoop loop, GatewaySettings settings, AdapterFactory factory) {
        Promise<Gateway> promise = Promise.promise();
        loop.execute(() -> {
            Gateway gateway = new Gateway(loop, settings, factory);
            gateway.listen().onComplete(r -> {
                if (r.succeeded()) {
                    gateway.sweep();
                    gateway.clean();
                    LOG.atInfo()
                            .addKeyValue("host", settings.host())
                            .addKeyValue("zone", settings.zone())
                            .log("host: listening");
                    promise.complete(gateway);
                } else {
                    promise.fail(r.cause());
                }
            });
        });
        return promise.future();
    }

    /**
     * Stops gracefully: takes no new connections once the balancer has noticed, and ends what was read.
     *
     * @return told when nothing is under way any more, or the grace is nearly over
     */
    public Future<Void> stop() {
        Promise<Void> promise = Promise.promise();
        loop.execute(() -> {
            if (!stopping) {
                stopping = true;
                noteReadiness();
                LOG.atInfo().addKeyValue("underWay", forwarder.underWay()).log("host: stopping");
                listeners().forEach(l -> l.stopping(true));
                stopStep(clock.nowMs(), promise);
            }
        });
        return promise.future();
    }

    /**
     * Returns the port for clients.
     *
     * @return the port
     */
    public int clientPort() {
        return clients == null ? 0 : clients.port();
    }

    /**
     * Returns whether this host should get clients.
     *
     * @return true when routes and backend servers are known and it does not stop
     */
    public boolean ready() {
        return !stopping && table != null && serversKnown;
    }

    /**
     * Returns how many other hosts were heard lately.
     *
     * @return a count
     */
    public int peersAlive() {
        return peers.alive();
    }

    long configVersion() {
        return table == null ? 0 : table.version();
    }

    int underWay() {
        return forwarder.underWay();
    }

    int knownServers() {
        return servers.all().size();
    }

    private Future<Void> listen() {
        GatewaySettings.Address c = settings.clients();
        GatewaySettings.Address r = settings.ready();
        Future<Listener> first = Listener.start(loop, clock, c.ip(), c.port(), forwarder);
        Future<Listener> second = Listener.start(loop, clock, r.ip(), r.port(), this::probe);
        Future<?> third = settings.metricsPort() == 0
                ? Future.succeededFuture()
                : Listener.start(loop, clock, c.ip(), settings.metricsPort(), metrics::serve);
        return Future.all(List.of(first, second, third, peers.start())).map(all -> {
            clients = first.result();
            probes = second.result();
            return null;
        });
    }

    private List<Listener> listeners() {
        return Optional.ofNullable(clients).stream().toList();
    }

    private void probe(Incoming request, Reply reply) {
        reply.whole(ready() ? 200 : 503, new DefaultHttpHeaders(), new byte[0]);
    }

    private void noteReadiness() {
        boolean now = ready();
        if (now != wasReady) {
            wasReady = now;
            LOG.atInfo()
                    .addKeyValue("ready", now)
                    .addKeyValue("configVersion", configVersion())
                    .addKeyValue("servers", knownServers())
                    .addKeyValue("sinceStartMs", clock.nowMs() - startedAtMs)
                    .log("host: readiness changed");
        }
    }

    private void sweep() {
        RouteTable known = table;
        long idleMs = known == null ? 60_000 : known.limits().idleTimeoutMs();
        listeners().forEach(l -> l.sweep(idleMs, MOST_READ_MS));
        pools.sweep();
        servers.expire(clock.nowMs());
        scheduler.after(SWEEP_MS, this::sweep);
    }

    private void clean() {
        cleaner.step();
        scheduler.after(CLEAN_MS, this::clean);
    }

    private void stopStep(long sinceMs, Promise<Void> done) {
        long spentMs = clock.nowMs() - sinceMs;
        boolean accepting = spentMs < Math.min(STOP_ACCEPT_MS, settings.graceMs() / 2);
        if (!accepting) {
            listeners().forEach(Listener::closeIdle);
        }
        boolean quiet =
                !accepting && forwarder.underWay() == 0 && listeners().stream().allMatch(l -> l.busy() == 0);
        if (quiet || spentMs > settings.graceMs() - STOP_MARGIN_MS) {
            LOG.atInfo().addKeyValue("underWay", forwarder.underWay()).log("host: stopped");
            done.complete();
        } else {
            scheduler.after(STOP_STEP_MS, () -> stopStep(sinceMs, done));
        }
    }

    private void storeAway(String what) {
        servers.storeAway();
        if (!storeAway) {
            storeAway = true;
            LOG.atWarn().addKeyValue("feed", what).log("store: does not answer");
        }
    }

    private void storeBack(String what) {
        servers.storeBack(clock.nowMs());
        if (storeAway) {
            storeAway = false;
            LOG.atInfo().addKeyValue("feed", what).log("store: answers again");
        }
    }

    private static InetSocketAddress address(String ip, int port) {
        return new InetSocketAddress(ip, port);
    }

    /** What the peers are told of this host. */
    private final class PeersView implements Peers.View {
        @Override
        public long configVersion() {
            return Gateway.this.configVersion();
        }

        @Override
        public boolean leaving() {
            return stopping;
        }

        @Override
        public void behind() {
            configurations.askPeer();
        }
    }

    /** Takes configurations whose version is newer. */
    private final class ConfigListener implements Watch.Listener {
        @Override
        public void all(List<Row> rows) {
            changed(rows);
        }

        @Override
        public void changed(List<Row> rows) {
            rows.stream()
                    .filter(Row::exists)
                    .flatMap(r -> adapter.configuration(r).stream())
                    .filter(t -> t.version() > configVersion())
                    .forEach(this::take);
        }

        @Override
        public void away() {
            storeAway(CONFIGURATIONS);
        }

        @Override
        public void back() {
            storeBack(CONFIGURATIONS);
        }

        private void take(RouteTable fresh) {
            LOG.atInfo()
                    .addKeyValue("configVersion", fresh.version())
                    .addKeyValue("before", configVersion())
                    .addKeyValue("routes", fresh.size())
                    .log("config: in force");
            table = fresh;
            listeners().forEach(l -> l.maxBodyBytes(fresh.limits().maxBodyBytes()));
            noteReadiness();
        }
    }

    /** Takes entries of backend servers. */
    private final class ServerListener implements Watch.Listener {
        @Override
        public void all(List<Row> rows) {
            serversKnown = true;
            servers.replace(
                    rows.stream().flatMap(r -> adapter.server(r).stream()).toList(), clock.nowMs());
            noteReadiness();
        }

        @Override
        public void changed(List<Row> rows) {
            rows.forEach(r -> {
                Optional<BackendServer> entry = r.exists() ? adapter.server(r) : Optional.empty();
                LOG.atInfo()
                        .addKeyValue("server", r.key())
                        .addKeyValue("entry", entry.map(Object::toString).orElse("names no server"))
                        .log("servers: entry changed");
                entry.ifPresentOrElse(servers::put, () -> servers.remove(r.key(), clock.nowMs()));
            });
        }

        @Override
        public void away() {
            storeAway(ENTRIES);
        }

        @Override
        public void back() {
            storeBack(ENTRIES);
        }
    }
}
