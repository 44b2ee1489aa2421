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
import org.celerygw.core.config.AcceptResult;
import org.celerygw.core.config.AcceptedConfig;
import org.celerygw.core.config.ConfigStatus;
import org.celerygw.core.config.Configurations;
import org.celerygw.core.config.Proposal;
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
import org.celerygw.daemon.operator.Control;
import org.celerygw.daemon.route.OwnerRouter;
import org.celerygw.daemon.route.Peers;
import org.celerygw.daemon.send.CallSender;
import org.celerygw.daemon.settings.Settings;
import org.celerygw.daemon.work.OwnerHost;
import org.celerygw.daemon.work.Responder;
import org.jspecify.annotations.Nullable;

/** Does what operators ask for, on this host or on whichever host it concerns. */
final class HostControl implements Control {
    /** The peers' method that answers with an accepted configuration. */
    static final String CONFIG = "config";

    private static final String HOST = "host";
    private static final String DRAIN = "drain";
    private static final long ASK_TIMEOUT_MS = 10_000;
    private static final long STATUS_TIMEOUT_MS = 2_000;

    private final Supplier<View> view;
    private final Settings settings;
    private final Clock clock;
    private final DecisionFeed decisions;

    /** The daemon's parts that operators act on. */
    record View(
            HostId host,
            Configurations configurations,
            Table table,
            OwnerRouter router,
            Peers peers,
            Fleet fleet,
            OwnerHost owner,
            CallSender sender,
            Runnable stop) {}

    HostControl(Supplier<View> view, Settings settings, Clock clock, DecisionFeed decisions) {
        this.view = view;
        this.settings = settings;
        this.clock = clock;
        this.decisions = decisions;
    }

    /** Serves what operators at another host asked of this one. */
    Runnable serve(String method, ByteString request, Responder responder) {
        View v = view.get();
        switch (method) {
            case CONFIG ->
                responder.end(
                        answer(v.configurations().serve(parseVersion(request)).orElse(ByteString.EMPTY)));
            case HOST -> responder.end(answer(self().toByteString()));
            case DRAIN -> {
                v.stop().run();
                responder.end(answer(ByteString.EMPTY));
            }
            default ->
                responder.end(Outcome.failed(
                        ErrorCode.INVALID_ARGUMENT, RunState.NOT_RUN, 0, "This release does not know the method."));
        }
        return () -> {};
    }

    private static long parseVersion(ByteString request) {
        String text = request.toStringUtf8();
        return text.matches("\\d{1,18}") ? Long.parseLong(text) : 0;
    }

    private static Outcome answer(ByteString bytes) {
        return Outcome.answered(200, "application/x-protobuf", bytes, 0);
    }

    private HostInfo self() {
        View v = view.get();
        ConfigStatus status = v.configurations().status(clock.nowMs());
        return HostInfo.newBuilder()
                .setHost(v.host().value())
                .setAddress(settings.advertiseAddress())
                .setZone(settings.host().zone().value())
                .setRelease(settings.host().release())
                .setSlots(v.owner().slotsOwned())
                .setConfigVersion(status.version())
                .setConfigSinceMs(status.sinceMs())
                .setConfigConfirmed(status.confirmed())
                .setState("alive")
                .build();
    }

    @Override
    public long configVersion() {
        return view.get().configurations().status(clock.nowMs()).version();
    }

    @Override
    public Future<Void> record(Action action) {
        return new ActionRecord(view.get().table()).write(action);
    }

    @Override
    public Runnable watch(Consumer<WatchEvent> sink) {
        return decisions.watch(sink);
    }

