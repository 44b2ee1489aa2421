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
import org.celerygw.core.routing.ClassInfo;
import org.celerygw.core.routing.CustomerShare;
import org.celerygw.core.routing.Decision;
import org.celerygw.core.routing.EngineInfo;
import org.celerygw.core.routing.WorkItem;
import org.celerygw.daemon.backend.BackendAddress;
import org.celerygw.daemon.backend.BackendCall;
import org.celerygw.daemon.backend.ModelListener;
import org.celerygw.daemon.backend.ModelRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends model calls to the engines that the dispatcher chooses. */
final class ModelSender {
    private static final Logger LOG = LoggerFactory.getLogger(ModelSender.class);
    private static final int MAX_TRIES = 4;

    private final CallSender.Parts parts;
    private final EngineTable engines;
    private final Map<Long, Flight> byTicket = new HashMap<>();
    private final Map<CallId, Flight> byCall = new HashMap<>();
    private long lastTicket;

    ModelSender(CallSender.Parts parts, EngineTable engines) {
        this.parts = parts;
        this.engines = engines;
    }

    void configure(Configuration configuration) {
        engines.configure(configuration);
        List<EngineInfo> infos = configuration.getBackendsList().stream()
                .map(b -> new EngineInfo(
                        new BackendServerId(b.getId()),
                        new AvailabilityZone(b.getZone()),
                        b.getModelsList().stream().map(ModelName::new).collect(Collectors.toSet()),
                        b.getLeaving()))
                .toList();
        List<ClassInfo> classes = configuration.getClassesList().stream()
                .map(c -> new ClassInfo(new PriorityClassName(c.getName()), c.getRank(), c.getAgeingMs()))
                .toList();
        List<CustomerShare> shares = configuration.getCustomersList().stream()
                .map(c -> new CustomerShare(
                        new CustomerId(c.getId()), c.getShare() > 0 ? c.getShare() : 1, c.getMaxCalls()))
                .toList();
        parts.dispatcher().configure(infos, classes, shares);
        pump();
    }

    void dispatch(Effect.Dispatch dispatch, BiConsumer<Long, ByteString> stream, Consumer<Event.Finished> done) {
        Flight flight = new Flight(dispatch, stream, done);
        byCall.put(dispatch.call().id(), flight);
        offer(flight);
        pump();
    }

    void abort(CallId call) {
        Flight flight = byCall.get(call);
        if (flight == null) {
            return;
        }
        flight.cancelled = true;
        if (parts.dispatcher().cancelled(flight.ticket)) {
            finish(flight, failed(ErrorCode.CANCELLED, 0, "The caller went away while the call waited."));
        } else {
            flight.sent.cancel();
        }
    }

    void release(ProgramId program) {
        parts.dispatcher().programEnded(program, parts.clock().nowMs());
    }

    void leaving(BackendServerId engine) {
        parts.dispatcher().leaving(engine);
    }

    Stream<BackendInfo> backends() {
        return engines.all().values().stream().map(b -> BackendInfo.newBuilder()
                .setId(b.getId())
                .setAddress(b.getHost() + ":" + b.getPort())
                .setZone(b.getZone())
                .setState(b.getLeaving() ? "leaving" : "serving")
                .setInFlight((int) byTicket.values().stream()
                        .filter(f -> f.engine.equals(b.getId()))
                        .count())
                .setModels(String.join(",", b.getModelsList()))
                .build());
    }

    int underWay() {
        return byCall.size();
    }

    void pump() {
        parts.dispatcher().next(parts.clock().nowMs()).forEach(this::perform);
    }

    private void offer(Flight flight) {
        flight.ticket = ++lastTicket;
        Admission admission =
                parts.dispatcher().offer(item(flight), parts.clock().nowMs());
        if (!admission.accepted()) {
            note(admission.line());
            finish(
                    flight,
                    failed(admission.refusal(), admission.retryAfterMs(), "The call was refused before it ran."));
            return;
        }
        byTicket.put(flight.ticket, flight);
    }

