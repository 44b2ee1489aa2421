package org.celerygw.daemon;

import com.google.protobuf.ByteString;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.celerygw.api.gen.operator.AcceptConfigReply;
import org.celerygw.api.gen.operator.AcceptConfigRequest;
import org.celerygw.api.gen.operator.Action;
import org.celerygw.api.gen.operator.ConfigHistoryReply;
import org.celerygw.api.gen.operator.ConfigHistoryRequest;
import org.celerygw.api.gen.operator.ConfigReply;
import org.celerygw.api.gen.operator.ConfigStatusReply;
import org.celerygw.api.gen.operator.ConfigStatusRequest;
import org.celerygw.api.gen.operator.CreateProgramRequest;
import org.celerygw.api.gen.operator.DrainBackendRequest;
import org.celerygw.api.gen.operator.DrainHostReply;
import org.celerygw.api.gen.operator.DrainHostRequest;
import org.celerygw.api.gen.operator.EndProgramRequest;
import org.celerygw.api.gen.operator.ExplainProgramReply;
import org.celerygw.api.gen.operator.ExplainProgramRequest;
import org.celerygw.api.gen.operator.GetConfigRequest;
import org.celerygw.api.gen.operator.HostConfig;
import org.celerygw.api.gen.operator.HostInfo;
import org.celerygw.api.gen.operator.ListActionsReply;
import org.celerygw.api.gen.operator.ListActionsRequest;
import org.celerygw.api.gen.operator.ListBackendsReply;
import org.celerygw.api.gen.operator.ListBackendsRequest;
import org.celerygw.api.gen.operator.ListHostsReply;
import org.celerygw.api.gen.operator.ListHostsRequest;
import org.celerygw.api.gen.operator.ListProgramsReply;
import org.celerygw.api.gen.operator.ListProgramsRequest;
import org.celerygw.api.gen.operator.ProgramReply;
import org.celerygw.api.gen.operator.SettleCallRequest;
import org.celerygw.api.gen.operator.WatchEvent;
import org.celerygw.api.gen.owner.Create;
import org.celerygw.api.gen.owner.EndProgram;
import org.celerygw.api.gen.owner.Explain;
import org.celerygw.api.gen.owner.OwnerRequest;
import org.celerygw.api.gen.owner.Settle;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.config.AcceptedConfig;
import org.celerygw.core.config.ConfigManager;
import org.celerygw.core.config.ConfigProposal;
import org.celerygw.core.config.ConfigStatus;
import org.celerygw.core.config.ProposalResult;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;
import org.celerygw.core.gen.config.BackendServer;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.helper.Check;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.membership.Member;
import org.celerygw.core.store.Table;
import org.celerygw.core.time.Clock;
import org.celerygw.daemon.entry.ProgramDefaults;
import org.celerygw.daemon.operator.Actor;
import org.celerygw.daemon.operator.OperatorApi;
import org.celerygw.daemon.route.OwnerRouter;
import org.celerygw.daemon.route.PeerClient;
import org.celerygw.daemon.send.CallSender;
import org.celerygw.daemon.settings.Settings;
import org.celerygw.daemon.work.OwnerRunner;
import org.celerygw.daemon.work.Responder;
import org.jspecify.annotations.Nullable;

/** Serves operator requests, on this host or by forwarding them to the hosts that they concern. */
final class HostOperatorApi implements OperatorApi {
    /** The peer method that returns an accepted configuration, encoded, or an empty body when it is not available. */
    static final String CONFIG_METHOD = "config";

    private static final String HOST_METHOD = "host";
    private static final String DRAIN_METHOD = "drain";
    private static final long OWNER_REQUEST_TIMEOUT_MS = 10_000;
    private static final long HOST_REQUEST_TIMEOUT_MS = 2_000;
    private static final int STORE_RETRY_AFTER_MS = 1_000;
    private static final int DEFAULT_HISTORY_LIMIT = 20;
    private static final int MAX_HISTORY_LIMIT = 200;
    private static final int DEFAULT_ACTIONS_LIMIT = 50;
    private static final int MAX_ACTIONS_LIMIT = 500;