    @Override
    public Future<ProgramReply> createProgram(Actor actor, CreateProgramRequest r) {
        Create asked = Create.newBuilder()
                .setProgram(r.getProgram())
                .setCustomer(r.getCustomer())
                .setParent(r.getParent())
                .setPriorityClass(r.getPriorityClass())
                .setBudgetTokens(r.getBudgetTokens())
                .setDeadlineMs(r.getDeadlineMs())
                .setTimeToLiveMs(r.getTimeToLiveMs())
                .setMaxTurns(r.getMaxTurns())
                .build();
        Create create = new ProgramDefaults(configuration(), clock.nowMs()).complete(asked);
        return ask(create.getProgram(), actor, OwnerRequest.newBuilder().setCreate(create))
                .map(o -> reply(create.getProgram()));
    }

    @Override
    public Future<ProgramReply> endProgram(Actor actor, EndProgramRequest r) {
        EndProgram end = EndProgram.newBuilder()
                .setProgram(r.getProgram())
                .setAbandon(r.getAbandon())
                .build();
        return ask(r.getProgram(), actor, OwnerRequest.newBuilder().setEnd(end)).map(o -> reply(r.getProgram()));
    }

    @Override
    public Future<ProgramReply> settleCall(Actor actor, SettleCallRequest r) {
        Settle settle = Settle.newBuilder()
                .setProgram(r.getProgram())
                .setCall(r.getCall())
                .setRan(r.getRan())
                .setAnswer(r.getAnswer())
                .build();
        return ask(r.getProgram(), actor, OwnerRequest.newBuilder().setSettle(settle))
                .map(o -> reply(r.getProgram()));
    }

    @Override
    public Future<ExplainProgramReply> explainProgram(ExplainProgramRequest r) {
        Explain explain = Explain.newBuilder().setProgram(r.getProgram()).build();
        return ask(
                        r.getProgram(),
                        new Actor("reader"),
                        OwnerRequest.newBuilder().setExplain(explain))
                .map(o -> ExplainProgramReply.newBuilder()
                        .setJson(o.answer().toStringUtf8())
                        .build());
    }

    @Override
    public Future<ListProgramsReply> listPrograms(ListProgramsRequest r) {
        var list = org.celerygw.api.gen.owner.List.newBuilder();
        if (!r.getCustomer().isEmpty()) {
            list.addCustomers(r.getCustomer());
        }
        ByteString request = OwnerRequest.newBuilder().setList(list).build().toByteString();
        return everyHost(Peers.OWNER, request).map(answers -> {
            ListProgramsReply.Builder reply = ListProgramsReply.newBuilder();
            answers.forEach(a -> reply.addAllPrograms(ProgramList.of(a.member(), a.outcome())));
            return reply.build();
        });
    }

    @Override
    public Future<ConfigReply> getConfig(GetConfigRequest r) {
        Configurations configs = view.get().configurations();
        if (r.getVersion() == 0) {
            return Future.succeededFuture(
                    configs.inForce().map(c -> reply(c, true)).orElse(ConfigReply.getDefaultInstance()));
        }
        Promise<ConfigReply> done = Promise.promise();
        configs.history(r.getVersion() + 1, 1, found -> {
            List<AcceptedConfig> versions = found.orElse(null);
            if (versions == null) {
                done.fail(storeDown());
            } else if (versions.isEmpty() || versions.get(0).version() != r.getVersion()) {
                done.fail(new GatewayException(ErrorCode.NOT_FOUND, "There is no such version."));
            } else {
                done.complete(reply(versions.get(0), true));
            }
        });
        return done.future();
    }

    @Override
    public Future<AcceptConfigReply> acceptConfig(Actor actor, AcceptConfigRequest r) {
        return accept(new Proposal(r.getConfiguration(), r.getSeenVersion(), actor.name(), r.getReason()));
    }

