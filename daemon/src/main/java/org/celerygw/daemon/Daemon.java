package org.celerygw.daemon;

import com.google.protobuf.ByteString;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerOptions;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.commons.rng.simple.RandomSource;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.config.AcceptedConfig;
import org.celerygw.core.config.ConfigSettings;
import org.celerygw.core.config.Configurations;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.HostId;
import org.celerygw.core.membership.MembershipKeys;
import org.celerygw.core.membership.News;
import org.celerygw.core.owner.Event;
import org.celerygw.core.owner.Owner;
import org.celerygw.core.routing.Dispatcher;
import org.celerygw.core.routing.DispatcherSettings;
import org.celerygw.core.time.Clock;
import org.celerygw.daemon.backend.BackendSettings;
import org.celerygw.daemon.backend.Backends;
import org.celerygw.daemon.entry.CallerServer;
import org.celerygw.daemon.health.Health;
import org.celerygw.daemon.metrics.Metrics;
import org.celerygw.daemon.operator.OperatorServer;
import org.celerygw.daemon.peer.PeerLinks;
import org.celerygw.daemon.peer.PeerSettings;
import org.celerygw.daemon.route.LinkedPeers;
import org.celerygw.daemon.route.OwnerRouter;
import org.celerygw.daemon.route.Peers;
import org.celerygw.daemon.send.CallSender;
import org.celerygw.daemon.settings.Settings;
import org.celerygw.daemon.store.PlatformStore;
import org.celerygw.daemon.tls.ServerTls;
import org.celerygw.daemon.work.OwnerHost;
import org.celerygw.daemon.work.Responder;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One daemon: sockets, timers and the platform's clients round the core.
 *
 * <pre>{@code
 * Daemon daemon = Daemon.start(vertx, Settings.load(path)).await();
 * daemon.stop();   // hands its slots over, lets streams end, then closes
 * }</pre>
 */
public final class Daemon {
    private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
    private static final long TICK_MS = 20;
    private static final long SWEEP_MS = 10_000;
    private static final long HOST_LIST_MS = 5_000;
    private static final int REFUSED_RETRY_MS = 200;

    private final Settings settings;
    private final Clock clock = System::currentTimeMillis;
    private final HostId host;
    private final Health health;
    private final Metrics metrics = new Metrics();
    private final DecisionFeed decisions;
    private final Part part = new Part();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private @Nullable String deployment;

    private Daemon(Settings settings) {
        this.settings = settings;
        this.host = new HostId(settings.host().name() + "." + Long.toString(clock.nowMs(), 36) + "."
                + UUID.randomUUID().toString().substring(0, 8));
        this.health = new Health(clock);
        this.decisions = new DecisionFeed(clock);
    }

    /**
     * Starts a daemon.
     *
     * @param vertx runs it
     * @param settings its settings
     * @return the daemon once all its ports are open; fails with a {@link GatewayException} when one is taken
     */
    public static Future<Daemon> start(Vertx vertx, Settings settings) {
        Daemon daemon = new Daemon(settings);
        return vertx.deployVerticle(daemon.part).map(id -> {
            daemon.deployment = id;
            return daemon;
        });
    }

    /**
     * Returns this incarnation's id.
     *
     * @return the host id, new at each start
     */
    public HostId host() {
        return host;
    }

    /**
     * Returns the port for callers.
     *
     * @return a TCP port
     */
    public int httpPort() {
        return part.httpPort;
    }

    /**
     * Returns the port for operators.
     *
     * @return a TCP port
     */
    public int operatorPort() {
        return part.operatorPort;
    }

    /**
     * Returns what the daemon counts.
     *
     * @return the metrics
     */
    public Metrics metrics() {
        return metrics;
    }

    /**
     * Stops gracefully: not ready, slots handed over, streams ended, then closed. Calling it again has no effect.
     *
     * @return done when everything is closed
     */
    public Future<Void> stop() {
        part.context().runOnContext(v -> part.stop.begin());
        return Future.fromCompletionStage(stopped);
    }

