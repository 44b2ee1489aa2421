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

/** A deployment of stand-ins and daemons in this process, each daemon on its own ports. Methods block. */
public final class LocalDeployment implements AutoCloseable {
    /** The caller key of the deployment's only customer. */
    public static final String CALLER_KEY = "demo-caller-key";

    private static final String OPERATOR_KEY = "demo-operator-key";
    private static final long TIMEOUT_MS = 30_000;

    private final Vertx vertx;
    private final Standin standin;
    private final GrpcClient operatorClient;
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<Integer> gossipPorts;
    private final String extraSettings;

    private LocalDeployment(Vertx vertx, Standin standin, int daemonCount, String extraSettings) {
        this.vertx = vertx;
        this.standin = standin;
        this.operatorClient = GrpcClient.client(vertx);
        this.extraSettings = extraSettings;
        this.gossipPorts =
                IntStream.range(0, daemonCount).mapToObj(i -> FreePorts.next()).toList();
    }

    /**
     * Starts stand-ins and daemons and submits the first configuration.
     *
     * @param daemonCount the number of daemons
     * @param engineCount the number of stand-in engines, on free ports
     * @param extraSettings lines appended to each daemon's settings, for example another section
     * @return the deployment, once every daemon is ready
     */
    public static LocalDeployment start(int daemonCount, int engineCount, String extraSettings) {
        return start(daemonCount, StandinOptions.anyPorts(engineCount), extraSettings);
    }

    /**
     * Starts stand-ins and daemons and submits the first configuration.
     *
     * @param daemonCount the number of daemons
     * @param standins the options of the stand-ins
     * @param extraSettings lines appended to each daemon's settings, for example another section
     * @return the deployment, once every daemon is ready
     */
    public static LocalDeployment start(int daemonCount, StandinOptions standins, String extraSettings) {
        Vertx vertx = Vertx.vertx();
        Standin standin = await(Standin.start(vertx, standins));
        LocalDeployment deployment = new LocalDeployment(vertx, standin, daemonCount, extraSettings);
        IntStream.range(0, daemonCount).forEach(deployment::startDaemon);
        deployment.acceptConfig(DemoConfig.forStandin(standin), 0);
        deployment.waitUntilReady();
        return deployment;
    }

    /**
     * Starts a daemon at an index, in place of one that was stopped or killed before, if any.
     *
     * @param index the daemon's index, from 0; it sets the host's name and zone
     * @return the daemon, started
     */
    public Daemon startDaemon(int index) {
        Daemon daemon = await(Daemon.start(vertx, Settings.parse(settingsText(index))));
        if (index < daemons.size()) {
            daemons.set(index, daemon);
        } else {
            daemons.add(daemon);
        }
        return daemon;
    }

    /**
     * Returns the daemon at an index.
     *
     * @param index the daemon's index, from 0
     * @return the daemon most recently started at this index
     */
    public Daemon daemon(int index) {
        return daemons.get(index);
    }

    /**
     * Returns the stand-ins of this deployment.
     *
     * @return the store, the tool services and the engines
     */
    public Standin standin() {
        return standin;
    }

    /**
     * Returns the Vert.x instance that runs the daemons and the stand-ins.
     *
     * @return the instance, closed with this deployment
     */
    public Vertx vertx() {
        return vertx;
    }

    /**
     * Returns the base URIs at which callers reach the daemons.
     *
     * @return one URI for each daemon, in index order
     */
    public List<URI> hostUris() {
        return daemons.stream()
                .map(d -> URI.create("http://127.0.0.1:" + d.httpPort()))
                .toList();
    }

    /**
     * Returns the base URI of the tool services.
     *
     * @return the URI, the same for all services
     */
    public URI toolsUri() {
        return URI.create("http://127.0.0.1:" + standin.tools().port());
    }

    /**
     * Returns the base URIs of the engines.
     *
     * @return one URI for each engine, in index order
     */
    public List<URI> engineUris() {
        return standin.engines().stream()
                .map(e -> URI.create("http://127.0.0.1:" + e.port()))
                .toList();
    }

    /**
     * Submits a configuration to the first daemon.
     *
     * @param configuration the new configuration
     * @param seenVersion the version that the change is based on; 0 for the first configuration
     * @return the version of the accepted configuration
     * @throws GatewayException with code CONFLICT when {@code seenVersion} is not the newest version
     */
    public long acceptConfig(Configuration configuration, long seenVersion) {
        AcceptConfigRequest request = AcceptConfigRequest.newBuilder()
                .setConfiguration(configuration)
                .setSeenVersion(seenVersion)
                .setReason("demo")
                .build();
        AcceptConfigReply reply = callOperator(0, OperatorGrpcClient.AcceptConfig, request);
        if (reply.getConflict()) {
            throw new GatewayException(
                    ErrorCode.CONFLICT, "The configuration was not accepted: its base version is not the newest.");
        }
        return reply.getVersion();
    }

    /**
     * Returns the host list as one daemon reports it.
     *
     * @param index the index of the daemon that is queried
     * @return the hosts with their configuration versions and slot counts
     */
    public ListHostsReply listHosts(int index) {
        return callOperator(index, OperatorGrpcClient.ListHosts, ListHostsRequest.getDefaultInstance());
    }

    /**
     * Returns the configuration version that is active on each host.
     *
     * @param index the index of the daemon that is queried
     * @return the hosts with their active versions
     */
    public ConfigStatusReply configStatus(int index) {
        return callOperator(index, OperatorGrpcClient.ConfigStatus, ConfigStatusRequest.getDefaultInstance());
    }

    /** Waits until every daemon has an active configuration and every slot has an owner; fails after 30 s. */
    public void waitUntilReady() {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!isReady()) {
            if (System.nanoTime() > endNs) {
                throw new GatewayException(
                        ErrorCode.INTERNAL, "The daemons did not become ready in time; host list: " + listHosts(0));
            }
            pause(50);
        }
    }

    private boolean isReady() {
        var hosts = listHosts(0).getHostsList();
        boolean configured = hosts.stream().allMatch(h -> h.getConfigVersion() > 0);
        int ownedSlots = hosts.stream().mapToInt(h -> h.getSlots()).sum();
        return hosts.size() == daemons.size() && configured && ownedSlots == org.celerygw.core.id.Slot.COUNT;
    }

    /** Closes the Vert.x instance and with it all daemons and stand-ins, without a graceful stop. */
    @Override
    public void close() {
        await(vertx.close());
    }

    private <Q, R> R callOperator(int index, ServiceMethod<R, Q> method, Q message) {
        SocketAddress address =
                SocketAddress.inetSocketAddress(daemons.get(index).operatorPort(), "127.0.0.1");
        return await(operatorClient
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
            throw new GatewayException(ErrorCode.DEADLINE_EXCEEDED, "No response within " + TIMEOUT_MS + " ms.");
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

    private String settingsText(int index) {
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
