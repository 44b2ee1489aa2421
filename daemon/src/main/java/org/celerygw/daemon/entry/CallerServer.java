package org.celerygw.daemon.entry;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.celerygw.api.gen.owner.Create;
import org.celerygw.api.gen.owner.EndProgram;
import org.celerygw.api.gen.owner.Explain;
import org.celerygw.api.gen.owner.OwnerRequest;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.helper.Check;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.time.Clock;
import org.celerygw.daemon.health.Health;
import org.celerygw.daemon.metrics.Metrics;
import org.celerygw.daemon.work.Responder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves callers over HTTP: programs, model calls, tool calls, health and metrics. */
public final class CallerServer {
    private static final Logger LOG = LoggerFactory.getLogger(CallerServer.class);
    private static final long ASK_TIMEOUT_MS = 10_000;
    private static final String RESUME_BYTES = "Celery-Resume-Bytes";

    private final Parts parts;
    private final AtomicInteger underWay = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();
    private final HttpServer server;
    private Configuration keysOf = Configuration.getDefaultInstance();
    private CallerKeys keys = new CallerKeys(keysOf);

    /**
     * What the server works with.
     *
     * @param clock the time
     * @param programs reaches the owners of programs
     * @param configuration the configuration in force
     * @param health answers the health and ready endpoints
     * @param refusal why work is refused now, or null when it is not
     * @param metrics counts calls and gives the metrics page
     * @param leaving whether a planned stop has begun
     * @param maxBodyBytes the largest body taken
     * @param maxConnections the most connections at once; further ones are closed
     */
    public record Parts(
            Clock clock,
            Programs programs,
            Supplier<Configuration> configuration,
            Health health,
            Supplier<@org.jspecify.annotations.Nullable Outcome> refusal,
            Metrics metrics,
            BooleanSupplier leaving,
            long maxBodyBytes,
            int maxConnections) {}

    /**
     * Makes a server; {@link #listen} starts it.
     *
     * @param vertx the Vert.x instance
     * @param options where and how to listen
     * @param parts what it works with
     */
    public CallerServer(Vertx vertx, HttpServerOptions options, Parts parts) {
        this.parts = parts;
        this.server =
                vertx.createHttpServer(options).requestHandler(routes(vertx)).connectionHandler(this::connected);
    }

    private void connected(HttpConnection connection) {
        if (connections.incrementAndGet() > parts.maxConnections()) {
            connection.close();
        }
        connection.closeHandler(v -> connections.decrementAndGet());
    }

    /**
     * Returns the server, for the reload of its certificate.
     *
     * @return the server
     */
    public HttpServer server() {
        return server;
    }

    /**
     * Starts to listen.
     *
     * @return the port, once it listens
     */
    public Future<Integer> listen() {
        return server.listen().map(HttpServer::actualPort);
    }

    /**
     * Returns how many requests are being answered.
     *
     * @return the number
     */
    public int underWay() {
        return underWay.get();
    }

    /**
     * Stops to listen and closes all connections.
     *
     * @return ends when it is closed
     */
    public Future<Void> close() {
        return server.close();
    }

    private Router routes(Vertx vertx) {
        Router router = Router.router(vertx);
        router.get("/health").handler(c -> report(c, parts.health().alive()));
        router.get("/ready").handler(c -> report(c, parts.health().ready()));
        router.get("/metrics").handler(c -> c.response()
                .putHeader("Content-Type", Metrics.CONTENT_TYPE)
                .end(parts.metrics().text()));
        router.route("/v1/*").handler(this::count);
        router.route("/v1/*").handler(BodyHandler.create(false).setBodyLimit(parts.maxBodyBytes()));
        router.post("/v1/chat/completions").handler(guard(this::model));
        router.post("/v1/tools/:service/*").handler(guard(this::tool));
        router.post("/v1/programs").handler(guard(this::create));
        router.postWithRegex("/v1/programs/(?<id>.+)/end").handler(guard((c, who) -> end(c, who, false)));
        router.deleteWithRegex("/v1/programs/(?<id>.+)").handler(guard((c, who) -> end(c, who, true)));
        router.getWithRegex("/v1/programs/(?<id>.+)").handler(guard(this::explain));
        router.errorHandler(413, c -> fail(c, new GatewayException(ErrorCode.TOO_LARGE, "The body is too large.")));
        router.errorHandler(
                404, c -> fail(c, new GatewayException(ErrorCode.NOT_FOUND, "There is nothing at this path.")));
        router.errorHandler(
                405,
                c -> fail(c, new GatewayException(ErrorCode.INVALID_ARGUMENT, "This path does not take the method.")));
        router.errorHandler(500, c -> fail(c, c.failure()));
        return router;
    }

    private void count(RoutingContext c) {
        underWay.incrementAndGet();
        if (parts.leaving().getAsBoolean()) {
            // Callers and the balancer must not keep connections to a host that is about to close them.
            c.response().putHeader("Connection", "close");
        }
        c.addEndHandler(r -> underWay.decrementAndGet());
        c.next();
    }

