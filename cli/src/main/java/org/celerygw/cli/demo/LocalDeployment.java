package org.celerygw.cli.demo;

import com.google.common.hash.Hashing;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.common.ServiceMethod;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.celerygw.api.gen.operator.AcceptConfigReply;
import org.celerygw.api.gen.operator.AcceptConfigRequest;
import org.celerygw.api.gen.operator.ConfigStatusReply;
import org.celerygw.api.gen.operator.ConfigStatusRequest;
import org.celerygw.api.gen.operator.ListHostsReply;
import org.celerygw.api.gen.operator.ListHostsRequest;
import org.celerygw.api.gen.operator.OperatorGrpcClient;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.daemon.Daemon;
import org.celerygw.daemon.settings.Settings;
import org.celerygw.standin.FreePorts;
import org.celerygw.standin.Standin;
import org.celerygw.standin.StandinOptions;

/** Stand-ins and daemons in this process, each daemon on ports of its own. Its methods block. */
public final class LocalDeployment implements AutoCloseable {
    /** The key of the deployment's only customer. */
    public static final String CALLER_KEY = "demo-caller-key";

    private static final String OPERATOR_KEY = "demo-operator-key";
    private static final long TIMEOUT_MS = 30_000;

    private final Vertx vertx;
    private final Standin standin;
    private final GrpcClient operators;
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<Integer> gossipPorts;
    private final String extraSettings;

    private LocalDeployment(Vertx vertx, Standin standin, int daemonCount, String extraSettings) {
        this.vertx = vertx;
        this.standin = standin;
        this.operators = GrpcClient.client(vertx);
        this.extraSettings = extraSettings;
        this.gossipPorts =
                IntStream.range(0, daemonCount).mapToObj(i -> FreePorts.next()).toList();
    }

    /**
     * Starts stand-ins and daemons and accepts a first configuration.
     *
     * @param daemonCount how many daemons
     * @param engineCount how many engines
     * @param extraSettings lines added to each daemon's settings, for example a section of its own
     * @return the deployment, once every daemon is ready
     */
    public static LocalDeployment start(int daemonCount, int engineCount, String extraSettings) {
        return start(daemonCount, StandinOptions.anyPorts(engineCount), extraSettings);
    }

    /**
     * Starts stand-ins and daemons and accepts a first configuration.
     *
     * @param daemonCount how many daemons
     * @param standins which stand-ins
     * @param extraSettings lines added to each daemon's settings, for example a section of its own
     * @return the deployment, once every daemon is ready
     */
    public static LocalDeployment start(int daemonCount, StandinOptions standins, String extraSettings) {
        Vertx vertx = Vertx.vertx();
        Standin standin = await(Standin.start(vertx, standins));
        LocalDeployment deployment = new LocalDeployment(vertx, standin, daemonCount, extraSettings);
        IntStream.range(0, daemonCount).forEach(deployment::startDaemon);
        deployment.accept(DemoConfig.of(standin), 0);
        deployment.waitUntilReady();
        return deployment;
    }

    /**
     * Starts a daemon with the place of one that is gone.
     *
     * @param index its place, from 0
     * @return the daemon
     */
    public Daemon startDaemon(int index) {
        Daemon daemon = await(Daemon.start(vertx, Settings.parse(settings(index))));
        if (index < daemons.size()) {
            daemons.set(index, daemon);
        } else {
            daemons.add(daemon);
        }
        return daemon;
    }

    /**
     * Returns a daemon.
     *
     * @param index its place, from 0
     * @return the daemon started last at this place
     */
    public Daemon daemon(int index) {
        return daemons.get(index);
    }

    /**
     * Returns the stand-ins.
     *
     * @return the stand-ins
     */
    public Standin standin() {
        return standin;
    }

    /**
     * Returns the Vert.x instance that runs everything.
     *
     * @return the instance
     */
    public Vertx vertx() {
        return vertx;
    }

    /**
     * Returns where callers reach the daemons.
     *
     * @return an address for each daemon
     */
    public List<URI> hosts() {
        return daemons.stream()
                .map(d -> URI.create("http://127.0.0.1:" + d.httpPort()))
                .toList();
    }

    /**
     * Returns where the tool services listen.
     *
     * @return their address
     */
    public URI toolsUri() {
        return URI.create("http://127.0.0.1:" + standin.tools().port());
    }

