package org.celerygw.daemon.operator;

import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.grpc.server.GrpcServer;
import io.vertx.grpc.server.GrpcServerOptions;
import io.vertx.grpc.server.GrpcServerRequest;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.celerygw.api.gen.operator.AcceptConfigReply;
import org.celerygw.api.gen.operator.Action;
import org.celerygw.api.gen.operator.OperatorGrpcService;
import org.celerygw.api.gen.operator.WatchEvent;
import org.celerygw.api.gen.operator.WatchRequest;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;
import org.celerygw.core.time.Clock;
import org.celerygw.daemon.metrics.Metrics;
import org.celerygw.daemon.settings.Settings;
import org.celerygw.daemon.tls.ServerTls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The gRPC server for operators and the monitor. Each change is written to the audit log before it runs and again with
 * its result; a change that cannot be recorded does not run.
 */
public final class OperatorServer {
    /** Maximum size of a request or reply message. */
    public static final int MAX_MESSAGE_BYTES = 16 << 20;

    private static final Logger LOG = LoggerFactory.getLogger(OperatorServer.class);
    private static final long RPC_TIMEOUT_MS = 30_000;
    private static final int RECORDING_RETRY_AFTER_MS = 1_000;

    private final Vertx vertx;
    private final Settings settings;
    private final OperatorApi operatorApi;
    private final Clock clock;
    private final Metrics metrics;
    private final OperatorKeys keys;
    private final HttpServer server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx the Vert.x instance that runs the server
     * @param settings the listen address, the operators with their keys, and TLS
     * @param operatorApi carries out the requests
     * @param clock the time source of the audit log
     * @param metrics counts the completed changes by action and result
     */
    public OperatorServer(Vertx vertx, Settings settings, OperatorApi operatorApi, Clock clock, Metrics metrics) {
        this.vertx = vertx;
        this.settings = settings;
        this.operatorApi = operatorApi;
        this.clock = clock;
        this.metrics = metrics;
        this.keys = new OperatorKeys(settings.operators());
        this.server = vertx.createHttpServer(ServerTls.configureTls(vertx, new HttpServerOptions(), settings.tls()));
    }

    /**
     * Starts to listen.
     *
     * @return the bound port; fails when the port is already in use
     */
    public Future<Integer> listen() {
        GrpcServer grpc = GrpcServer.server(vertx, new GrpcServerOptions().setMaxMessageSize(MAX_MESSAGE_BYTES));
        RpcTable.definitions(operatorApi).forEach(rpc -> bind(grpc, rpc));
        grpc.callHandler(OperatorGrpcService.Watch, this::watch);
        return server.requestHandler(grpc)
                .listen(settings.listen().operatorPort(), settings.listen().address())
                .map(HttpServer::actualPort)
                .onSuccess(port -> ServerTls.reloadOnChange(vertx, server, settings.tls()));
    }

    /**
     * Stops listening and closes every connection.
     *
     * @return completes when all connections are closed
     */
    public Future<Void> close() {
        return server.close();
    }

    private <Q, R> void bind(GrpcServer grpc, RpcDefinition<Q, R> rpc) {
        grpc.callHandler(rpc.method(), request -> request.last()
                .compose(message -> handle(rpc, request, message))
                .onSuccess(reply -> request.response().end(reply).onFailure(this::logUnsentReply))
                .onFailure(e -> sendFailure(request, e)));
    }

    private <Q, R> Future<R> handle(RpcDefinition<Q, R> rpc, GrpcServerRequest<Q, R> request, Q message) {
        if (message == null) {
            return Future.failedFuture(new GatewayException(ErrorCode.INVALID_ARGUMENT, "the request is empty"));
        }
        Settings.Operator operator = keys.authenticate(request.headers().get("authorization"));
        if (!rpc.changesState()) {
            return withTimeout(rpc.handler().apply(new Actor(operator.name()), message), RunState.NOT_RUN);
        }
        if (operator.role() != Settings.Role.OPERATOR) {
            String errorMessage = "the role of " + operator.name() + " is read-only";
            return Future.failedFuture(new GatewayException(ErrorCode.PERMISSION_DENIED, errorMessage));
        }
        return runChange(rpc, new Actor(operator.name()), message);
    }