    private final Supplier<Dependencies> dependencies;
    private final Settings settings;
    private final Clock clock;
    private final DecisionFeed decisionFeed;

    /** The components of the daemon that operator requests read or act on. */
    record Dependencies(
            HostId host,
            ConfigManager configManager,
            Table table,
            OwnerRouter router,
            PeerClient peerClient,
            Fleet fleet,
            OwnerRunner ownerRunner,
            CallSender sender,
            Runnable beginStop) {}

    HostOperatorApi(Supplier<Dependencies> dependencies, Settings settings, Clock clock, DecisionFeed decisionFeed) {
        this.dependencies = dependencies;
        this.settings = settings;
        this.clock = clock;
        this.decisionFeed = decisionFeed;
    }

    /** Serves a peer: its request for a configuration, or one that it forwards for an operator. */
    Runnable servePeer(String method, ByteString request, Responder responder) {
        Dependencies daemon = dependencies.get();
        switch (method) {
            case CONFIG_METHOD ->
                responder.end(protobufOutcome(daemon.configManager()
                        .encodedVersion(parseVersion(request))
                        .orElse(ByteString.EMPTY)));
            case HOST_METHOD -> responder.end(protobufOutcome(localHostInfo().toByteString()));
            case DRAIN_METHOD -> {
                daemon.beginStop().run();
                responder.end(protobufOutcome(ByteString.EMPTY));
            }
            default ->
                responder.end(Outcome.failed(
                        ErrorCode.INVALID_ARGUMENT,
                        RunState.NOT_RUN,
                        0,
                        "This release does not support the peer method."));
        }
        return () -> {};
    }

    private static long parseVersion(ByteString request) {
        String text = request.toStringUtf8();
        return text.matches("\\d{1,18}") ? Long.parseLong(text) : 0;
    }

    private static Outcome protobufOutcome(ByteString bytes) {
        return Outcome.answered(200, "application/x-protobuf", bytes, 0);
    }

    private HostInfo localHostInfo() {
        Dependencies daemon = dependencies.get();
        ConfigStatus status = daemon.configManager().status(clock.nowMs());
        return HostInfo.newBuilder()
                .setHost(daemon.host().value())
                .setAddress(settings.advertiseAddress())
                .setZone(settings.host().zone().value())
                .setRelease(settings.host().release())
                .setSlots(daemon.ownerRunner().ownedSlotCount())
                .setConfigVersion(status.version())
                .setConfigSinceMs(status.activeSinceMs())
                .setConfigConfirmed(status.confirmed())
                .setState("alive")
                .build();
    }

    @Override
    public long configVersion() {
        return dependencies.get().configManager().status(clock.nowMs()).version();
    }

    @Override
    public Future<Void> recordAction(Action action) {
        return new AuditLog(dependencies.get().table()).append(action);
    }

    @Override
    public Runnable watch(Consumer<WatchEvent> sink) {
        return decisionFeed.watch(sink);
    }

    @Override
    public Future<ProgramReply> createProgram(Actor actor, CreateProgramRequest request) {
        Create requested = Create.newBuilder()
                .setProgram(request.getProgram())
                .setCustomer(request.getCustomer())
                .setParent(request.getParent())
                .setPriorityClass(request.getPriorityClass())
                .setBudgetTokens(request.getBudgetTokens())
                .setDeadlineMs(request.getDeadlineMs())
                .setTimeToLiveMs(request.getTimeToLiveMs())
                .setMaxTurns(request.getMaxTurns())
                .build();
        Create create = new ProgramDefaults(activeConfiguration(), clock.nowMs()).applyTo(requested);
        return requestOwner(
                        create.getProgram(), actor, OwnerRequest.newBuilder().setCreate(create))
                .map(outcome -> programReply(create.getProgram()));
    }

    @Override
    public Future<ProgramReply> endProgram(Actor actor, EndProgramRequest request) {
        EndProgram end = EndProgram.newBuilder()
                .setProgram(request.getProgram())
                .setAbandon(request.getAbandon())
                .build();
        return requestOwner(
                        request.getProgram(), actor, OwnerRequest.newBuilder().setEnd(end))
                .map(outcome -> programReply(request.getProgram()));
    }

