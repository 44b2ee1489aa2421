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
import org.celerygw.core.config.ConfigManager;
import org.celerygw.core.config.ConfigSyncSettings;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.HostId;
import org.celerygw.core.membership.FactUpdate;
import org.celerygw.core.membership.MembershipKeys;
import org.celerygw.core.owner.Event;
import org.celerygw.core.owner.Owner;
import org.celerygw.core.routing.Dispatcher;
import org.celerygw.core.routing.DispatcherSettings;
import org.celerygw.core.time.Clock;
import org.celerygw.daemon.backend.BackendClient;
import org.celerygw.daemon.backend.BackendSettings;
import org.celerygw.daemon.entry.CallerServer;
import org.celerygw.daemon.health.Health;
import org.celerygw.daemon.metrics.Metrics;
import org.celerygw.daemon.operator.OperatorServer;
import org.celerygw.daemon.peer.PeerLinks;
import org.celerygw.daemon.peer.PeerSettings;
import org.celerygw.daemon.route.OwnerRouter;
import org.celerygw.daemon.route.PeerClient;
import org.celerygw.daemon.route.TcpPeerClient;
import org.celerygw.daemon.send.CallSender;
import org.celerygw.daemon.settings.Settings;
import org.celerygw.daemon.store.PlatformStore;
import org.celerygw.daemon.tls.ServerTls;
import org.celerygw.daemon.work.OwnerRunner;
import org.celerygw.daemon.work.Responder;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One daemon process: connects the core to sockets, timers and the clients of the platform's store.
 *
 * <pre>{@code
 * Daemon daemon = Daemon.start(vertx, Settings.load(path)).await();
 * daemon.stop();   // hands over its slots, waits for requests in flight, then closes
 * }</pre>
 */
public final class Daemon {
    private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
    private static final long TICK_INTERVAL_MS = 20;
    private static final long CACHE_RELEASE_INTERVAL_MS = 10_000;
    private static final long HOST_LIST_INTERVAL_MS = 5_000;
    private static final int REFUSAL_RETRY_AFTER_MS = 200;
    private static final long CONFIG_FETCH_TIMEOUT_MS = 1_000;

    private final Settings settings;
    private final Clock clock = System::currentTimeMillis;
    private final HostId host;
    private final Health health;
    private final Metrics metrics = new Metrics();
    private final DecisionFeed decisionFeed;
    private final DaemonVerticle verticle = new DaemonVerticle();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private @Nullable String deploymentId;

    private Daemon(Settings settings) {
        this.settings = settings;
        this.host = new HostId(settings.host().name() + "." + Long.toString(clock.nowMs(), 36) + "."
                + UUID.randomUUID().toString().substring(0, 8));
        this.health = new Health(clock);
        this.decisionFeed = new DecisionFeed(clock);
    }

    /**
     * Starts a daemon.
     *
     * @param vertx the Vert.x instance that the daemon is deployed on
     * @param settings the validated settings
     * @return the daemon once all its ports are open; fails with a {@link GatewayException} when a port cannot be
     *     bound
     */
    public static Future<Daemon> start(Vertx vertx, Settings settings) {
        Daemon daemon = new Daemon(settings);
        return vertx.deployVerticle(daemon.verticle).map(id -> {
            daemon.deploymentId = id;
            return daemon;
        });
    }

    /**
     * Returns the id of this incarnation of the host.
     *
     * @return the host id, which is different after each start
     */
    public HostId host() {
        return host;
    }

    /**
     * Returns the TCP port of the HTTP API for callers.
     *
     * @return the bound port, also when the settings leave the choice to the system
     */
    public int httpPort() {
        return verticle.httpPort;
    }

    /**
     * Returns the TCP port of the gRPC API for operators.
     *
     * @return the bound port, also when the settings leave the choice to the system
     */
    public int operatorPort() {
        return verticle.operatorPort;
    }

    /**
     * Returns the metrics of this daemon.
     *
     * @return the live metrics, updated while the daemon runs
     */
    public Metrics metrics() {
        return metrics;
    }

    /**
     * Stops gracefully: reports not ready, hands over its slots, waits for the requests in flight, then closes. A
     * second call has no further effect.
     *
     * @return completes when everything is closed
     */
    public Future<Void> stop() {
        verticle.context().runOnContext(v -> verticle.gracefulStop.begin());
        return Future.fromCompletionStage(stopped);
    }

    /**
     * Returns a future that completes when this daemon ends; the call does not request a stop.
     *
     * @return completes when everything is closed after a graceful stop; fails when another host took over its slots
     */
    public Future<Void> stopped() {
        return Future.fromCompletionStage(stopped);
    }

