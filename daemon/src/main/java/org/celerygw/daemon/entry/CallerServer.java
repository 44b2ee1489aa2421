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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
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
    private static final long OWNER_REQUEST_TIMEOUT_MS = 10_000;
    private static final String RESUME_BYTES_HEADER = "Celery-Resume-Bytes";

    private final Dependencies dependencies;
    private final AtomicInteger requestsInFlight = new AtomicInteger();
    private final AtomicLong requestsReceived = new AtomicLong();
    private final AtomicInteger openConnections = new AtomicInteger();
    private final Set<Responder> openCalls = new LinkedHashSet<>();
    private final HttpServer server;
    private Configuration keysConfiguration = Configuration.getDefaultInstance();
    private CallerKeys activeKeys = new CallerKeys(keysConfiguration);

    /**
     * The services and limits of a server.
     *
     * @param clock the source of the current time, for deadlines and metrics
     * @param ownerClient sends requests to the owners of programs
     * @param configuration supplies the active configuration
     * @param health supplies the reports of the health and ready endpoints
     * @param refusal supplies the error that rejects every /v1 request, or null while requests are admitted
     * @param metrics counts calls and renders the metrics endpoint
     * @param stopping whether a graceful shutdown has begun
     * @param maxBodyBytes the maximum size of a request body
     * @param maxConnections the maximum number of open connections; further ones are closed on accept
     */
    public record Dependencies(
            Clock clock,
            OwnerClient ownerClient,
            Supplier<Configuration> configuration,
            Health health,
            Supplier<@org.jspecify.annotations.Nullable Outcome> refusal,
            Metrics metrics,
            BooleanSupplier stopping,
            long maxBodyBytes,
            int maxConnections) {}

    /**
     * Creates a server; {@link #listen} starts it.
     *
     * @param vertx the Vert.x instance that runs the server
     * @param options the address, port, TLS and header limits
     * @param dependencies the services and limits to use
     */
    public CallerServer(Vertx vertx, HttpServerOptions options, Dependencies dependencies) {
        this.dependencies = dependencies;
        this.server = vertx.createHttpServer(options)
                .requestHandler(createRouter(vertx))
                .connectionHandler(this::onConnect);
    }

    private void onConnect(HttpConnection connection) {
        if (openConnections.incrementAndGet() > dependencies.maxConnections()) {
            connection.close();
        }
        connection.closeHandler(v -> openConnections.decrementAndGet());
    }

    /**
     * Returns the underlying HTTP server, for reloading its certificate.
     *
     * @return the Vert.x server
     */
    public HttpServer server() {
        return server;
    }

    /**
     * Starts listening.
     *
     * @return completes with the bound port, or fails when the address can't be bound
     */
    public Future<Integer> listen() {
        return server.listen().map(HttpServer::actualPort);
    }

    /**
     * Returns how many requests are in flight.
     *
     * @return the number of requests whose response has not ended
     */
    public int requestsInFlight() {
        return requestsInFlight.get();
    }

    /**
     * Returns how many requests have been received.
     *
     * @return the number of requests since the start
     */
    public long requestsReceived() {
        return requestsReceived.get();
    }

    /**
     * Answers all model and tool calls in flight. A stream that has begun ends with an error event.
     *
     * @param failure the error to answer with
     */
    public void endCalls(Outcome failure) {
        List.copyOf(openCalls).forEach(call -> call.end(failure));
    }

    /**
     * Stops listening and closes all connections.
     *
     * @return completes when the server is closed
     */
    public Future<Void> close() {
        return server.close();
    }

    private Router createRouter(Vertx vertx) {
        Router router = Router.router(vertx);
        router.get("/health")
                .handler(context -> sendReport(context, dependencies.health().liveness()));
        router.get("/ready")
                .handler(context -> sendReport(context, dependencies.health().readiness()));
        router.get("/metrics").handler(context -> context.response()
                .putHeader("Content-Type", Metrics.CONTENT_TYPE)
                .end(dependencies.metrics().toPrometheusText()));
        router.route("/v1/*").handler(this::trackRequest);
        router.route("/v1/*").handler(BodyHandler.create(false).setBodyLimit(dependencies.maxBodyBytes()));
        router.post("/v1/chat/completions").handler(authenticated(this::callModel));
        router.post("/v1/tools/:service/*").handler(authenticated(this::callTool));
        router.post("/v1/programs").handler(authenticated(this::createProgram));
        router.postWithRegex("/v1/programs/(?<id>.+)/end")
                .handler(authenticated((context, customer) -> endProgram(context, customer, false)));
        router.deleteWithRegex("/v1/programs/(?<id>.+)")
                .handler(authenticated((context, customer) -> endProgram(context, customer, true)));
        router.getWithRegex("/v1/programs/(?<id>.+)").handler(authenticated(this::explainProgram));
        router.errorHandler(
                413,
                context -> sendFailure(
                        context,
                        new GatewayException(ErrorCode.TOO_LARGE, "The request body exceeds the configured maximum.")));
        router.errorHandler(
                404,
                context -> sendFailure(
                        context, new GatewayException(ErrorCode.NOT_FOUND, "No resource exists at this path.")));
        router.errorHandler(
                405,
                context -> sendFailure(
                        context,
                        new GatewayException(
                                ErrorCode.INVALID_ARGUMENT, "This path does not support the request method.")));
        router.errorHandler(500, context -> sendFailure(context, context.failure()));
        return router;
    }

    private void trackRequest(RoutingContext context) {
        requestsReceived.incrementAndGet();
        requestsInFlight.incrementAndGet();
        if (dependencies.stopping().getAsBoolean()) {
            // Callers and the load balancer must not reuse connections to a host that is about to close them.
            context.response().putHeader("Connection", "close");
        }
        context.addEndHandler(result -> requestsInFlight.decrementAndGet());
        context.next();
    }

    private static void sendReport(RoutingContext context, Health.Report report) {
        context.response()
                .setStatusCode(report.httpStatus())
                .putHeader("Content-Type", "application/json")
                .end(report.body().toBuffer());
    }

    /** Returns the key table of the active configuration; it is rebuilt only when the configuration changes. */
    private CallerKeys activeKeys() {
        Configuration configuration = dependencies.configuration().get();
        if (!configuration.equals(keysConfiguration)) {
            keysConfiguration = configuration;
            activeKeys = new CallerKeys(configuration);
        }
        return activeKeys;
    }

    private io.vertx.core.Handler<RoutingContext> authenticated(BiConsumer<RoutingContext, CustomerId> handler) {
        return context -> {
            try {
                Outcome refusal = dependencies.refusal().get();
                if (refusal != null) {
                    HttpResponder.sendError(context.response(), refusal);
                    return;
                }
                CustomerId customer =
                        activeKeys().authenticate(context.request().getHeader("Authorization"));
                handler.accept(context, customer);
            } catch (GatewayException e) {
                sendFailure(context, e);
            }
        };
    }

    private static void sendFailure(RoutingContext context, @org.jspecify.annotations.Nullable Throwable failure) {
        if (failure instanceof GatewayException e) {
            HttpResponder.sendError(context.response(), Outcome.of(e));
            return;
        }
        LOG.error(
                "entry: request to {} failed unexpectedly; sending an INTERNAL error.",
                context.request().path(),
                failure);
        HttpResponder.sendError(
                context.response(),
                Outcome.failed(
                        ErrorCode.INTERNAL, RunState.UNKNOWN, 0, "Internal gateway error; see the gateway's log."));
    }

    private void callModel(RoutingContext context, CustomerId customer) {
        Buffer body = body(context);
        CallRequest call = createParser(context, customer).parseModelCall(body);
        submit(context, call, wantsStream(body));
    }

    private void callTool(RoutingContext context, CustomerId customer) {
        String service = context.pathParam("service");
        String path = context.request().path().substring(("/v1/tools/" + service).length());
        submit(context, createParser(context, customer).parseToolCall(service, path, body(context)), false);
    }

    private void submit(RoutingContext context, CallRequest call, boolean streaming) {
        HttpServerRequest request = context.request();
        Responder httpResponder = new HttpResponder(context.response(), streaming, resumeBytes(request));
        Responder responder =
                new MeteredResponder(httpResponder, dependencies.metrics(), dependencies.clock(), call.kind());
        openCalls.add(responder);
        context.addEndHandler(result -> openCalls.remove(responder));
        Runnable onDisconnect = dependencies.ownerClient().submit(call, responder);
        if (!context.response().ended()) { // submit can send an error synchronously
            context.response().closeHandler(v -> onDisconnect.run());
        }
    }

    private static long resumeBytes(HttpServerRequest request) {
        String value = request.getHeader(RESUME_BYTES_HEADER);
        if (value == null) {
            return 0;
        }
        Check.that(
                value.matches("\\d{1,12}"),
                RESUME_BYTES_HEADER + " must be a non-negative integer of at most 12 digits");
        return Long.parseLong(value);
    }

    private CallParser createParser(RoutingContext context, CustomerId customer) {
        return new CallParser(
                customer,
                dependencies.configuration().get(),
                context.request().headers(),
                dependencies.clock().nowMs());
    }

    private static boolean wantsStream(Buffer body) {
        return Boolean.TRUE.equals(body.toJsonObject().getValue("stream"));
    }

    private static Buffer body(RoutingContext context) {
        Buffer body = context.body().buffer();
        return body == null ? Buffer.buffer() : body;
    }

    private void createProgram(RoutingContext context, CustomerId customer) {
        long nowMs = dependencies.clock().nowMs();
        Create requested = new ProgramParser(body(context), nowMs).parseCreateRequest(customer);
        Create create = new ProgramDefaults(dependencies.configuration().get(), nowMs).applyTo(requested);
        ProgramId program =
                new ProgramId(create.getProgram().isEmpty() ? UUID.randomUUID().toString() : create.getProgram());
        requestFromOwner(
                context,
                customer,
                program,
                OwnerRequest.newBuilder().setCreate(create.toBuilder().setProgram(program.value())));
    }

    private void endProgram(RoutingContext context, CustomerId customer, boolean abandon) {
        ProgramId program = new ProgramId(context.pathParam("id"));
        EndProgram end = EndProgram.newBuilder()
                .setProgram(program.value())
                .setAbandon(abandon)
                .build();
        requestFromOwner(context, customer, program, OwnerRequest.newBuilder().setEnd(end));
    }

    private void explainProgram(RoutingContext context, CustomerId customer) {
        ProgramId program = new ProgramId(context.pathParam("id"));
        requestFromOwner(
                context,
                customer,
                program,
                OwnerRequest.newBuilder().setExplain(Explain.newBuilder().setProgram(program.value())));
    }

    private void requestFromOwner(
            RoutingContext context, CustomerId customer, ProgramId program, OwnerRequest.Builder request) {
        OwnerRequest ownerRequest = request.setActor("caller:" + customer)
                .setCustomer(customer.value())
                .build();
        dependencies
                .ownerClient()
                .request(
                        program,
                        ownerRequest,
                        dependencies.clock().nowMs() + OWNER_REQUEST_TIMEOUT_MS,
                        outcome -> sendOutcome(context, program, outcome));
    }

    private static void sendOutcome(RoutingContext context, ProgramId program, Outcome outcome) {
        if (!outcome.isAnswer()) {
            HttpResponder.sendError(context.response(), outcome);
            return;
        }
        if (context.response().closed()) {
            return;
        }
        Buffer body = outcome.answer().isEmpty()
                ? new JsonObject().put("program", program.value()).toBuffer()
                : Buffer.buffer(outcome.answer().toByteArray());
        context.response().putHeader("Content-Type", "application/json").end(body);
    }
}