    @Override
    public Future<ProgramReply> settleCall(Actor actor, SettleCallRequest request) {
        Settle settle = Settle.newBuilder()
                .setProgram(request.getProgram())
                .setCall(request.getCall())
                .setRan(request.getRan())
                .setAnswer(request.getAnswer())
                .build();
        return requestOwner(
                        request.getProgram(), actor, OwnerRequest.newBuilder().setSettle(settle))
                .map(outcome -> programReply(request.getProgram()));
    }

    @Override
    public Future<ExplainProgramReply> explainProgram(ExplainProgramRequest request) {
        Explain explain = Explain.newBuilder().setProgram(request.getProgram()).build();
        return requestOwner(
                        request.getProgram(),
                        new Actor("reader"),
                        OwnerRequest.newBuilder().setExplain(explain))
                .map(outcome -> ExplainProgramReply.newBuilder()
                        .setJson(outcome.answer().toStringUtf8())
                        .build());
    }

    @Override
    public Future<ListProgramsReply> listPrograms(ListProgramsRequest request) {
        var list = org.celerygw.api.gen.owner.List.newBuilder();
        if (!request.getCustomer().isEmpty()) {
            list.addCustomers(request.getCustomer());
        }
        ByteString ownerRequest =
                OwnerRequest.newBuilder().setList(list).build().toByteString();
        return requestAllHosts(PeerClient.OWNER_METHOD, ownerRequest).map(hostOutcomes -> {
            ListProgramsReply.Builder reply = ListProgramsReply.newBuilder();
            hostOutcomes.forEach(host -> reply.addAllPrograms(ProgramList.parse(host.member(), host.outcome())));
            return reply.build();
        });
    }

    @Override
    public Future<ConfigReply> getConfig(GetConfigRequest request) {
        ConfigManager configManager = dependencies.get().configManager();
        if (request.getVersion() == 0) {
            return Future.succeededFuture(configManager
                    .activeConfig()
                    .map(config -> configReply(config, true))
                    .orElse(ConfigReply.getDefaultInstance()));
        }
        Promise<ConfigReply> promise = Promise.promise();
        configManager.history(request.getVersion() + 1, 1, history -> {
            List<AcceptedConfig> versions = history.orElse(null);
            if (versions == null) {
                promise.fail(storeUnavailable());
            } else if (versions.isEmpty() || versions.get(0).version() != request.getVersion()) {
                promise.fail(new GatewayException(ErrorCode.NOT_FOUND, "The configuration version does not exist."));
            } else {
                promise.complete(configReply(versions.get(0), true));
            }
        });
        return promise.future();
    }

    @Override
    public Future<AcceptConfigReply> acceptConfig(Actor actor, AcceptConfigRequest request) {
        return propose(new ConfigProposal(
                request.getConfiguration(), request.getSeenVersion(), actor.name(), request.getReason()));
    }

    @Override
    public Future<AcceptConfigReply> drainBackend(Actor actor, DrainBackendRequest request) {
        ConfigManager configManager = dependencies.get().configManager();
        AcceptedConfig current = configManager
                .activeConfig()
                .orElseThrow(() ->
                        new GatewayException(ErrorCode.NOT_FOUND, "No configuration is active on this host yet."));
        Configuration.Builder changed = current.content().toBuilder();
        BackendServer.Builder server = changed.getBackendsBuilderList().stream()
                .filter(b -> b.getId().equals(request.getId()))
                .findFirst()
                .orElseThrow(() -> new GatewayException(
                        ErrorCode.NOT_FOUND, "The active configuration has no backend server with this id."));
        server.setLeaving(true);
        return propose(new ConfigProposal(
                        changed.build(), current.version(), actor.name(), "drain back end " + request.getId()))
                .onSuccess(reply -> dependencies
                        .get()
                        .fleet()
                        .gossip()
                        .markServerLeaving(new BackendServerId(request.getId()), reply.getVersion()));
    }

    private Future<AcceptConfigReply> propose(ConfigProposal proposal) {
        Promise<AcceptConfigReply> promise = Promise.promise();
        dependencies.get().configManager().propose(proposal, clock.nowMs(), result -> {
            if (result.status() == ProposalResult.Status.ACCEPTED) {
                dependencies
                        .get()
                        .fleet()
                        .gossip()
                        .announceConfig(result.config().version());
            }
            completeProposal(result, promise);
        });
        return promise.future();
    }

