package org.celerygw.daemon.send;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.celerygw.api.gen.operator.BackendInfo;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.ModelName;
import org.celerygw.core.id.PriorityClassName;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.owner.Effect;
import org.celerygw.core.owner.Event;
import org.celerygw.core.routing.Admission;
import org.celerygw.core.routing.CustomerQuota;
import org.celerygw.core.routing.Decision;
import org.celerygw.core.routing.EngineInfo;
import org.celerygw.core.routing.PriorityClassInfo;
import org.celerygw.core.routing.WorkItem;
import org.celerygw.daemon.backend.BackendAddress;
import org.celerygw.daemon.backend.BackendCall;
import org.celerygw.daemon.backend.ModelListener;
import org.celerygw.daemon.backend.ModelRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Queues model calls in the dispatcher and sends each to the engine that the dispatcher selects. */
final class ModelSender {
    private static final Logger LOG = LoggerFactory.getLogger(ModelSender.class);
    private static final int MAX_SENDS = 4;

    private final CallSender.Dependencies dependencies;
    private final EngineTable engines;
    private final Map<Long, PendingCall> callsByTicket = new HashMap<>();
    private final Map<CallId, PendingCall> callsById = new HashMap<>();
    private long lastTicket;

    ModelSender(CallSender.Dependencies dependencies, EngineTable engines) {
        this.dependencies = dependencies;
        this.engines = engines;
    }

    void configure(Configuration configuration) {
        engines.configure(configuration);
        List<EngineInfo> engineInfos = configuration.getBackendsList().stream()
                .map(server -> new EngineInfo(
                        new BackendServerId(server.getId()),
                        new AvailabilityZone(server.getZone()),
                        server.getModelsList().stream().map(ModelName::new).collect(Collectors.toSet()),
                        server.getLeaving()))
                .toList();
        List<PriorityClassInfo> classes = configuration.getClassesList().stream()
                .map(priorityClass -> new PriorityClassInfo(
                        new PriorityClassName(priorityClass.getName()),
                        priorityClass.getRank(),
                        priorityClass.getAgeingMs()))
                .toList();
        List<CustomerQuota> quotas = configuration.getCustomersList().stream()
                .map(customer -> new CustomerQuota(
                        new CustomerId(customer.getId()),
                        customer.getShare() > 0 ? customer.getShare() : 1,
                        customer.getMaxCalls()))
                .toList();
        dependencies.dispatcher().configure(engineInfos, classes, quotas);
        runDispatcher();
    }

    void dispatch(
            Effect.Dispatch dispatch, BiConsumer<Long, ByteString> onChunk, Consumer<Event.CallFinished> onComplete) {
        PendingCall pending = new PendingCall(dispatch, onChunk, onComplete);
        callsById.put(dispatch.call().id(), pending);
        offer(pending);
        runDispatcher();
    }

    void abort(CallId call) {
        PendingCall pending = callsById.get(call);
        if (pending == null) {
            return;
        }
        pending.cancelled = true;
        if (dependencies.dispatcher().cancelWaiting(pending.ticket)) {
            complete(pending, notRun(ErrorCode.CANCELLED, 0, "The caller disconnected while the call was queued."));
        } else {
            pending.backendCall.cancel();
        }
    }

    void releaseCache(ProgramId program) {
        dependencies.dispatcher().programEnded(program, dependencies.clock().nowMs());
    }

    void engineLeaving(BackendServerId engine) {
        dependencies.dispatcher().engineLeaving(engine);
    }

    Stream<BackendInfo> listBackends() {
        return engines.byId().values().stream().map(server -> BackendInfo.newBuilder()
                .setId(server.getId())
                .setAddress(server.getHost() + ":" + server.getPort())
                .setZone(server.getZone())
                .setState(server.getLeaving() ? "leaving" : "serving")
                .setInFlight((int) callsByTicket.values().stream()
                        .filter(pending -> pending.engineId.equals(server.getId()))
                        .count())
                .setModels(String.join(",", server.getModelsList()))
                .build());
    }

    int pendingCalls() {
        return callsById.size();
    }

    void runDispatcher() {
        dependencies.dispatcher().nextDecisions(dependencies.clock().nowMs()).forEach(this::apply);
    }

    private void offer(PendingCall pending) {
        pending.ticket = ++lastTicket;
        Admission admission = dependencies
                .dispatcher()
                .offer(toWorkItem(pending), dependencies.clock().nowMs());
        if (!admission.accepted()) {
            logDecision(admission.logLine());
            complete(
                    pending,
                    notRun(
                            admission.refusalCode(),
                            admission.retryAfterMs(),
                            "The call was not admitted to the queue; it did not run."));
            return;
        }
        callsByTicket.put(pending.ticket, pending);
    }