    /**
     * Returns where the engines listen.
     *
     * @return an address for each engine
     */
    public List<URI> engineUris() {
        return standin.engines().stream()
                .map(e -> URI.create("http://127.0.0.1:" + e.port()))
                .toList();
    }

    /**
     * Accepts a configuration through the first daemon.
     *
     * @param configuration the content
     * @param seenVersion the version it changes
     * @return the new version
     * @throws GatewayException with code CONFLICT when another version is the newest
     */
    public long accept(Configuration configuration, long seenVersion) {
        AcceptConfigRequest request = AcceptConfigRequest.newBuilder()
                .setConfiguration(configuration)
                .setSeenVersion(seenVersion)
                .setReason("demo")
                .build();
        AcceptConfigReply reply = operate(0, OperatorGrpcClient.AcceptConfig, request);
        if (reply.getConflict()) {
            throw new GatewayException(ErrorCode.CONFLICT, "Another configuration was accepted first.");
        }
        return reply.getVersion();
    }

    /**
     * Returns the hosts as one daemon sees them.
     *
     * @param index the daemon that is asked
     * @return the hosts
     */
    public ListHostsReply listHosts(int index) {
        return operate(index, OperatorGrpcClient.ListHosts, ListHostsRequest.getDefaultInstance());
    }

    /**
     * Returns which configuration each host has in force.
     *
     * @param index the daemon that is asked
     * @return the hosts
     */
    public ConfigStatusReply configStatus(int index) {
        return operate(index, OperatorGrpcClient.ConfigStatus, ConfigStatusRequest.getDefaultInstance());
    }

    /** Waits until every daemon has the first configuration and all slots have owners. */
    public void waitUntilReady() {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!isReady()) {
            if (System.nanoTime() > endNs) {
                throw new GatewayException(ErrorCode.INTERNAL, "The daemons did not become ready: " + listHosts(0));
            }
            pause(50);
        }
    }

    private boolean isReady() {
        var hosts = listHosts(0).getHostsList();
        boolean configured = hosts.stream().allMatch(h -> h.getConfigVersion() > 0);
        int slots = hosts.stream().mapToInt(h -> h.getSlots()).sum();
        return hosts.size() == daemons.size() && configured && slots == org.celerygw.core.id.Slot.COUNT;
    }

    /** Stops everything at once. */
    @Override
    public void close() {
        await(vertx.close());
    }

    private <Q, R> R operate(int index, ServiceMethod<R, Q> method, Q message) {
        SocketAddress address =
                SocketAddress.inetSocketAddress(daemons.get(index).operatorPort(), "127.0.0.1");
        return await(operators
                .request(address, method)
                .compose(request -> {
                    request.headers().set("authorization", "Bearer " + OPERATOR_KEY);
                    return request.send(message);
                })
                .compose(response -> response.last()));
    }

    static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof GatewayException g) {
                throw g;
            }
            throw new GatewayException(ErrorCode.INTERNAL, String.valueOf(e.getCause()));
        } catch (TimeoutException e) {
            throw new GatewayException(ErrorCode.DEADLINE_EXCEEDED, "No answer within " + TIMEOUT_MS + " ms.");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new GatewayException(ErrorCode.CANCELLED, "Interrupted.");
        }
    }

    static void pause(long pauseMs) {
        try {
            Thread.sleep(pauseMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String settings(int index) {
        String seeds = gossipPorts.stream().map(p -> "127.0.0.1:" + p).collect(Collectors.joining(", "));
        String hash = Hashing.sha256()
                .hashString(OPERATOR_KEY, StandardCharsets.UTF_8)
                .toString();
        return String.join(
                "\n",
                "[host]",
                "name = entry-" + (index + 1),
                "zone = zone-" + (char) ('a' + index % 3),
                "release = demo",
                "[listen]",
                "address = 127.0.0.1",
                "http-port = " + FreePorts.next(),
                "operator-port = " + FreePorts.next(),
                "peer-port = " + FreePorts.next(),
                "gossip-port = " + gossipPorts.get(index),
                "[advertise]",
                "address = 127.0.0.1",
                "[store]",
                "uri = " + standin.store().uri(),
                "[gossip]",
                "seeds = " + seeds,
                "keys = 1:demo-gossip-key-0123",
                "send-key = 1",
                "probe-interval = 300ms",
                "suspicion = 1s",
                "[peer]",
                "key = demo-peer-key-01234567",
                "[operators]",
                "demo = operator:" + hash,
                extraSettings,
                "");
    }
}