    private static void report(RoutingContext c, Health.Report report) {
        c.response()
                .setStatusCode(report.httpStatus())
                .putHeader("Content-Type", "application/json")
                .end(report.body().toBuffer());
    }

    /** Returns the keys of the configuration in force; they are hashed into a table once for each version. */
    private CallerKeys keys() {
        Configuration inForce = parts.configuration().get();
        if (!inForce.equals(keysOf)) {
            keysOf = inForce;
            keys = new CallerKeys(inForce);
        }
        return keys;
    }

    private io.vertx.core.Handler<RoutingContext> guard(BiConsumer<RoutingContext, CustomerId> handler) {
        return c -> {
            try {
                Outcome refusal = parts.refusal().get();
                if (refusal != null) {
                    HttpResponder.refuse(c.response(), refusal);
                    return;
                }
                CustomerId who = keys().customer(c.request().getHeader("Authorization"));
                handler.accept(c, who);
            } catch (GatewayException e) {
                fail(c, e);
            }
        };
    }

    private static void fail(RoutingContext c, @org.jspecify.annotations.Nullable Throwable failure) {
        if (failure instanceof GatewayException e) {
            HttpResponder.refuse(c.response(), Outcome.of(e));
            return;
        }
        LOG.error("entry: request failed at {}.", c.request().path(), failure);
        HttpResponder.refuse(
                c.response(),
                Outcome.failed(ErrorCode.INTERNAL, RunState.UNKNOWN, 0, "The gateway failed; see its log."));
    }

    private void model(RoutingContext c, CustomerId who) {
        Buffer body = body(c);
        CallRequest call = parser(c, who).model(body);
        submit(c, call, wantsStream(body));
    }

    private void tool(RoutingContext c, CustomerId who) {
        String service = c.pathParam("service");
        String path = c.request().path().substring(("/v1/tools/" + service).length());
        submit(c, parser(c, who).tool(service, path, body(c)), false);
    }

    private void submit(RoutingContext c, CallRequest call, boolean stream) {
        HttpServerRequest request = c.request();
        Responder answer = new HttpResponder(c.response(), stream, resumeBytes(request));
        Responder responder = new MeteredResponder(answer, parts.metrics(), parts.clock(), call.kind());
        Runnable gone = parts.programs().submit(call, responder);
        if (!c.response().ended()) { // a refusal may have been written already
            c.response().closeHandler(v -> gone.run());
        }
    }

    private static long resumeBytes(HttpServerRequest request) {
        String given = request.getHeader(RESUME_BYTES);
        if (given == null) {
            return 0;
        }
        Check.that(given.matches("\\d{1,12}"), RESUME_BYTES + " must be a whole number");
        return Long.parseLong(given);
    }

    private CallParser parser(RoutingContext c, CustomerId who) {
        return new CallParser(
                who,
                parts.configuration().get(),
                c.request().headers(),
                parts.clock().nowMs());
    }

    private static boolean wantsStream(Buffer body) {
        return Boolean.TRUE.equals(body.toJsonObject().getValue("stream"));
    }

    private static Buffer body(RoutingContext c) {
        Buffer body = c.body().buffer();
        return body == null ? Buffer.buffer() : body;
    }

    private void create(RoutingContext c, CustomerId who) {
        long nowMs = parts.clock().nowMs();
        Create asked = new ProgramParser(body(c), nowMs).create(who);
        Create create = new ProgramDefaults(parts.configuration().get(), nowMs).complete(asked);
        ProgramId program =
                new ProgramId(create.getProgram().isEmpty() ? UUID.randomUUID().toString() : create.getProgram());
        ask(
                c,
                who,
                program,
                OwnerRequest.newBuilder().setCreate(create.toBuilder().setProgram(program.value())));
    }

    private void end(RoutingContext c, CustomerId who, boolean abandon) {
        ProgramId program = new ProgramId(c.pathParam("id"));
        EndProgram end = EndProgram.newBuilder()
                .setProgram(program.value())
                .setAbandon(abandon)
                .build();
        ask(c, who, program, OwnerRequest.newBuilder().setEnd(end));
    }

    private void explain(RoutingContext c, CustomerId who) {
        ProgramId program = new ProgramId(c.pathParam("id"));
        ask(
                c,
                who,
                program,
                OwnerRequest.newBuilder().setExplain(Explain.newBuilder().setProgram(program.value())));
    }

    private void ask(RoutingContext c, CustomerId who, ProgramId program, OwnerRequest.Builder request) {
        OwnerRequest whole =
                request.setActor("caller:" + who).setCustomer(who.value()).build();
        parts.programs().ask(program, whole, parts.clock().nowMs() + ASK_TIMEOUT_MS, o -> answer(c, program, o));
    }

    private static void answer(RoutingContext c, ProgramId program, Outcome outcome) {
        if (!outcome.isAnswer()) {
            HttpResponder.refuse(c.response(), outcome);
            return;
        }
        if (c.response().closed()) {
            return;
        }
        Buffer body = outcome.answer().isEmpty()
                ? new JsonObject().put("program", program.value()).toBuffer()
                : Buffer.buffer(outcome.answer().toByteArray());
        c.response().putHeader("Content-Type", "application/json").end(body);
    }
}
