package org.celerygw.cli;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.client.GrpcClientOptions;
import io.vertx.grpc.client.GrpcClientResponse;
import io.vertx.grpc.common.GrpcStatus;
import io.vertx.grpc.common.ServiceMethod;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;
import org.celerygw.core.helper.Check;
import org.celerygw.daemon.operator.OperatorServer;
import org.jspecify.annotations.Nullable;

/** A connection to one daemon's operators' port; its methods wait for the answer. */
final class Connection implements AutoCloseable {
    private static final long ANSWER_LIMIT_MS = 40_000;
    private static final int CONNECT_LIMIT_MS = 5_000;

    private final Vertx vertx = Vertx.vertx();
    private final GrpcClient client;
    private final SocketAddress server;
    private final String key;

    /**
     * Prepares a connection.
     *
     * @param server the daemon as host:port
     * @param key the operator's key
     * @param tls whether to use TLS
     * @param authority a PEM file with the certificate authority to trust, or null for the usual ones
     */
    Connection(String server, String key, boolean tls, @Nullable String authority) {
        this.server = address(server);
        this.key = key;
        HttpClientOptions http = new HttpClientOptions()
                .setConnectTimeout(CONNECT_LIMIT_MS)
                .setProtocolVersion(HttpVersion.HTTP_2)
                .setSsl(tls)
                .setUseAlpn(tls);
        if (authority != null) {
            http.setTrustOptions(new PemTrustOptions().addCertPath(authority));
        }
        GrpcClientOptions grpc = new GrpcClientOptions().setMaxMessageSize(OperatorServer.MAX_MESSAGE_BYTES);
        this.client = GrpcClient.client(vertx, grpc, http);
    }

    /**
     * Asks once and waits for the answer.
     *
     * @throws GatewayException with the daemon's typed failure
     * @throws UnreachableException when there was no answer
     */
    <Q, R> R call(ServiceMethod<R, Q> method, Q message) {
        GrpcClientResponse<Q, R> response = open(method, message);
        Future<Optional<R>> answer = response.last().map(Optional::ofNullable).otherwise(Optional.empty());
        Optional<R> reply = answer.compose(
                        r -> response.end().otherwise((Void) null).map(r))
                .timeout(ANSWER_LIMIT_MS, TimeUnit.MILLISECONDS)
                .otherwise(Optional.empty())
                .await();
        if (response.status() != null && response.status() != GrpcStatus.OK) {
            throw failure(response);
        }
        return reply.orElseThrow(() -> lost("the answer did not arrive"));
    }

    /**
     * Reads a stream until it ends.
     *
     * @param each given every message, on another thread
     */
    <Q, R> void stream(ServiceMethod<R, Q> method, Q message, Consumer<R> each) {
        GrpcClientResponse<Q, R> response = open(method, message);
        response.handler(each::accept);
        Future<Void> end = response.end();
        try {
            end.await();
        } catch (RuntimeException e) {
            throw lost("the stream broke off");
        }
        if (response.status() != GrpcStatus.OK) {
            throw failure(response);
        }
    }

    @Override
    public void close() {
        client.close().compose(v -> vertx.close()).await();
    }

    private <Q, R> GrpcClientResponse<Q, R> open(ServiceMethod<R, Q> method, Q message) {
        var request = client.request(server, method)
                .recover(e -> Future.failedFuture(new UnreachableException(
                        RunState.NOT_RUN, "no connection to " + server + ": " + e.getMessage())))
                .await();
        request.headers().set("authorization", "Bearer " + key);
        return request.send(message)
                .timeout(ANSWER_LIMIT_MS, TimeUnit.MILLISECONDS)
                .recover(e -> Future.failedFuture(lost("the connection broke")))
                .await();
    }

    private UnreachableException lost(String what) {
        return new UnreachableException(RunState.UNKNOWN, what + " from " + server);
    }

    private static GatewayException failure(GrpcClientResponse<?, ?> response) {
        MultiMap fields = response.trailers().contains("celerygw-code") ? response.trailers() : response.headers();
        String message = Optional.ofNullable(response.statusMessage()).orElse("the daemon gave no reason");
        return new GatewayException(
                constant(ErrorCode.values(), fields.get("celerygw-code"), ErrorCode.INTERNAL),
                constant(RunState.values(), fields.get("celerygw-run-state"), RunState.UNKNOWN),
                Long.parseLong(Optional.ofNullable(fields.get("celerygw-retry-after-ms"))
                        .orElse("0")),
                message);
    }

    private static <E extends Enum<E>> E constant(E[] values, @Nullable String name, E otherwise) {
        return Arrays.stream(values)
                .filter(value -> value.name().equals(name))
                .findFirst()
                .orElse(otherwise);
    }

    private static SocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        Check.that(colon > 0 && text.substring(colon + 1).matches("\\d{1,5}"), "--server must be host:port");
        int port = Integer.parseInt(text.substring(colon + 1));
        Check.that(port > 0 && port <= 65_535, "--server has a port outside 1 to 65535");
        return SocketAddress.inetSocketAddress(port, text.substring(0, colon));
    }
}
