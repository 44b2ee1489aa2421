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

/**
 * Sends tool calls, at most {@code max_calls} at a time to each service. A call that failed is sent again only if it
 * is repeatable or certainly did not run.
 */
final class ToolSender {
    private static final long DEFAULT_TIMEOUT_MS = 30_000;
    private static final int MAX_SENDS = 3;
    private static final long RETRY_DELAY_MS = 100;

    private final CallSender.Dependencies dependencies;
    private final Map<String, ServiceQueue> queuesByService = new HashMap<>();
    private final Map<CallId, PendingCall> callsById = new HashMap<>();

    ToolSender(CallSender.Dependencies dependencies) {
        this.dependencies = dependencies;
    }

    void configure(Configuration configuration) {
        configuration.getServicesList().forEach(service -> {
            ServiceQueue queue = queuesByService.computeIfAbsent(service.getName(), name -> new ServiceQueue());
            queue.service = service;
            sendWaiting(queue);
        });
    }

    void dispatch(Effect.Dispatch dispatch, Consumer<Event.CallFinished> onComplete) {
        PendingCall pending = new PendingCall(dispatch, onComplete);
        callsById.put(pending.call().id(), pending);
        ServiceQueue queue = queuesByService.get(pending.call().target());
        if (queue == null) {
            complete(
                    pending,
                    Outcome.failed(
                            ErrorCode.NO_BACKEND, RunState.NOT_RUN, 0, "No service with this name is configured."));
            return;
        }
        queue.waiting.add(pending);
        sendWaiting(queue);
    }

    void abort(CallId call) {
        PendingCall pending = callsById.get(call);
        if (pending == null) {
            return;
        }
        pending.cancelled = true;
        ServiceQueue queue = queuesByService.get(pending.call().target());
        if (queue != null && queue.waiting.remove(pending)) {
            complete(
                    pending,
                    Outcome.failed(
                            ErrorCode.CANCELLED,
                            RunState.NOT_RUN,
                            0,
                            "The call was cancelled before it was sent to the service."));
        } else {
            pending.backendCall.cancel();
        }
    }

    Stream<BackendInfo> listBackends() {
        return queuesByService.values().stream().map(queue -> BackendInfo.newBuilder()
                .setId(queue.service.getName())
                .setAddress(queue.service.getHost() + ":" + queue.service.getPort())
                .setZone(queue.service.getZone())
                .setState("service")
                .setInFlight(queue.inFlight)
                .build());
    }

    int pendingCalls() {
        return callsById.size();
    }

    private void sendWaiting(ServiceQueue queue) {
        int maxCalls = queue.service.getMaxCalls() > 0 ? queue.service.getMaxCalls() : Integer.MAX_VALUE;
        while (queue.inFlight < maxCalls && !queue.waiting.isEmpty()) {
            PendingCall pending = queue.waiting.poll();
            queue.inFlight++;
            send(queue, pending);
        }
    }

    private void send(ServiceQueue queue, PendingCall pending) {
        CallRequest call = pending.call();
        long remainingMs = call.deadlineMs() - dependencies.clock().nowMs();
        if (remainingMs <= 0) {
            onCallEnded(
                    queue,
                    pending,
                    Outcome.failed(
                            ErrorCode.DEADLINE_EXCEEDED,
                            RunState.NOT_RUN,
                            0,
                            "The deadline passed before the call was sent to the service."));
            return;
        }
        Service service = queue.service;
        long timeoutMs =
                Math.min(remainingMs, service.getTimeoutMs() > 0 ? service.getTimeoutMs() : DEFAULT_TIMEOUT_MS);
        logDecision("route: call " + call.id() + " to service " + service.getName() + ": try "
                + (pending.sendCount + 1) + ", " + (call.repeatable() ? "repeatable" : "not repeatable")
                + ", timeout " + timeoutMs + " ms.");
        pending.sendCount++;
        pending.backendCall = dependencies
                .backendClient()
                .sendToolCall(
                        new ToolRequest(
                                new BackendAddress(service.getHost(), service.getPort()),
                                "/" + service.getName() + call.path(),
                                serviceIdempotencyKey(call.id(), call.key()),
                                "application/json",
                                call.body(),
                                timeoutMs,
                                call.repeatable()),
                        outcome -> onOutcome(queue, pending, outcome));
    }