    /**
     * Returns when the daemon has stopped, by order or after losing its slots.
     *
     * @return done when everything is closed
     */
    public Future<Void> stopped() {
        return Future.fromCompletionStage(stopped);
    }

    /**
     * Returns how many requests a stop would cut off now.
     *
     * @return callers being answered here and calls under way for other hosts
     */
    public int underWay() {
        return part.underWay();
    }

    /**
     * Ends the daemon at once, as a crash would: nothing is handed over, no caller is answered.
     *
     * @return done when its sockets are closed
     */
    public Future<Void> kill() {
        Promise<Void> done = Promise.promise();
        part.context().runOnContext(v -> {
            part.owner.kill();
            part.closeAll().onComplete(r -> done.complete());
        });
        return done.future();
    }

    /** Everything that runs on the daemon's event loop. */
    private final class Part extends VerticleBase {
        private volatile int httpPort;
        private volatile int operatorPort;
        private PlatformStore store;
        private Backends backends;
        private CallSender sender;
        private OwnerHost owner;
        private Configurations configurations;
        private PeerLinks links;
        private OwnerRouter router;
        private LinkedPeers peers;
        private CallerServer callers;
        private OperatorServer operators;
        private Fleet fleet;
        private HostControl control;
        private GracefulStop stop;

        Context context() {
            return context;
        }

        @Override
        public Future<?> start() {
            store = PlatformStore.connect(
                    vertx, settings.store().uri(), settings.store().timeoutMs());
            backends = Backends.open(
                    vertx,
                    clock,
                    BackendSettings.DEFAULT.withSilenceMs(settings.backends().silenceMs()));
            sender = new CallSender(new CallSender.Parts(
                    host,
                    clock,
                    dispatcher(),
                    backends,
                    decisions,
                    (delayMs, task) -> vertx.setTimer(Math.max(1, delayMs), t -> task.run())));
            owner = new OwnerHost(new OwnerHost.Parts(
                    context,
                    clock,
                    new Owner(host, settings.journal()),
                    store.table(),
                    store.objects(),
                    sender,
                    this::deposed,
                    decisions,
                    e -> metrics.spent(e.customer(), e.tokens())));
            links = new PeerLinks(
                    peerSettings(),
                    MembershipKeys.single(Fleet.bytes(settings.peer().key())),
                    host,
                    settings.host().release(),
                    clock);
            peers = new LinkedPeers(context, links, id -> fleet.peerAddress(id));
            router = new OwnerRouter(owner, peers, clock, (delayMs, task) -> vertx.setTimer(delayMs, t -> task.run()));
            configurations = new Configurations(
                    ConfigSettings.DEFAULTS,
                    store.table(),
                    this::fetchConfig,
                    () -> UUID.randomUUID().toString(),
                    RandomSource.XO_RO_SHI_RO_128_PP.create(),
                    this::inForce);
            control = new HostControl(this::view, settings, clock, decisions);
            stop = new GracefulStop(vertx, settings.stop(), clock, new StopSteps());
            callers = new CallerServer(vertx, httpOptions(), callerParts());
            operators = new OperatorServer(vertx, settings, control, clock, metrics);
            return open();
        }

        private Dispatcher dispatcher() {
            return new Dispatcher(
                    DispatcherSettings.DEFAULT, settings.host().zone(), RandomSource.XO_RO_SHI_RO_128_PP.create());
        }

        private PeerSettings peerSettings() {
            PeerSettings d = PeerSettings.DEFAULTS;
            return new PeerSettings(
                    d.threads(),
                    d.connectTimeoutMs(),
                    settings.peer().heartbeatMs(),
                    settings.peer().silenceMs(),
                    Math.max(d.maxFrameBytes(), settings.listen().maxBodyBytes() * 2),
                    d.windowBytes(),
                    d.maxQueuedBytes(),
                    d.maxStreams(),
                    d.maxPendingBytes());
        }