    private <Q, R> Future<R> runChange(RpcDefinition<Q, R> rpc, Actor actor, Q message) {
        Action action = Action.newBuilder()
                .setId(UUID.randomUUID().toString())
                .setAtMs(clock.nowMs())
                .setActor(actor.name())
                .setAction(rpc.method().methodName())
                .setDetail(rpc.describeRequest().apply(message))
                .setConfigVersion(operatorApi.configVersion())
                .setResult("asked")
                .build();
        LOG.info("operator: {} requested {}: {}.", actor, action.getAction(), action.getDetail());
        return withTimeout(operatorApi.recordAction(action), RunState.NOT_RUN)
                .recover(e -> Future.failedFuture(recordingFailure()))
                .compose(v -> withTimeout(rpc.handler().apply(actor, message), RunState.UNKNOWN))
                .onComplete(outcome -> recordResult(action, resultOf(outcome)));
    }

    private void recordResult(Action action, String result) {
        LOG.info("operator: {} by {} completed with result {}.", action.getAction(), action.getActor(), result);
        metrics.operatorActionCompleted(action.getAction(), result);
        operatorApi
                .recordAction(action.toBuilder()
                        .setAtMs(clock.nowMs())
                        .setResult(result)
                        .build())
                .onFailure(e -> LOG.warn(
                        "operator: the result of action {} could not be written to the audit log.", action.getId()));
    }

    private void watch(GrpcServerRequest<WatchRequest, WatchEvent> request) {
        request.last()
                .onSuccess(message -> {
                    try {
                        keys.authenticate(request.headers().get("authorization"));
                        WatchStream.start(request, message, operatorApi, vertx.getOrCreateContext());
                    } catch (GatewayException e) {
                        sendFailure(request, e);
                    }
                })
                .onFailure(e -> sendFailure(request, e));
    }

    private void sendFailure(GrpcServerRequest<?, ?> request, Throwable cause) {
        GatewayException failure = GrpcErrors.toGatewayException(cause, RunState.UNKNOWN);
        if (failure.code() == ErrorCode.INTERNAL) {
            LOG.error("operator: {} failed with an internal error.", request.methodName(), cause);
        } else {
            LOG.info("operator: {} was refused: {}: {}.", request.methodName(), failure.code(), failure.getMessage());
        }
        GrpcErrors.send(request.response(), failure);
    }

    private void logUnsentReply(Throwable cause) {
        LOG.info("operator: a reply could not be sent: {}.", cause.getMessage());
    }

    private static GatewayException recordingFailure() {
        return new GatewayException(
                ErrorCode.STORE_UNAVAILABLE,
                RunState.NOT_RUN,
                RECORDING_RETRY_AFTER_MS,
                "the change could not be written to the audit log and was not run");
    }

    private static String resultOf(AsyncResult<?> outcome) {
        if (outcome.failed()) {
            return GrpcErrors.toGatewayException(outcome.cause(), RunState.UNKNOWN)
                    .code()
                    .name();
        }
        boolean conflict = outcome.result() instanceof AcceptConfigReply reply && reply.getConflict();
        return conflict ? ErrorCode.CONFLICT.name() : "done";
    }

    private static <T> Future<T> withTimeout(Future<T> future, RunState runStateOnTimeout) {
        return future.timeout(RPC_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .recover(e -> Future.failedFuture(
                        e instanceof TimeoutException
                                ? new GatewayException(
                                        ErrorCode.DEADLINE_EXCEEDED,
                                        runStateOnTimeout,
                                        0,
                                        "no result within " + RPC_TIMEOUT_MS + " ms")
                                : e));
    }
}