    /**
     * Returns how many requests an immediate exit would cut off.
     *
     * @return the caller requests in flight on this host plus its pending calls to backend servers
     */
    public int requestsInFlight() {
        return verticle.requestsInFlight();
    }

    /**
     * Ends the daemon immediately, as a crash would: slots are not handed over and callers get no response.
     *
     * @return completes when its sockets are closed
     */
    public Future<Void> kill() {
        Promise<Void> promise = Promise.promise();
        verticle.context().runOnContext(v -> {
            verticle.ownerRunner.kill();
            verticle.closeAll().onComplete(r -> promise.complete());
        });
        return promise.future();
    }

    /** The components of the daemon; all their methods run on its event loop. */
    private final class DaemonVerticle extends VerticleBase {
        private volatile int httpPort;
        private volatile int operatorPort;
        private PlatformStore store;
        private BackendClient backendClient;
        private CallSender sender;
        private OwnerRunner ownerRunner;
        private ConfigManager configManager;
        private PeerLinks peerLinks;
        private OwnerRouter router;
        private TcpPeerClient peerClient;
        private CallerServer callerServer;
        private OperatorServer operatorServer;
        private Fleet fleet;
        private HostOperatorApi operatorApi;
        private GracefulStop gracefulStop;

        Context context() {
            return context;
        }

        @Override
        public Future<?> start() {
            store = PlatformStore.connect(
                    vertx, settings.store().uri(), settings.store().timeoutMs());
            backendClient = BackendClient.open(
                    vertx,
                    clock,
                    BackendSettings.DEFAULT.withSilenceTimeoutMs(
                            settings.backends().silenceTimeoutMs()));
            sender = new CallSender(new CallSender.Dependencies(
                    host,
                    clock,
                    dispatcher(),
                    backendClient,
                    decisionFeed,
                    (delayMs, task) -> vertx.setTimer(Math.max(1, delayMs), t -> task.run())));
            ownerRunner = new OwnerRunner(new OwnerRunner.Dependencies(
                    context,
                    clock,
                    new Owner(host, settings.journal()),
                    store.table(),
                    store.objects(),
                    sender,
                    this::onFenced,
                    decisionFeed,
                    e -> metrics.tokensSpent(e.customer(), e.tokens())));
            peerLinks = new PeerLinks(
                    peerSettings(),
                    MembershipKeys.single(Fleet.toByteString(settings.peer().key())),
                    host,
                    settings.host().release(),
                    clock);
            peerClient = new TcpPeerClient(context, peerLinks, id -> fleet.peerAddress(id));
            router = new OwnerRouter(
                    ownerRunner, peerClient, clock, (delayMs, task) -> vertx.setTimer(delayMs, t -> task.run()));
            configManager = new ConfigManager(
                    ConfigSyncSettings.DEFAULTS,
                    store.table(),
                    this::fetchConfig,
                    () -> UUID.randomUUID().toString(),
                    RandomSource.XO_RO_SHI_RO_128_PP.create(),
                    this::onConfigActivated);
            operatorApi = new HostOperatorApi(this::operatorDependencies, settings, clock, decisionFeed);
            gracefulStop = new GracefulStop(vertx, settings.stop(), clock, new StopSteps());
            callerServer = new CallerServer(vertx, httpOptions(), callerDependencies());
            operatorServer = new OperatorServer(vertx, settings, operatorApi, clock, metrics);
            return openPorts();
        }

        private Dispatcher dispatcher() {
            return new Dispatcher(
                    DispatcherSettings.DEFAULT, settings.host().zone(), RandomSource.XO_RO_SHI_RO_128_PP.create());
        }

        private PeerSettings peerSettings() {
            PeerSettings defaults = PeerSettings.DEFAULTS;
            return new PeerSettings(
                    defaults.threads(),
                    defaults.connectTimeoutMs(),
                    settings.peer().heartbeatMs(),
                    settings.peer().silenceTimeoutMs(),
                    Math.max(defaults.maxFrameBytes(), settings.listen().maxBodyBytes() * 2),
                    defaults.windowBytes(),
                    defaults.maxQueuedBytes(),
                    defaults.maxStreams(),
                    defaults.maxPendingBytes());
        }

        private HttpServerOptions httpOptions() {
            HttpServerOptions options = new HttpServerOptions()
                    .setHost(settings.listen().address())
                    .setPort(settings.listen().httpPort())
                    .setMaxHeaderSize(settings.listen().maxHeaderBytes());
            return ServerTls.configureTls(vertx, options, settings.tls());
        }