        private HttpServerOptions httpOptions() {
            HttpServerOptions options = new HttpServerOptions()
                    .setHost(settings.listen().address())
                    .setPort(settings.listen().httpPort())
                    .setMaxHeaderSize(settings.listen().maxHeaderBytes());
            return ServerTls.secure(vertx, options, settings.tls());
        }

        private CallerServer.Parts callerParts() {
            return new CallerServer.Parts(
                    clock,
                    router,
                    this::configuration,
                    health,
                    this::refusal,
                    metrics,
                    stop::begun,
                    settings.listen().maxBodyBytes(),
                    settings.listen().maxConnections());
        }

        private Future<?> open() {
            InetSocketAddress peerAddress = new InetSocketAddress(
                    settings.listen().address(), settings.listen().peerPort());
            return callers.listen()
                    .compose(port -> {
                        httpPort = port;
                        ServerTls.reloadOnChange(vertx, callers.server(), settings.tls());
                        return operators.listen();
                    })
                    .compose(port -> {
                        operatorPort = port;
                        return Future.fromCompletionStage(
                                links.listen(peerAddress, LinkedPeers.handler(context, this::serve)), context);
                    })
                    .compose(address -> {
                        fleet = new Fleet(
                                settings,
                                host,
                                new Fleet.Ports(httpPort, address.getPort()),
                                clock,
                                c -> {},
                                news -> context.runOnContext(v -> heard(news)));
                        return Future.fromCompletionStage(fleet.start(settings), context);
                    })
                    .onSuccess(address -> opened())
                    .recover(e -> closeAll().transform(r -> Future.failedFuture(cannotListen(e))));
        }

        private void opened() {
            health.holds(Health.Condition.LISTENING);
            health.holds(Health.Condition.NOT_STOPPING);
            LOG.info("host: {} listens for callers at {}, operators at {}.", host, httpPort, operatorPort);
            vertx.setPeriodic(TICK_MS, t -> tick());
            vertx.setPeriodic(settings.backends().loadPollMs(), t -> sender.pollLoad());
            vertx.setPeriodic(settings.backends().cachePollMs(), t -> sender.pollCache());
            vertx.setPeriodic(SWEEP_MS, t -> sender.sweep(p -> owner.owns(p.slot()), owner::isLive));
            vertx.setPeriodic(HOST_LIST_MS, t -> readHostList());
            readHostList();
        }

        private void readHostList() {
            store.hosts(list -> {
                if (list.ok()) {
                    fleet.gossip().seed(Fleet.endpoints(list.hosts()));
                }
            });
        }

        private void tick() {
            health.beat();
            var members = fleet.members();
            metrics.hostsAlive(members.size());
            configurations.fleetSize(Math.max(1, members.size()));
            configurations.tick(clock.nowMs());
            // Without a configuration the customers' ceilings are not known, so nothing may be owned.
            if (!stop.begun() && configurations.inForce().isPresent()) {
                owner.tell(new Event.HostsSeen(fleet.owners()));
                health.holds(Health.Condition.JOINED);
            }
            owner.tell(new Event.Tick());
            sender.tick();
            metrics.slotsOwned(owner.slotsOwned());
            stop.tick();
        }

        private void inForce(AcceptedConfig config) {
            LOG.info("config: version {} of {} is in force: {}.", config.version(), config.actor(), config.reason());
            sender.configure(config.content());
            config.content()
                    .getCustomersList()
                    .forEach(c -> owner.tell(new Event.CeilingSet(
                            new CustomerId(c.getId()),
                            c.getCeilingTokens() > 0 ? c.getCeilingTokens() : Long.MAX_VALUE)));
            fleet.gossip().configInForce(config.version());
            metrics.config(config.version(), true);
            health.holds(Health.Condition.CONFIGURED);
        }

