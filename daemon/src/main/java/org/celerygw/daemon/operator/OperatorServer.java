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
 * The gRPC port for operators and the monitor. A change is recorded before it begins and again with its result; one
 * that cannot be recorded does not run.
 */
public final class OperatorServer {
    /** The largest request and reply. */
    public static final int MAX_MESSAGE_BYTES = 16 << 20;

    private static final Logger LOG = LoggerFactory.getLogger(OperatorServer.class);
    private static final long ANSWER_LIMIT_MS = 30_000;

    private final Vertx vertx;
    private final Settings settings;
    private final Control control;
    private final Clock clock;
    private final Metrics metrics;
    private final OperatorKeys keys;
    private final HttpServer server;

    /**
     * Makes a server that does not listen yet.
     *
     * @param vertx runs the server
     * @param settings gives the address, the operators and TLS
     * @param control does what operators ask for
     * @param clock tells when they asked
     * @param metrics counts their actions
     */
    public OperatorServer(Vertx vertx, Settings settings, Control control, Clock clock, Metrics metrics) {
        this.vertx = vertx;
        this.settings = settings;
        this.control = control;
        this.clock = clock;
        this.metrics = metrics;
        this.keys = new OperatorKeys(settings.operators());
        this.server = vertx.createHttpServer(ServerTls.secure(vertx, new HttpServerOptions(), settings.tls()));
    }

    /**
     * Starts to listen.
     *
     * @return the port in use; fails when the port is taken
     */
    public Future<Integer> listen() {
        GrpcServer grpc = GrpcServer.server(vertx, new GrpcServerOptions().setMaxMessageSize(MAX_MESSAGE_BYTES));
        RpcTable.of(control).forEach(rpc -> bind(grpc, rpc));
        grpc.callHandler(OperatorGrpcService.Watch, this::watch);
        return server.requestHandler(grpc)
                .listen(settings.listen().operatorPort(), settings.listen().address())
                .map(HttpServer::actualPort)
                .onSuccess(port -> ServerTls.reloadOnChange(vertx, server, settings.tls()));
    }

    /**
     * Stops listening and closes every connection.
     *
     * @return completes when all are closed
     */
    public Future<Void> close() {
        return server.close();
    }

    private <Q, R> void bind(GrpcServer grpc, Rpc<Q, R> rpc) {
        grpc.callHandler(rpc.method(), request -> request.last()
                .compose(message -> answer(rpc, request, message))
                .onSuccess(reply -> request.response().end(reply).onFailure(this::logLostAnswer))
                .onFailure(e -> refuse(request, e)));
    }

    private <Q, R> Future<R> answer(Rpc<Q, R> rpc, GrpcServerRequest<Q, R> request, Q message) {
        if (message == null) {
            return Future.failedFuture(new GatewayException(ErrorCode.INVALID_ARGUMENT, "the request is empty"));
        }
        Settings.Operator operator = keys.authenticate(request.headers().get("authorization"));
        if (!rpc.changes()) {
            return limited(rpc.run().apply(new Actor(operator.name()), message), RunState.NOT_RUN);
        }
        if (operator.role() != Settings.Role.OPERATOR) {
            String text = "the role of " + operator.name() + " is to read only";
            return Future.failedFuture(new GatewayException(ErrorCode.PERMISSION_DENIED, text));
        }
        return change(rpc, new Actor(operator.name()), message);
    }

    private <Q, R> Future<R> change(Rpc<Q, R> rpc, Actor actor, Q message) {
        Action asked = Action.newBuilder()
                .setId(UUID.randomUUID().toString())
                .setAtMs(clock.nowMs())
                .setActor(actor.name())
                .setAction(rpc.method().methodName())
                .setDetail(rpc.describe().apply(message))
                .setConfigVersion(control.configVersion())
                .setResult("asked")
                .build();
        LOG.info("operator: {} asks for {}: {}.", actor, asked.getAction(), asked.getDetail());
        return limited(control.record(asked), RunState.NOT_RUN)
                .recover(e -> Future.failedFuture(notRecorded()))
                .compose(v -> limited(rpc.run().apply(actor, message), RunState.UNKNOWN))
                .onComplete(done -> recordResult(asked, resultOf(done)));
    }

    private void recordResult(Action asked, String result) {
        LOG.info("operator: {} of {} ended: {}.", asked.getAction(), asked.getActor(), result);
        metrics.operatorAction(asked.getAction(), result);
        control.record(asked.toBuilder()
                        .setAtMs(clock.nowMs())
                        .setResult(result)
                        .build())
                .onFailure(e -> LOG.warn("operator: the result of action {} was not recorded.", asked.getId()));
    }

    private void watch(GrpcServerRequest<WatchRequest, WatchEvent> request) {
        request.last()
                .onSuccess(message -> {
                    try {
                        keys.authenticate(request.headers().get("authorization"));
                        WatchStream.start(request, message, control, vertx.getOrCreateContext());
                    } catch (GatewayException e) {
                        refuse(request, e);
                    }
                })
                .onFailure(e -> refuse(request, e));
    }

    private void refuse(GrpcServerRequest<?, ?> request, Throwable cause) {
        GatewayException failure = Status.typed(cause, RunState.UNKNOWN);
        if (failure.code() == ErrorCode.INTERNAL) {
            LOG.error("operator: {} failed.", request.methodName(), cause);
        } else {
            LOG.info("operator: {} is refused: {}: {}.", request.methodName(), failure.code(), failure.getMessage());
        }
        Status.send(request.response(), failure);
    }

    private void logLostAnswer(Throwable cause) {
        LOG.info("operator: an answer could not be sent: {}.", cause.getMessage());
    }

    private static GatewayException notRecorded() {
        return new GatewayException(
                ErrorCode.STORE_UNAVAILABLE,
                RunState.NOT_RUN,
                1_000,
                "the action cannot be recorded, so it did not run");
    }

    private static String resultOf(AsyncResult<?> done) {
        if (done.failed()) {
            return Status.typed(done.cause(), RunState.UNKNOWN).code().name();
        }
        boolean conflict = done.result() instanceof AcceptConfigReply reply && reply.getConflict();
        return conflict ? ErrorCode.CONFLICT.name() : "done";
    }

    private static <T> Future<T> limited(Future<T> future, RunState afterLimit) {
        return future.timeout(ANSWER_LIMIT_MS, TimeUnit.MILLISECONDS)
                .recover(e -> Future.failedFuture(
                        e instanceof TimeoutException
                                ? new GatewayException(
                                        ErrorCode.DEADLINE_EXCEEDED,
                                        afterLimit,
                                        0,
                                        "no result in " + ANSWER_LIMIT_MS + " ms")
                                : e));
    }
}