    @Override
    public Future<AcceptConfigReply> drainBackend(Actor actor, DrainBackendRequest r) {
        Configurations configs = view.get().configurations();
        AcceptedConfig seen = configs.inForce()
                .orElseThrow(() -> new GatewayException(ErrorCode.NOT_FOUND, "There is no configuration yet."));
        Configuration.Builder changed = seen.content().toBuilder();
        BackendServer.Builder server = changed.getBackendsBuilderList().stream()
                .filter(b -> b.getId().equals(r.getId()))
                .findFirst()
                .orElseThrow(() -> new GatewayException(ErrorCode.NOT_FOUND, "There is no such back end."));
        server.setLeaving(true);
        return accept(new Proposal(changed.build(), seen.version(), actor.name(), "drain back end " + r.getId()))
                .onSuccess(reply ->
                        view.get().fleet().gossip().markLeaving(new BackendServerId(r.getId()), reply.getVersion()));
    }

    private Future<AcceptConfigReply> accept(Proposal proposal) {
        Promise<AcceptConfigReply> done = Promise.promise();
        view.get().configurations().accept(proposal, clock.nowMs(), result -> {
            if (result.status() == AcceptResult.Status.ACCEPTED) {
                view.get().fleet().gossip().announceConfig(result.config().version());
            }
            finish(result, done);
        });
        return done.future();
    }

    private static void finish(AcceptResult result, Promise<AcceptConfigReply> done) {
        switch (result.status()) {
            case ACCEPTED ->
                done.complete(AcceptConfigReply.newBuilder()
                        .setVersion(result.config().version())
                        .build());
            case CONFLICT -> done.complete(conflict(result.config()));
            case INVALID ->
                done.fail(new GatewayException(
                        ErrorCode.INVALID_ARGUMENT, "The configuration is wrong: " + result.problems()));
            case NOT_FOUND -> done.fail(new GatewayException(ErrorCode.NOT_FOUND, "There is no such version."));
            case UNAVAILABLE -> done.fail(storeDown());
            case UNKNOWN ->
                done.fail(new GatewayException(
                        ErrorCode.STORE_UNAVAILABLE,
                        RunState.UNKNOWN,
                        1_000,
                        "The store lost its answer; look which version is in force before you try again."));
        }
    }

    private static AcceptConfigReply conflict(@Nullable AcceptedConfig theirs) {
        AcceptConfigReply.Builder reply = AcceptConfigReply.newBuilder().setConflict(true);
        if (theirs != null) {
            reply.setTheirs(reply(theirs, true));
        }
        return reply.build();
    }

    @Override
    public Future<ConfigHistoryReply> configHistory(ConfigHistoryRequest r) {
        int limit = r.getLimit() > 0 ? Math.min(r.getLimit(), 200) : 20;
        Promise<ConfigHistoryReply> done = Promise.promise();
        view.get()
                .configurations()
                .history(
                        0,
                        limit,
                        found -> found.ifPresentOrElse(
                                versions -> done.complete(ConfigHistoryReply.newBuilder()
                                        .addAllVersions(versions.stream()
                                                .map(c -> reply(c, false))
                                                .toList())
                                        .build()),
                                () -> done.fail(storeDown())));
        return done.future();
    }