    private static void completeProposal(ProposalResult result, Promise<AcceptConfigReply> promise) {
        switch (result.status()) {
            case ACCEPTED ->
                promise.complete(AcceptConfigReply.newBuilder()
                        .setVersion(result.config().version())
                        .build());
            case CONFLICT -> promise.complete(conflictReply(result.config()));
            case INVALID ->
                promise.fail(new GatewayException(
                        ErrorCode.INVALID_ARGUMENT, "The configuration is invalid: " + result.problems()));
            case NOT_FOUND ->
                promise.fail(new GatewayException(ErrorCode.NOT_FOUND, "The configuration version does not exist."));
            case UNAVAILABLE -> promise.fail(storeUnavailable());
            case UNKNOWN ->
                promise.fail(new GatewayException(
                        ErrorCode.STORE_UNAVAILABLE,
                        RunState.UNKNOWN,
                        STORE_RETRY_AFTER_MS,
                        "The store did not confirm the write; check which version is active before you retry."));
        }
    }

    private static AcceptConfigReply conflictReply(@Nullable AcceptedConfig theirs) {
        AcceptConfigReply.Builder reply = AcceptConfigReply.newBuilder().setConflict(true);
        if (theirs != null) {
            reply.setTheirs(configReply(theirs, true));
        }
        return reply.build();
    }

    @Override
    public Future<ConfigHistoryReply> configHistory(ConfigHistoryRequest request) {
        int limit = request.getLimit() > 0 ? Math.min(request.getLimit(), MAX_HISTORY_LIMIT) : DEFAULT_HISTORY_LIMIT;
        Promise<ConfigHistoryReply> promise = Promise.promise();
        dependencies
                .get()
                .configManager()
                .history(
                        0,
                        limit,
                        history -> history.ifPresentOrElse(
                                versions -> promise.complete(ConfigHistoryReply.newBuilder()
                                        .addAllVersions(versions.stream()
                                                .map(config -> configReply(config, false))
                                                .toList())
                                        .build()),
                                () -> promise.fail(storeUnavailable())));
        return promise.future();
    }

    @Override
    public Future<ConfigStatusReply> configStatus(ConfigStatusRequest request) {
        return requestHostInfos().map(hosts -> ConfigStatusReply.newBuilder()
                .addAllHosts(hosts.stream()
                        .map(h -> HostConfig.newBuilder()
                                .setHost(h.getHost())
                                .setVersion(h.getConfigVersion())
                                .setSinceMs(h.getConfigSinceMs())
                                .setConfirmed(h.getConfigConfirmed())
                                .build())
                        .toList())
                .build());
    }

    @Override
    public Future<ListHostsReply> listHosts(ListHostsRequest request) {
        return requestHostInfos()
                .map(hosts -> ListHostsReply.newBuilder().addAllHosts(hosts).build());
    }

    private Future<List<HostInfo>> requestHostInfos() {
        return requestAllHosts(HOST_METHOD, ByteString.EMPTY)
                .map(hostOutcomes ->
                        hostOutcomes.stream().map(HostOperatorApi::hostInfo).toList());
    }

    private static HostInfo hostInfo(HostOutcome hostOutcome) {
        Member member = hostOutcome.member();
        HostInfo.Builder info = HostInfo.newBuilder()
                .setHost(member.host().value())
                .setZone(member.zone().value())
                .setRelease(member.release());
        if (hostOutcome.outcome().isAnswer()) {
            try {
                info.mergeFrom(hostOutcome.outcome().answer());
            } catch (com.google.protobuf.InvalidProtocolBufferException e) {
                info.setState("unreadable");
            }
        } else {
            info.setState("no answer").setConfigVersion(member.configVersion());
        }
        if (member.leaving()) {
            info.setState("stopping");
        }
        return info.setAddress(member.address() + ":" + member.httpPort()).build();
    }

