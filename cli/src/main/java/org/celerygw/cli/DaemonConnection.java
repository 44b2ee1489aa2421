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

/** A gRPC client for the operator port of one daemon; its methods block until the response is complete. */
final class DaemonConnection implements AutoCloseable {
    private static final long RESPONSE_TIMEOUT_MS = 40_000;
    private static final int CONNECT_TIMEOUT_MS = 5_000;

    private final Vertx vertx = Vertx.vertx();
    private final GrpcClient client;
    private final SocketAddress server;
    private final String operatorKey;

    /**
     * Creates a client; the connection is opened by the first request.
     *
     * @param server the address of the daemon as host:port
     * @param operatorKey the operator key, sent as a bearer token
     * @param tls whether to connect with TLS
     * @param authority a PEM file with the certificate authority to trust, or null for the default trust store
     */
    DaemonConnection(String server, String operatorKey, boolean tls, @Nullable String authority) {
        this.server = parseAddress(server);
        this.operatorKey = operatorKey;
        HttpClientOptions http = new HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MS)
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
     * Sends a unary request, without retries, and waits for the reply.
     *
     * @throws GatewayException with the error code and run state that the daemon returned
     * @throws UnreachableException when no reply was received
     */
    <Q, R> R call(ServiceMethod<R, Q> method, Q message) {
        GrpcClientResponse<Q, R> response = sendRequest(method, message);
        Future<Optional<R>> lastMessage =
                response.last().map(Optional::ofNullable).otherwise(Optional.empty());
        Optional<R> reply = lastMessage
                .compose(r -> response.end().otherwise((Void) null).map(r))
                .timeout(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .otherwise(Optional.empty())
                .await();
        if (response.status() != null && response.status() != GrpcStatus.OK) {
            throw toException(response);
        }
        return reply.orElseThrow(() -> outcomeUnknown("no reply received"));
    }

    /**
     * Sends a request for a server stream and reads the stream until it ends.
     *
     * @param onMessage called with each message, on an event loop thread
     */
    <Q, R> void stream(ServiceMethod<R, Q> method, Q message, Consumer<R> onMessage) {
        GrpcClientResponse<Q, R> response = sendRequest(method, message);
        response.handler(onMessage::accept);
        Future<Void> end = response.end();
        try {
            end.await();
        } catch (RuntimeException e) {
            throw outcomeUnknown("the stream ended before it was complete");
        }
        if (response.status() != GrpcStatus.OK) {
            throw toException(response);
        }
    }

    @Override
    public void close() {
        client.close().compose(v -> vertx.close()).await();
    }

    private <Q, R> GrpcClientResponse<Q, R> sendRequest(ServiceMethod<R, Q> method, Q message) {
        var request = client.request(server, method)
                .recover(e -> Future.failedFuture(new UnreachableException(
                        RunState.NOT_RUN, "no connection to " + server + ": " + e.getMessage())))
                .await();
        request.headers().set("authorization", "Bearer " + operatorKey);
        return request.send(message)
                .timeout(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .recover(e ->
                        Future.failedFuture(outcomeUnknown("no response received; the connection failed or timed out")))
                .await();
    }

    private UnreachableException outcomeUnknown(String failure) {
        return new UnreachableException(RunState.UNKNOWN, failure + "; server " + server);
    }

    private static GatewayException toException(GrpcClientResponse<?, ?> response) {
        MultiMap metadata = response.trailers().contains("celerygw-code") ? response.trailers() : response.headers();
        String message = Optional.ofNullable(response.statusMessage()).orElse("the daemon sent no error message");
        return new GatewayException(
                enumConstant(ErrorCode.values(), metadata.get("celerygw-code"), ErrorCode.INTERNAL),
                enumConstant(RunState.values(), metadata.get("celerygw-run-state"), RunState.UNKNOWN),
                Long.parseLong(Optional.ofNullable(metadata.get("celerygw-retry-after-ms"))
                        .orElse("0")),
                message);
    }

    private static <E extends Enum<E>> E enumConstant(E[] values, @Nullable String name, E defaultValue) {
        return Arrays.stream(values)
                .filter(value -> value.name().equals(name))
                .findFirst()
                .orElse(defaultValue);
    }

    private static SocketAddress parseAddress(String hostAndPort) {
        int colon = hostAndPort.lastIndexOf(':');
        Check.that(colon > 0 && hostAndPort.substring(colon + 1).matches("\\d{1,5}"), "--server must be host:port");
        int port = Integer.parseInt(hostAndPort.substring(colon + 1));
        Check.that(port > 0 && port <= 65_535, "--server must have a port from 1 to 65535");
        return SocketAddress.inetSocketAddress(port, hostAndPort.substring(0, colon));
    }
}