        private CallerServer.Dependencies callerDependencies() {
            return new CallerServer.Dependencies(
                    clock,
                    router,
                    this::activeConfiguration,
                    health,
                    this::currentRefusal,
                    metrics,
                    gracefulStop::hasBegun,
                    settings.listen().maxBodyBytes(),
                    settings.listen().maxConnections());
        }

        private Future<?> openPorts() {
            InetSocketAddress peerAddress = new InetSocketAddress(
                    settings.listen().address(), settings.listen().peerPort());
            return callerServer
                    .listen()
                    .compose(port -> {
                        httpPort = port;
                        ServerTls.reloadOnChange(vertx, callerServer.server(), settings.tls());
                        return operatorServer.listen();
                    })
                    .compose(port -> {
                        operatorPort = port;
                        return Future.fromCompletionStage(
                                peerLinks.listen(peerAddress, TcpPeerClient.handler(context, this::servePeer)),
                                context);
                    })
                    .compose(address -> {
                        fleet = new Fleet(
                                settings,
                                host,
                                new Fleet.Ports(httpPort, address.getPort()),
                                clock,
                                memberChange -> {},
                                update -> context.runOnContext(v -> onFactUpdate(update)));
                        return Future.fromCompletionStage(fleet.start(settings), context);
                    })
                    .onSuccess(address -> onPortsOpen())
                    .recover(e -> closeAll().transform(r -> Future.failedFuture(listenFailure(e))));
        }

        private void onPortsOpen() {
            health.conditionMet(Health.Condition.LISTENING);
            health.conditionMet(Health.Condition.NOT_STOPPING);
            LOG.info(
                    "host: {} listens for callers on port {} and for operators on port {}.",
                    host,
                    httpPort,
                    operatorPort);
            vertx.setPeriodic(TICK_INTERVAL_MS, t -> tick());
            vertx.setPeriodic(settings.backends().loadPollMs(), t -> sender.pollLoad());
            vertx.setPeriodic(settings.backends().cachePollMs(), t -> sender.pollCacheEvents());
            vertx.setPeriodic(
                    CACHE_RELEASE_INTERVAL_MS,
                    t -> sender.releaseOrphaned(p -> ownerRunner.owns(p.slot()), ownerRunner::isOpen));
            vertx.setPeriodic(HOST_LIST_INTERVAL_MS, t -> refreshGossipSeeds());
            refreshGossipSeeds();
        }

        private void refreshGossipSeeds() {
            store.listHosts(list -> {
                if (list.ok()) {
                    fleet.gossip().setSeeds(Fleet.gossipEndpoints(list.hosts()));
                }
            });
        }

        private void tick() {
            health.recordHeartbeat();
            var members = fleet.members();
            metrics.setHostsAlive(members.size());
            configManager.setFleetSize(Math.max(1, members.size()));
            configManager.tick(clock.nowMs());
            // Without a configuration the token ceilings of customers are unknown,
            // so this host must not own slots yet.
            if (!gracefulStop.hasBegun() && configManager.activeConfig().isPresent()) {
                ownerRunner.handle(new Event.HostsUpdated(fleet.eligibleOwners()));
                health.conditionMet(Health.Condition.JOINED);
            }
            ownerRunner.handle(new Event.Tick());
            sender.tick();
            metrics.setSlotsOwned(ownerRunner.ownedSlotCount());
            gracefulStop.tick();
        }

        private void onConfigActivated(AcceptedConfig config) {
            LOG.info(
                    "config: version {} accepted by {} is now active: {}.",
                    config.version(),
                    config.actor(),
                    config.reason());
            sender.configure(config.content());
            config.content()
                    .getCustomersList()
                    .forEach(c -> ownerRunner.handle(new Event.CeilingUpdated(
                            new CustomerId(c.getId()),
                            c.getCeilingTokens() > 0 ? c.getCeilingTokens() : Long.MAX_VALUE)));
            fleet.gossip().setActiveConfigVersion(config.version());
            metrics.setConfig(config.version(), true);
            health.conditionMet(Health.Condition.CONFIGURED);
        }

        private void onFactUpdate(FactUpdate update) {
            if (update.kind() == FactUpdate.Kind.CONFIGURATION) {
                configManager.versionAnnounced(update.version());
            } else if (update.kind() == FactUpdate.Kind.BACKEND_LEAVING) {
                LOG.info("route: backend server {} is leaving; it receives no new calls.", update.subject());
                sender.engineLeaving(new BackendServerId(update.subject()));
            }
        }