    /**
     * Queries the service for the outcome of a call that may have run. The callback is not invoked if the service has no
     * outcome path or does not know the call.
     */
    void queryOutcome(Effect.QueryOutcome query, Consumer<Event.OutcomeReported> onOutcome) {
        ServiceQueue queue = queuesByService.get(query.target());
        if (queue == null || queue.service.getOutcomePath().isEmpty()) {
            return;
        }
        String key = URLEncoder.encode(serviceIdempotencyKey(query.call(), query.key()), StandardCharsets.UTF_8);
        logDecision("route: call " + query.call() + ": querying service " + query.target() + " for its outcome.");
        dependencies
                .backendClient()
                .fetchToolOutcome(
                        new BackendAddress(queue.service.getHost(), queue.service.getPort()),
                        queue.service.getOutcomePath() + key,
                        response -> response.ifPresent(outcome ->
                                onOutcome.accept(new Event.OutcomeReported(query.call(), query.attempt(), outcome))));
    }

    /** Returns the idempotency key sent to the service: equal for all tries of one call, distinct between calls. */
    private static String serviceIdempotencyKey(CallId call, IdempotencyKey key) {
        return call.program() + ":" + call.number() + ":" + key;
    }

    private void onOutcome(ServiceQueue queue, PendingCall pending, Outcome outcome) {
        boolean failed = !outcome.isAnswer() || outcome.status() >= 500;
        boolean timeLeft =
                dependencies.clock().nowMs() + RETRY_DELAY_MS < pending.call().deadlineMs();
        // NOT_RUN proves that no byte was written, so sending the call again cannot run it twice.
        boolean mayRepeat = pending.call().repeatable() || outcome.runState() == RunState.NOT_RUN;
        if (failed && mayRepeat && timeLeft && pending.sendCount < MAX_SENDS && !pending.cancelled) {
            dependencies.delayedExecutor().accept(RETRY_DELAY_MS * pending.sendCount, () -> send(queue, pending));
            return;
        }
        onCallEnded(queue, pending, outcome);
    }

    private void onCallEnded(ServiceQueue queue, PendingCall pending, Outcome outcome) {
        queue.inFlight--;
        complete(pending, outcome);
        sendWaiting(queue);
    }

    private void complete(PendingCall pending, Outcome outcome) {
        callsById.remove(pending.call().id(), pending);
        pending.onComplete.accept(new Event.CallFinished(
                pending.call().id(),
                pending.dispatch.attempt(),
                outcome,
                pending.call().target()));
    }

    private void logDecision(String line) {
        org.slf4j.LoggerFactory.getLogger(ToolSender.class).info("{}", line);
        dependencies.decisionLog().accept(line);
    }

    /** A service, the number of its calls in flight, and the calls that wait until that is below its limit. */
    private static final class ServiceQueue {
        private Service service = Service.getDefaultInstance();
        private int inFlight;
        private final Deque<PendingCall> waiting = new ArrayDeque<>();
    }

    /** A dispatched call that has not completed, and how often it was sent. */
    private static final class PendingCall {
        private final Effect.Dispatch dispatch;
        private final Consumer<Event.CallFinished> onComplete;
        private BackendCall backendCall = () -> {};
        private int sendCount;
        private boolean cancelled;

        private PendingCall(Effect.Dispatch dispatch, Consumer<Event.CallFinished> onComplete) {
            this.dispatch = dispatch;
            this.onComplete = onComplete;
        }

        private CallRequest call() {
            return dispatch.call();
        }
    }
}