        private void heard(News news) {
            if (news.kind() == News.Kind.CONFIGURATION) {
                configurations.announced(news.version());
            } else if (news.kind() == News.Kind.BACKEND_LEAVING) {
                LOG.info("route: back end {} is leaving; it gets no new work.", news.subject());
                sender.leaving(new BackendServerId(news.subject()));
            }
        }

        private void fetchConfig(long version, Consumer<Optional<ByteString>> done) {
            var others = fleet.members().stream()
                    .filter(m -> !m.host().equals(host) && m.configVersion() >= version)
                    .toList();
            if (others.isEmpty()) {
                done.accept(Optional.empty());
                return;
            }
            HostId peer = others.get((int) Math.floorMod(clock.nowMs(), (long) others.size()))
                    .host();
            ByteString request = ByteString.copyFromUtf8(Long.toString(version));
            peers.send(
                    peer,
                    HostControl.CONFIG,
                    request,
                    clock.nowMs() + 1_000,
                    Responder.outcome(o -> done.accept(
                            o.isAnswer() && !o.answer().isEmpty() ? Optional.of(o.answer()) : Optional.empty())));
        }

        private Configuration configuration() {
            return configurations.inForce().map(AcceptedConfig::content).orElse(Configuration.getDefaultInstance());
        }

        private @Nullable Outcome refusal() {
            if (stop.refuses()) {
                return refused(ErrorCode.STOPPING, "This host is stopping; ask another with the same key.");
            }
            if (configurations.inForce().isEmpty()) {
                return refused(ErrorCode.STORE_UNAVAILABLE, "This host has no configuration yet.");
            }
            return null;
        }

        /** An earlier request with the same key may have run through another host: only its owner could deny that. */
        private Outcome refused(ErrorCode code, String message) {
            return Outcome.failed(code, RunState.UNKNOWN, REFUSED_RETRY_MS, message);
        }

        private Runnable serve(String method, ByteString request, Responder responder) {
            return method.equals(Peers.CALL) || method.equals(Peers.OWNER)
                    ? router.serve(method, request, responder)
                    : control.serve(method, request, responder);
        }

        private HostControl.View view() {
            return new HostControl.View(
                    host,
                    configurations,
                    store.table(),
                    router,
                    peers,
                    fleet,
                    owner,
                    sender,
                    () -> context.runOnContext(v -> stop.begin()));
        }

        private int underWay() {
            return callers.underWay() + sender.underWay();
        }

        private void deposed() {
            LOG.error("lease: {} lost its slots to another host and restarts.", host);
            closeAll()
                    .onComplete(r -> stopped.completeExceptionally(
                            new GatewayException(ErrorCode.NOT_OWNER, "This host was deposed; start it again.")));
        }

        private Future<Void> closeAll() {
            Optional.ofNullable(fleet).ifPresent(f -> f.gossip().close());
            links.close();
            return Future.join(callers.close(), operators.close(), backends.close())
                    .transform(r -> store.close())
                    .transform(r -> Optional.ofNullable(deployment)
                            .map(vertx::undeploy)
                            .orElse(Future.succeededFuture())
                            .mapEmpty());
        }

        /** What a graceful stop does, step by step. */
        private final class StopSteps implements GracefulStop.Steps {
            @Override
            public void notReady() {
                health.fails(Health.Condition.NOT_STOPPING, "a planned stop has begun");
                fleet.gossip().markStopping();
            }

            @Override
            public void handOver() {
                owner.tell(new Event.Draining());
            }

            @Override
            public boolean handedOver() {
                return owner.isDrained();
            }

            @Override
            public int underWay() {
                return Part.this.underWay() + links.openStreams();
            }

            @Override
            public void close() {
                Future.fromCompletionStage(fleet.gossip().leave(), context)
                        .transform(r -> closeAll())
                        .onComplete(r -> stopped.complete(null));
            }
        }
    }

    private static GatewayException cannotListen(Throwable cause) {
        String reason = String.valueOf(cause.getMessage());
        return new GatewayException(ErrorCode.INVALID_ARGUMENT, "Cannot listen: " + reason);
    }
}
