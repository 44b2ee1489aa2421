package org.celerygw.daemon.send;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.celerygw.api.gen.operator.BackendInfo;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.gen.config.Service;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.IdempotencyKey;
import org.celerygw.core.owner.Effect;
import org.celerygw.core.owner.Event;
import org.celerygw.daemon.backend.BackendAddress;
import org.celerygw.daemon.backend.BackendCall;
import org.celerygw.daemon.backend.ToolRequest;

/** Sends tool calls, each service's within its limit; only repeatable ones are tried again. */
final class ToolSender {
    private static final long DEFAULT_TIMEOUT_MS = 30_000;
    private static final int MAX_TRIES = 3;
    private static final long RETRY_MS = 100;

    private final CallSender.Parts parts;
    private final Map<String, Gate> gates = new HashMap<>();
    private final Map<CallId, Flight> byCall = new HashMap<>();

    ToolSender(CallSender.Parts parts) {
        this.parts = parts;
    }

    void configure(Configuration configuration) {
        configuration.getServicesList().forEach(s -> {
            Gate gate = gates.computeIfAbsent(s.getName(), n -> new Gate());
            gate.service = s;
            admit(gate);
        });
    }

    void dispatch(Effect.Dispatch dispatch, Consumer<Event.Finished> done) {
        Flight flight = new Flight(dispatch, done);
        byCall.put(flight.call().id(), flight);
        Gate gate = gates.get(flight.call().target());
        if (gate == null) {
            finish(flight, Outcome.failed(ErrorCode.NO_BACKEND, RunState.NOT_RUN, 0, "No such service is configured."));
            return;
        }
        gate.waiting.add(flight);
        admit(gate);
    }

    void abort(CallId call) {
        Flight flight = byCall.get(call);
        if (flight == null) {
            return;
        }
        flight.cancelled = true;
        Gate gate = gates.get(flight.call().target());
        if (gate != null && gate.waiting.remove(flight)) {
            finish(flight, Outcome.failed(ErrorCode.CANCELLED, RunState.NOT_RUN, 0, "Cancelled before it was sent."));
        } else {
            flight.sent.cancel();
        }
    }

    Stream<BackendInfo> backends() {
        return gates.values().stream().map(g -> BackendInfo.newBuilder()
                .setId(g.service.getName())
                .setAddress(g.service.getHost() + ":" + g.service.getPort())
                .setZone(g.service.getZone())
                .setState("service")
                .setInFlight(g.running)
                .build());
    }

    int underWay() {
        return byCall.size();
    }

    private void admit(Gate gate) {
        int most = gate.service.getMaxCalls() > 0 ? gate.service.getMaxCalls() : Integer.MAX_VALUE;
        while (gate.running < most && !gate.waiting.isEmpty()) {
            Flight flight = gate.waiting.poll();
            gate.running++;
            send(gate, flight);
        }
    }

    private void send(Gate gate, Flight flight) {
        CallRequest call = flight.call();
        long leftMs = call.deadlineMs() - parts.clock().nowMs();
        if (leftMs <= 0) {
            ended(
                    gate,
                    flight,
                    Outcome.failed(
                            ErrorCode.DEADLINE_EXCEEDED,
                            RunState.NOT_RUN,
                            0,
                            "The deadline passed before it was sent."));
            return;
        }
        Service service = gate.service;
        long timeoutMs = Math.min(leftMs, service.getTimeoutMs() > 0 ? service.getTimeoutMs() : DEFAULT_TIMEOUT_MS);
        note("route: call " + call.id() + " to service " + service.getName() + ": try " + (flight.tries + 1) + ", "
                + (call.repeatable() ? "repeatable" : "not repeatable") + ", timeout " + timeoutMs + " ms.");
        flight.tries++;
        flight.sent = parts.backends()
                .tool(
                        new ToolRequest(
                                new BackendAddress(service.getHost(), service.getPort()),
                                "/" + service.getName() + call.path(),
                                serviceKey(call.id(), call.key()),
                                "application/json",
                                call.body(),
                                timeoutMs,
                                call.repeatable()),
                        outcome -> answered(gate, flight, outcome));
    }

    /** Asks the service whether a call in doubt ran; says nothing where the service can't tell. */
    void askOutcome(Effect.AskOutcome ask, Consumer<Event.OutcomeFound> done) {
        Gate gate = gates.get(ask.target());
        if (gate == null || gate.service.getOutcomePath().isEmpty()) {
            return;
        }
        String key = URLEncoder.encode(serviceKey(ask.call(), ask.key()), StandardCharsets.UTF_8);
        note("route: call " + ask.call() + ": asking service " + ask.target() + " whether it ran.");
        parts.backends()
                .toolOutcome(
                        new BackendAddress(gate.service.getHost(), gate.service.getPort()),
                        gate.service.getOutcomePath() + key,
                        found -> found.ifPresent(
                                o -> done.accept(new Event.OutcomeFound(ask.call(), ask.attempt(), o))));
    }

    /** Returns the key that the service sees: the same for every try of a call, another for any other call. */
    private static String serviceKey(CallId call, IdempotencyKey key) {
        return call.program() + ":" + call.number() + ":" + key;
    }

    private void answered(Gate gate, Flight flight, Outcome outcome) {
        boolean failed = !outcome.isAnswer() || outcome.status() >= 500;
        boolean timeLeft = parts.clock().nowMs() + RETRY_MS < flight.call().deadlineMs();
        // NOT_RUN is the connection's proof that no byte was written, so another try is the first one.
        boolean mayRepeat = flight.call().repeatable() || outcome.runState() == RunState.NOT_RUN;
        if (failed && mayRepeat && timeLeft && flight.tries < MAX_TRIES && !flight.cancelled) {
            parts.later().accept(RETRY_MS * flight.tries, () -> send(gate, flight));
            return;
        }
        ended(gate, flight, outcome);
    }

    private void ended(Gate gate, Flight flight, Outcome outcome) {
        gate.running--;
        finish(flight, outcome);
        admit(gate);
    }

    private void finish(Flight flight, Outcome outcome) {
        byCall.remove(flight.call().id(), flight);
        flight.done.accept(new Event.Finished(
                flight.call().id(),
                flight.dispatch.attempt(),
                outcome,
                flight.call().target()));
    }

    private void note(String line) {
        org.slf4j.LoggerFactory.getLogger(ToolSender.class).info("{}", line);
        parts.decisions().accept(line);
    }

    /** A service's limit and the calls that wait for it. */
    private static final class Gate {
        private Service service = Service.getDefaultInstance();
        private int running;
        private final Deque<Flight> waiting = new ArrayDeque<>();
    }

    /** One dispatched call with its tries. */
    private static final class Flight {
        private final Effect.Dispatch dispatch;
        private final Consumer<Event.Finished> done;
        private BackendCall sent = () -> {};
        private int tries;
        private boolean cancelled;

        private Flight(Effect.Dispatch dispatch, Consumer<Event.Finished> done) {
            this.dispatch = dispatch;
            this.done = done;
        }

        private CallRequest call() {
            return dispatch.call();
        }
    }
}