    private static WorkItem toWorkItem(PendingCall pending) {
        Effect.Dispatch dispatch = pending.dispatch;
        var call = dispatch.call();
        return new WorkItem(
                pending.ticket,
                call.id().program(),
                call.customer(),
                dispatch.priorityClass(),
                new ModelName(call.target()),
                call.deadlineMs(),
                dispatch.programDeadlineMs(),
                dispatch.attainedTokens(),
                call.promptTokens(),
                call.maxOutputTokens(),
                call.prefixHashes(),
                call.repeatable());
    }

    private void apply(Decision decision) {
        logDecision(decision.logLine());
        PendingCall pending = callsByTicket.get(decision.ticket());
        if (pending == null) {
            return;
        }
        if (decision instanceof Decision.Drop drop) {
            complete(
                    pending,
                    notRun(drop.code(), drop.retryAfterMs(), "The call was dropped from the queue; it did not run."));
        } else if (decision instanceof Decision.Start start) {
            send(pending, start);
        }
    }

    private void send(PendingCall pending, Decision.Start start) {
        long nowMs = dependencies.clock().nowMs();
        var call = pending.dispatch.call();
        BackendAddress address = engines.address(start.engine()).orElse(null);
        if (address == null) {
            onSendEnded(pending, notRun(ErrorCode.NO_BACKEND, 100, "The selected engine is no longer configured."));
            return;
        }
        pending.engineId = start.engine().value();
        pending.sendCount++;
        pending.offsetBytes = 0;
        String requestId = dependencies.host() + ":" + pending.ticket;
        dependencies.dispatcher().callAccepted(pending.ticket, nowMs);
        pending.backendCall = dependencies
                .backendClient()
                .sendModelCall(
                        new ModelRequest(
                                address,
                                requestId,
                                call.id().program().value(),
                                start.enginePriority(),
                                call.body(),
                                Math.max(1, call.deadlineMs() - nowMs)),
                        listener(pending, pending.ticket));
    }

    private ModelListener listener(PendingCall pending, long ticket) {
        return new ModelListener() {
            @Override
            public void onChunk(ByteString events) {
                if (pending.ticket != ticket) {
                    return;
                }
                dependencies
                        .dispatcher()
                        .firstTokenReceived(ticket, dependencies.clock().nowMs());
                long offsetBytes = pending.offsetBytes;
                pending.offsetBytes += events.size();
                pending.onChunk.accept(offsetBytes, events);
            }

            @Override
            public void onEnd(Outcome outcome) {
                if (pending.ticket == ticket) {
                    onSendEnded(pending, outcome);
                }
            }
        };
    }

    private void onSendEnded(PendingCall pending, Outcome outcome) {
        long nowMs = dependencies.clock().nowMs();
        boolean answered = outcome.isAnswer() && outcome.status() < 500;
        // The end of a cancelled call is no evidence of a failure of its engine.
        boolean healthy = answered || pending.cancelled;
        boolean mayRetry = dependencies.dispatcher().callEnded(pending.ticket, healthy, outcome.outputTokens(), nowMs);
        callsByTicket.remove(pending.ticket);
        if (mayRetry
                && pending.sendCount < MAX_SENDS
                && !pending.cancelled
                && nowMs < pending.dispatch.call().deadlineMs()) {
            logDecision("retry: call " + pending.dispatch.call().id() + " after a failure at engine " + pending.engineId
                    + ".");
            offer(pending);
        } else {
            complete(pending, outcome);
        }
        runDispatcher();
    }

    private void complete(PendingCall pending, Outcome outcome) {
        callsByTicket.remove(pending.ticket);
        callsById.remove(pending.dispatch.call().id(), pending);
        pending.onComplete.accept(new Event.CallFinished(
                pending.dispatch.call().id(), pending.dispatch.attempt(), outcome, pending.engineId));
    }

    private void logDecision(String line) {
        if (line.isEmpty()) {
            return;
        }
        LOG.info("{}", line);
        dependencies.decisionLog().accept(line);
    }

    private static Outcome notRun(ErrorCode code, long retryAfterMs, String message) {
        return Outcome.failed(code, RunState.NOT_RUN, retryAfterMs, message);
    }

    /** A dispatched call that has not completed, its engine, and how often it was sent. */
    private static final class PendingCall {
        private final Effect.Dispatch dispatch;
        private final BiConsumer<Long, ByteString> onChunk;
        private final Consumer<Event.CallFinished> onComplete;
        private BackendCall backendCall = () -> {};
        private String engineId = "";
        private long ticket;
        private long offsetBytes;
        private int sendCount;
        private boolean cancelled;

        private PendingCall(
                Effect.Dispatch dispatch,
                BiConsumer<Long, ByteString> onChunk,
                Consumer<Event.CallFinished> onComplete) {
            this.dispatch = dispatch;
            this.onChunk = onChunk;
            this.onComplete = onComplete;
        }
    }
}