    private static WorkItem item(Flight flight) {
        Effect.Dispatch d = flight.dispatch;
        var call = d.call();
        return new WorkItem(
                flight.ticket,
                call.id().program(),
                call.customer(),
                d.priorityClass(),
                new ModelName(call.target()),
                call.deadlineMs(),
                d.programDeadlineMs(),
                d.attainedTokens(),
                call.promptTokens(),
                call.maxOutputTokens(),
                call.prefixHashes(),
                call.repeatable());
    }

    private void perform(Decision decision) {
        note(decision.line());
        Flight flight = byTicket.get(decision.ticket());
        if (flight == null) {
            return;
        }
        if (decision instanceof Decision.Drop drop) {
            finish(flight, failed(drop.code(), drop.retryAfterMs(), "The call was dropped before it ran."));
        } else if (decision instanceof Decision.Start start) {
            send(flight, start);
        }
    }

    private void send(Flight flight, Decision.Start start) {
        long nowMs = parts.clock().nowMs();
        var call = flight.dispatch.call();
        BackendAddress address = engines.address(start.engine()).orElse(null);
        if (address == null) {
            tryEnded(flight, failed(ErrorCode.NO_BACKEND, 100, "The engine left the configuration."));
            return;
        }
        flight.engine = start.engine().value();
        flight.tries++;
        flight.offsetBytes = 0;
        String requestId = parts.host() + ":" + flight.ticket;
        parts.dispatcher().started(flight.ticket, nowMs);
        flight.sent = parts.backends()
                .model(
                        new ModelRequest(
                                address,
                                requestId,
                                call.id().program().value(),
                                start.enginePriority(),
                                call.body(),
                                Math.max(1, call.deadlineMs() - nowMs)),
                        listener(flight, flight.ticket));
    }

    private ModelListener listener(Flight flight, long ticket) {
        return new ModelListener() {
            @Override
            public void onChunk(ByteString events) {
                if (flight.ticket != ticket) {
                    return;
                }
                parts.dispatcher().firstToken(ticket, parts.clock().nowMs());
                long offsetBytes = flight.offsetBytes;
                flight.offsetBytes += events.size();
                flight.stream.accept(offsetBytes, events);
            }

            @Override
            public void onEnd(Outcome outcome) {
                if (flight.ticket == ticket) {
                    tryEnded(flight, outcome);
                }
            }
        };
    }

    private void tryEnded(Flight flight, Outcome outcome) {
        long nowMs = parts.clock().nowMs();
        boolean answered = outcome.isAnswer() && outcome.status() < 500;
        // A cancelled call says nothing about its engine's health.
        boolean healthy = answered || flight.cancelled;
        boolean again = parts.dispatcher().ended(flight.ticket, healthy, outcome.outputTokens(), nowMs);
        byTicket.remove(flight.ticket);
        if (again
                && flight.tries < MAX_TRIES
                && !flight.cancelled
                && nowMs < flight.dispatch.call().deadlineMs()) {
            note("retry: call " + flight.dispatch.call().id() + " after a failure at engine " + flight.engine + ".");
            offer(flight);
        } else {
            finish(flight, outcome);
        }
        pump();
    }

    private void finish(Flight flight, Outcome outcome) {
        byTicket.remove(flight.ticket);
        byCall.remove(flight.dispatch.call().id(), flight);
        flight.done.accept(
                new Event.Finished(flight.dispatch.call().id(), flight.dispatch.attempt(), outcome, flight.engine));
    }

    private void note(String line) {
        if (line.isEmpty()) {
            return;
        }
        LOG.info("{}", line);
        parts.decisions().accept(line);
    }

    private static Outcome failed(ErrorCode code, long retryAfterMs, String message) {
        return Outcome.failed(code, RunState.NOT_RUN, retryAfterMs, message);
    }

    /** One dispatched call with its tries. */
    private static final class Flight {
        private final Effect.Dispatch dispatch;
        private final BiConsumer<Long, ByteString> stream;
        private final Consumer<Event.Finished> done;
        private BackendCall sent = () -> {};
        private String engine = "";
        private long ticket;
        private long offsetBytes;
        private int tries;
        private boolean cancelled;

        private Flight(Effect.Dispatch dispatch, BiConsumer<Long, ByteString> stream, Consumer<Event.Finished> done) {
            this.dispatch = dispatch;
            this.stream = stream;
            this.done = done;
        }
    }
}