        private void fetchConfig(long version, Consumer<Optional<ByteString>> callback) {
            var candidates = fleet.members().stream()
                    .filter(m -> !m.host().equals(host) && m.configVersion() >= version)
                    .toList();
            if (candidates.isEmpty()) {
                callback.accept(Optional.empty());
                return;
            }
            HostId peer = candidates
                    .get((int) Math.floorMod(clock.nowMs(), (long) candidates.size()))
                    .host();
            ByteString request = ByteString.copyFromUtf8(Long.toString(version));
            peerClient.send(
                    peer,
                    HostOperatorApi.CONFIG_METHOD,
                    request,
                    clock.nowMs() + CONFIG_FETCH_TIMEOUT_MS,
                    Responder.forOutcome(outcome -> callback.accept(
                            outcome.isAnswer() && !outcome.answer().isEmpty()
                                    ? Optional.of(outcome.answer())
                                    : Optional.empty())));
        }

        private Configuration activeConfiguration() {
            return configManager.activeConfig().map(AcceptedConfig::content).orElse(Configuration.getDefaultInstance());
        }

        private @Nullable Outcome currentRefusal() {
            if (gracefulStop.refusesRequests()) {
                return refusalOutcome(
                        ErrorCode.STOPPING,
                        "This host is stopping; retry at another host with the same idempotency key.");
            }
            if (configManager.activeConfig().isEmpty()) {
                return refusalOutcome(
                        ErrorCode.STORE_UNAVAILABLE, "This host has not loaded a configuration yet; retry later.");
            }
            return null;
        }

        /**
         * Returns a refusal with an unknown run state: a request with the same key may already have run through
         * another host, and only the owner of the program knows.
         */
        private Outcome refusalOutcome(ErrorCode code, String message) {
            return Outcome.failed(code, RunState.UNKNOWN, REFUSAL_RETRY_AFTER_MS, message);
        }

        private Runnable servePeer(String method, ByteString request, Responder responder) {
            return method.equals(PeerClient.CALL_METHOD) || method.equals(PeerClient.OWNER_METHOD)
                    ? router.serve(method, request, responder)
                    : operatorApi.servePeer(method, request, responder);
        }

        private HostOperatorApi.Dependencies operatorDependencies() {
            return new HostOperatorApi.Dependencies(
                    host,
                    configManager,
                    store.table(),
                    router,
                    peerClient,
                    fleet,
                    ownerRunner,
                    sender,
                    () -> context.runOnContext(v -> gracefulStop.begin()));
        }

        private int requestsInFlight() {
            return callerServer.requestsInFlight() + sender.pendingCalls();
        }

        private void onFenced() {
            LOG.error("lease: {} was fenced: another host took over its slots; stopping, to be restarted.", host);
            closeAll()
                    .onComplete(r -> stopped.completeExceptionally(new GatewayException(
                            ErrorCode.NOT_OWNER, "This host was fenced by another owner of its slots; restart it.")));
        }

        private Future<Void> closeAll() {
            Optional.ofNullable(fleet).ifPresent(f -> f.gossip().close());
            peerLinks.close();
            return Future.join(callerServer.close(), operatorServer.close(), backendClient.close())
                    .transform(r -> store.close())
                    .transform(r -> Optional.ofNullable(deploymentId)
                            .map(vertx::undeploy)
                            .orElse(Future.succeededFuture())
                            .mapEmpty());
        }

        /** Carries out the steps of a graceful stop on the components of this daemon. */
        private final class StopSteps implements GracefulStop.Steps {
            @Override
            public void reportNotReady() {
                health.conditionNotMet(Health.Condition.NOT_STOPPING, "a planned stop has begun");
                fleet.gossip().markStopping();
            }

            @Override
            public void startSlotHandover() {
                ownerRunner.handle(new Event.DrainRequested());
            }

            @Override
            public boolean isSlotHandoverComplete() {
                return ownerRunner.isDrained();
            }

            @Override
            public int requestsInFlight() {
                return DaemonVerticle.this.requestsInFlight() + peerLinks.openStreams();
            }

            @Override
            public long requestsReceived() {
                return callerServer.requestsReceived();
            }

            @Override
            public void endCalls() {
                callerServer.endCalls(refusalOutcome(
                        ErrorCode.STOPPING,
                        "This host has stopped; retry at another host with the same idempotency key."));
            }

            @Override
            public void close() {
                Future.fromCompletionStage(fleet.gossip().leave(), context)
                        .transform(r -> closeAll())
                        .onComplete(r -> stopped.complete(null));
            }
        }
    }

    private static GatewayException listenFailure(Throwable cause) {
        String reason = String.valueOf(cause.getMessage());
        return new GatewayException(ErrorCode.INVALID_ARGUMENT, "Cannot bind a port: " + reason);
    }
}
