package org.celerygw.daemon.operator;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
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
import org.celerygw.api.gen.operator.ListActionsReply;
import org.celerygw.api.gen.operator.ListActionsRequest;
import org.celerygw.api.gen.operator.ListBackendsReply;
import org.celerygw.api.gen.operator.ListBackendsRequest;
import org.celerygw.api.gen.operator.ListHostsReply;
import org.celerygw.api.gen.operator.ListHostsRequest;
import org.celerygw.api.gen.operator.ListProgramsReply;
import org.celerygw.api.gen.operator.ListProgramsRequest;
import org.celerygw.api.gen.operator.ProgramReply;
import org.celerygw.api.gen.operator.ProgramSummary;
import org.celerygw.api.gen.operator.SettleCallRequest;
import org.celerygw.api.gen.operator.WatchEvent;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;

/** An in-memory operator API with one configuration, a list of program ids and a list of recorded actions. */
final class FakeOperatorApi implements OperatorApi {
    final List<Action> actions = Collections.synchronizedList(new ArrayList<>());
    final List<String> programs = Collections.synchronizedList(new ArrayList<>());
    final List<Consumer<WatchEvent>> watchers = new CopyOnWriteArrayList<>();
    volatile boolean storeUnavailable;
    private ConfigReply config = ConfigReply.newBuilder().setVersion(7).build();

    @Override
    public synchronized long configVersion() {
        return config.getVersion();
    }

    @Override
    public Future<Void> recordAction(Action action) {
        if (storeUnavailable) {
            return Future.failedFuture(new GatewayException(ErrorCode.STORE_UNAVAILABLE, "the store is unavailable"));
        }
        actions.add(action);
        return Future.succeededFuture();
    }

    @Override
    public Runnable watch(Consumer<WatchEvent> sink) {
        watchers.add(sink);
        return () -> watchers.remove(sink);
    }

    @Override
    public Future<ProgramReply> createProgram(Actor actor, CreateProgramRequest request) {
        programs.add(request.getProgram());
        return Future.succeededFuture(
                ProgramReply.newBuilder().setProgram(request.getProgram()).build());
    }

    @Override
    public Future<ProgramReply> endProgram(Actor actor, EndProgramRequest request) {
        if (!programs.remove(request.getProgram())) {
            return Future.failedFuture(new GatewayException(ErrorCode.NOT_FOUND, "the program does not exist"));
        }
        return Future.succeededFuture(
                ProgramReply.newBuilder().setProgram(request.getProgram()).build());
    }

    @Override
    public Future<ProgramReply> settleCall(Actor actor, SettleCallRequest request) {
        return Future.failedFuture(new IllegalStateException("key of the store: hunter2"));
    }

    @Override
    public synchronized Future<AcceptConfigReply> acceptConfig(Actor actor, AcceptConfigRequest request) {
        if (request.getSeenVersion() != config.getVersion()) {
            return Future.succeededFuture(AcceptConfigReply.newBuilder()
                    .setConflict(true)
                    .setVersion(config.getVersion())
                    .setTheirs(config)
                    .build());
        }
        config = ConfigReply.newBuilder()
                .setVersion(config.getVersion() + 1)
                .setConfiguration(request.getConfiguration())
                .setActor(actor.name())
                .build();
        return Future.succeededFuture(
                AcceptConfigReply.newBuilder().setVersion(config.getVersion()).build());
    }

    @Override
    public Future<DrainHostReply> drainHost(Actor actor, DrainHostRequest request) {
        return Future.succeededFuture(
                DrainHostReply.newBuilder().setStarted(true).build());
    }

    @Override
    public Future<AcceptConfigReply> drainBackend(Actor actor, DrainBackendRequest request) {
        return Future.succeededFuture(
                AcceptConfigReply.newBuilder().setVersion(configVersion() + 1).build());
    }

    @Override
    public Future<ListProgramsReply> listPrograms(ListProgramsRequest request) {
        ListProgramsReply.Builder reply = ListProgramsReply.newBuilder();
        programs.forEach(name -> reply.addPrograms(ProgramSummary.newBuilder().setProgram(name)));
        return Future.succeededFuture(reply.build());
    }

    @Override
    public Future<ExplainProgramReply> explainProgram(ExplainProgramRequest request) {
        return Future.succeededFuture(
                ExplainProgramReply.newBuilder().setJson("{}").build());
    }

    @Override
    public synchronized Future<ConfigReply> getConfig(GetConfigRequest request) {
        return Future.succeededFuture(config);
    }

    @Override
    public Future<ConfigHistoryReply> configHistory(ConfigHistoryRequest request) {
        return Future.succeededFuture(ConfigHistoryReply.getDefaultInstance());
    }

    @Override
    public Future<ConfigStatusReply> configStatus(ConfigStatusRequest request) {
        return Future.succeededFuture(ConfigStatusReply.getDefaultInstance());
    }

    @Override
    public Future<ListHostsReply> listHosts(ListHostsRequest request) {
        return Future.succeededFuture(ListHostsReply.getDefaultInstance());
    }

    @Override
    public Future<ListBackendsReply> listBackends(ListBackendsRequest request) {
        return Future.succeededFuture(ListBackendsReply.getDefaultInstance());
    }

    @Override
    public Future<ListActionsReply> listActions(ListActionsRequest request) {
        return Future.succeededFuture(
                ListActionsReply.newBuilder().addAllActions(actions).build());
    }
}