    @Override
    public Future<ConfigStatusReply> configStatus(ConfigStatusRequest r) {
        return hosts().map(hosts -> ConfigStatusReply.newBuilder()
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
    public Future<ListHostsReply> listHosts(ListHostsRequest r) {
        return hosts().map(
                        hosts -> ListHostsReply.newBuilder().addAllHosts(hosts).build());
    }

    private Future<List<HostInfo>> hosts() {
        return everyHost(HOST, ByteString.EMPTY)
                .map(answers -> answers.stream().map(HostControl::info).toList());
    }

    private static HostInfo info(Answer answer) {
        Member m = answer.member();
        HostInfo.Builder known = HostInfo.newBuilder()
                .setHost(m.host().value())
                .setZone(m.zone().value())
                .setRelease(m.release());
        if (answer.outcome().isAnswer()) {
            try {
                known.mergeFrom(answer.outcome().answer());
            } catch (com.google.protobuf.InvalidProtocolBufferException e) {
                known.setState("unreadable");
            }
        } else {
            known.setState("no answer").setConfigVersion(m.configVersion());
        }
        if (m.leaving()) {
            known.setState("stopping");
        }
        return known.setAddress(m.address() + ":" + m.httpPort()).build();
    }

    @Override
    public Future<DrainHostReply> drainHost(Actor actor, DrainHostRequest r) {
        View v = view.get();
        HostId wanted = new HostId(r.getHost());
        Member member = v.fleet().members().stream()
                .filter(m -> m.host().equals(wanted))
                .findFirst()
                .orElseThrow(() -> new GatewayException(ErrorCode.NOT_FOUND, "There is no such host."));
        return askHost(member, DRAIN, ByteString.EMPTY)
                .compose(o -> o.isAnswer()
                        ? Future.succeededFuture(
                                DrainHostReply.newBuilder().setStarted(true).build())
                        : Future.failedFuture(failure(o)));
    }

    @Override
    public Future<ListBackendsReply> listBackends(ListBackendsRequest r) {
        return Future.succeededFuture(ListBackendsReply.newBuilder()
                .addAllBackends(view.get().sender().backends())
                .build());
    }

    @Override
    public Future<ListActionsReply> listActions(ListActionsRequest r) {
        return new ActionRecord(view.get().table())
                .read(r.getLimit() > 0 ? Math.min(r.getLimit(), 500) : 50)
                .map(actions ->
                        ListActionsReply.newBuilder().addAllActions(actions).build());
    }

    private Configuration configuration() {
        return view.get()
                .configurations()
                .inForce()
                .map(AcceptedConfig::content)
                .orElse(Configuration.getDefaultInstance());
    }

    private Future<Outcome> ask(String program, Actor actor, OwnerRequest.Builder request) {
        Check.that(!program.isEmpty(), "program must be given");
        OwnerRequest whole = request.setActor("operator:" + actor.name()).build();
        Promise<Outcome> done = Promise.promise();
        view.get().router().ask(new ProgramId(program), whole, clock.nowMs() + ASK_TIMEOUT_MS, o -> {
            if (o.isAnswer()) {
                done.complete(o);
            } else {
                done.fail(failure(o));
            }
        });
        return done.future();
    }

    /** What one host answered. */
    private record Answer(Member member, Outcome outcome) {}

    private Future<List<Answer>> everyHost(String method, ByteString request) {
        List<Future<Answer>> asked = view.get().fleet().members().stream()
                .map(m -> askHost(m, method, request).map(o -> new Answer(m, o)))
                .toList();
        return Future.join(asked).map(all -> all.<Answer>list());
    }

    private Future<Outcome> askHost(Member member, String method, ByteString request) {
        View v = view.get();
        Promise<Outcome> done = Promise.promise();
        Responder responder = Responder.outcome(done::complete);
        if (!member.host().equals(v.host())) {
            v.peers().send(member.host(), method, request, clock.nowMs() + STATUS_TIMEOUT_MS, responder);
        } else if (method.equals(Peers.OWNER)) {
            v.router().serve(method, request, responder);
        } else {
            serve(method, request, responder);
        }
        return done.future();
    }

    private static GatewayException failure(Outcome o) {
        return new GatewayException(o.code(), o.runState(), o.retryAfterMs(), o.message());
    }

    private static GatewayException storeDown() {
        return new GatewayException(
                ErrorCode.STORE_UNAVAILABLE, RunState.NOT_RUN, 1_000, "The platform's store does not answer.");
    }

    private static ProgramReply reply(String program) {
        return ProgramReply.newBuilder().setProgram(program).build();
    }

    private static ConfigReply reply(AcceptedConfig c, boolean content) {
        ConfigReply.Builder reply = ConfigReply.newBuilder()
                .setVersion(c.version())
                .setActor(c.actor())
                .setAcceptedAtMs(c.acceptedAtMs())
                .setReason(c.reason());
        return content ? reply.setConfiguration(c.content()).build() : reply.build();
    }
}