    @Override
    public Future<DrainHostReply> drainHost(Actor actor, DrainHostRequest request) {
        Dependencies daemon = dependencies.get();
        HostId target = new HostId(request.getHost());
        Member member = daemon.fleet().members().stream()
                .filter(m -> m.host().equals(target))
                .findFirst()
                .orElseThrow(() -> new GatewayException(ErrorCode.NOT_FOUND, "No live host has this id."));
        return requestHost(member, DRAIN_METHOD, ByteString.EMPTY)
                .compose(outcome -> outcome.isAnswer()
                        ? Future.succeededFuture(
                                DrainHostReply.newBuilder().setStarted(true).build())
                        : Future.failedFuture(toException(outcome)));
    }

    @Override
    public Future<ListBackendsReply> listBackends(ListBackendsRequest request) {
        return Future.succeededFuture(ListBackendsReply.newBuilder()
                .addAllBackends(dependencies.get().sender().listBackends())
                .build());
    }

    @Override
    public Future<ListActionsReply> listActions(ListActionsRequest request) {
        return new AuditLog(dependencies.get().table())
                .readNewest(
                        request.getLimit() > 0
                                ? Math.min(request.getLimit(), MAX_ACTIONS_LIMIT)
                                : DEFAULT_ACTIONS_LIMIT)
                .map(actions ->
                        ListActionsReply.newBuilder().addAllActions(actions).build());
    }

    private Configuration activeConfiguration() {
        return dependencies
                .get()
                .configManager()
                .activeConfig()
                .map(AcceptedConfig::content)
                .orElse(Configuration.getDefaultInstance());
    }

    private Future<Outcome> requestOwner(String program, Actor actor, OwnerRequest.Builder request) {
        Check.that(!program.isEmpty(), "program must not be empty");
        OwnerRequest ownerRequest = request.setActor("operator:" + actor.name()).build();
        Promise<Outcome> promise = Promise.promise();
        dependencies
                .get()
                .router()
                .request(new ProgramId(program), ownerRequest, clock.nowMs() + OWNER_REQUEST_TIMEOUT_MS, outcome -> {
                    if (outcome.isAnswer()) {
                        promise.complete(outcome);
                    } else {
                        promise.fail(toException(outcome));
                    }
                });
        return promise.future();
    }

    /** The outcome of a request to one host. */
    private record HostOutcome(Member member, Outcome outcome) {}

    private Future<List<HostOutcome>> requestAllHosts(String method, ByteString request) {
        List<Future<HostOutcome>> pending = dependencies.get().fleet().members().stream()
                .map(member -> requestHost(member, method, request).map(outcome -> new HostOutcome(member, outcome)))
                .toList();
        return Future.join(pending).map(joined -> joined.<HostOutcome>list());
    }

    private Future<Outcome> requestHost(Member member, String method, ByteString request) {
        Dependencies daemon = dependencies.get();
        Promise<Outcome> promise = Promise.promise();
        Responder responder = Responder.forOutcome(promise::complete);
        if (!member.host().equals(daemon.host())) {
            daemon.peerClient()
                    .send(member.host(), method, request, clock.nowMs() + HOST_REQUEST_TIMEOUT_MS, responder);
        } else if (method.equals(PeerClient.OWNER_METHOD)) {
            daemon.router().serve(method, request, responder);
        } else {
            servePeer(method, request, responder);
        }
        return promise.future();
    }

    private static GatewayException toException(Outcome outcome) {
        return new GatewayException(outcome.code(), outcome.runState(), outcome.retryAfterMs(), outcome.message());
    }

    private static GatewayException storeUnavailable() {
        return new GatewayException(
                ErrorCode.STORE_UNAVAILABLE,
                RunState.NOT_RUN,
                STORE_RETRY_AFTER_MS,
                "The platform's store is unavailable; retry later.");
    }

    private static ProgramReply programReply(String program) {
        return ProgramReply.newBuilder().setProgram(program).build();
    }

    private static ConfigReply configReply(AcceptedConfig config, boolean withContent) {
        ConfigReply.Builder reply = ConfigReply.newBuilder()
                .setVersion(config.version())
                .setActor(config.actor())
                .setAcceptedAtMs(config.acceptedAtMs())
                .setReason(config.reason());
        return withContent ? reply.setConfiguration(config.content()).build() : reply.build();
    }
}
