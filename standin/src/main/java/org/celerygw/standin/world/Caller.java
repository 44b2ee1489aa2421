package org.celerygw.standin.world;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.celerygw.core.call.CallKind;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.IdempotencyKey;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.owner.Event;
import org.celerygw.core.owner.ProgramSpec;
import org.jspecify.annotations.Nullable;

/** The caller of one program. It sends one call at a time and retries it under its key until its outcome is known. */
final class Caller {
    private static final long DEADLINE_MS = 10_000;
    private static final long RESPONSE_TIMEOUT_MS = 3_000;
    private static final int PROMPT_TOKENS = 100;
    private static final int OUTPUT_TOKENS = 100;

    private final Simulation simulation;
    private final UniformRandomProvider random;
    private final ProgramSpec spec;
    private final List<CallRequest> answeredCalls = new ArrayList<>();
    private boolean created;
    private boolean ended;
    private boolean outcomeUnknown;
    private long nextNumber = 1;
    private long requestCount;
    private int bodyBytes = 20;
    private @Nullable CallRequest pendingCall;
    private long currentSubmission;
    private boolean awaitingReply;

    Caller(Simulation simulation, UniformRandomProvider random, ProgramSpec spec) {
        this.simulation = simulation;
        this.random = random;
        this.spec = spec;
    }

    ProgramId program() {
        return spec.program();
    }

    CustomerId customer() {
        return spec.customer();
    }

    void setBodyBytes(int bytes) {
        bodyBytes = bytes;
    }

    void create() {
        awaitingReply = true;
        String action = "create " + spec.program();
        simulation.request(
                spec.program(),
                tag -> new Event.CreateRequested(spec, "operator", tag),
                RESPONSE_TIMEOUT_MS,
                outcome -> {
                    awaitingReply = false;
                    if (outcome == null || outcome.code() == ErrorCode.NOT_OWNER) {
                        return;
                    }
                    simulation.log("caller " + action + ": " + Simulation.describe(outcome));
                    if (outcome.isAnswer()) {
                        created = true;
                        simulation.oracle().programCreated(spec.program());
                    }
                });
    }

    /** Submits the next call, or retries the pending call if its outcome is not known. */
    void call(boolean repeatable) {
        if (awaitingReply || (ended && pendingCall == null)) {
            return;
        }
        if (!created) {
            create();
            return;
        }
        CallRequest pending = pendingCall;
        CallRequest next = pending == null ? newRequest(repeatable) : retryOf(pending);
        pendingCall = next;
        submit(next);
    }

    private CallRequest newRequest(boolean repeatable) {
        String text = spec.program() + " asks " + nextNumber + " " + (++requestCount) + " ";
        String body = text.length() >= bodyBytes ? text : text + "x".repeat(bodyBytes - text.length());
        return new CallRequest(
                spec.customer(),
                new CallId(spec.program(), nextNumber),
                new IdempotencyKey("k" + requestCount),
                repeatable ? CallKind.MODEL : CallKind.TOOL,
                repeatable ? "model" : "service",
                repeatable,
                simulation.clock().nowMs() + DEADLINE_MS,
                digest(body),
                repeatable ? "" : "/run",
                ByteString.copyFromUtf8(body),
                PROMPT_TOKENS,
                OUTPUT_TOKENS,
                List.of());
    }

    private static ByteString digest(String body) {
        return ByteString.copyFrom(
                Hashing.sha256().hashString(body, StandardCharsets.UTF_8).asBytes());
    }

    private CallRequest retryOf(CallRequest call) {
        return copyOf(call, call.id(), call.key(), call.bodyDigest(), call.body());
    }

    private CallRequest copyOf(
            CallRequest original, CallId id, IdempotencyKey key, ByteString digest, ByteString body) {
        return new CallRequest(
                original.customer(),
                id,
                key,
                original.kind(),
                original.target(),
                original.repeatable(),
                simulation.clock().nowMs() + DEADLINE_MS,
                digest,
                original.path(),
                body,
                original.promptTokens(),
                original.maxOutputTokens(),
                original.prefixHashes());
    }

    private void submit(CallRequest call) {
        awaitingReply = true;
        long thisSubmission = ++currentSubmission;
        RequestIdentity request = RequestIdentity.of(call);
        simulation.oracle().requestSubmitted(request);
        simulation.submit(call, outcome -> {
            if (thisSubmission == currentSubmission) {
                awaitingReply = false;
                handleOutcome(call, request, outcome);
            }
        });
        // If the host does not reply in time, the caller stops waiting and may retry the request under its key.
        simulation.clock().schedule(DEADLINE_MS + RESPONSE_TIMEOUT_MS, () -> {
            if (thisSubmission == currentSubmission && awaitingReply) {
                currentSubmission++;
                awaitingReply = false;
            }
        });
    }

    private void handleOutcome(CallRequest call, RequestIdentity request, @Nullable Outcome outcome) {
        if (outcome == null || outcome.code() == ErrorCode.NOT_OWNER) {
            simulation.log(
                    "caller " + call.id() + ": " + (outcome == null ? "no reply" : Simulation.describe(outcome)));
            return;
        }
        simulation.log("caller " + call.id() + ": " + Simulation.describe(outcome));
        simulation.oracle().replyReceived(request, outcome);
        if (outcome.isAnswer()) {
            answeredCalls.add(call);
            simulation.oracle().callResolved(call.id());
            pendingCall = null;
            outcomeUnknown = false;
            nextNumber++;
        } else if (outcome.code() == ErrorCode.OUTCOME_UNKNOWN) {
            outcomeUnknown = true;
        } else if (isFinal(outcome.code())) {
            ended = true;
            pendingCall = null;
        } else if (outcome.runState() == RunState.NOT_RUN) {
            pendingCall = null;
        }
    }

    private static boolean isFinal(@Nullable ErrorCode code) {
        return code == ErrorCode.PROGRAM_ENDED || code == ErrorCode.DAMAGED || code == ErrorCode.BUDGET_EXCEEDED;
    }

    /** Submits a random answered request again; it must receive the same answer. */
    void repeatRandomAnswered() {
        if (!answeredCalls.isEmpty()) {
            resubmit(answeredCalls.get(random.nextInt(answeredCalls.size())));
        }
    }

    void repeatAllAnswered() {
        answeredCalls.forEach(this::resubmit);
    }

    private void resubmit(CallRequest call) {
        CallRequest retry = retryOf(call);
        RequestIdentity request = RequestIdentity.of(retry);
        simulation.oracle().requestSubmitted(request);
        simulation.submit(retry, outcome -> {
            if (outcome != null && outcome.code() != ErrorCode.NOT_OWNER) {
                simulation.oracle().replyReceived(request, outcome);
            }
        });
    }

    /** Submits a request that must be refused: a call number after a gap or in use, or a key with another body. */
    void sendInvalidRequest() {
        if (answeredCalls.isEmpty() || ended) {
            return;
        }
        CallRequest valid = answeredCalls.get(answeredCalls.size() - 1);
        ByteString body = ByteString.copyFromUtf8("misuse " + (++requestCount));
        CallRequest invalid =
                switch (random.nextInt(3)) {
                    case 0 ->
                        copyOf(
                                valid,
                                new CallId(program(), nextNumber + 2),
                                new IdempotencyKey("m" + requestCount),
                                body,
                                body);
                    case 1 -> copyOf(valid, valid.id(), new IdempotencyKey("m" + requestCount), body, body);
                    default -> copyOf(valid, valid.id(), valid.key(), body, body);
                };
        RequestIdentity request = RequestIdentity.of(invalid);
        simulation.oracle().requestSubmitted(request);
        simulation.submit(invalid, outcome -> {
            if (outcome != null && outcome.code() != ErrorCode.NOT_OWNER) {
                simulation.oracle().replyReceived(request, outcome);
            }
        });
    }

    /** Simulates an operator who checks whether the call of unknown outcome ran, and settles it accordingly. */
    void settleUnknownOutcome() {
        CallRequest pending = pendingCall;
        if (!outcomeUnknown || pending == null || awaitingReply) {
            return;
        }
        boolean ran = simulation.oracle().hasRun(RequestIdentity.of(pending));
        ByteString answer = ByteString.copyFromUtf8("settled " + pending.id());
        RunState runState = ran ? RunState.RUN : RunState.NOT_RUN;
        awaitingReply = true;
        simulation.request(
                program(),
                tag -> new Event.SettleRequested(pending.id(), runState, answer, "operator", tag),
                RESPONSE_TIMEOUT_MS,
                outcome -> {
                    awaitingReply = false;
                    if (outcome != null && (outcome.isAnswer() || outcome.code() == ErrorCode.CONFLICT)) {
                        outcomeUnknown = false;
                    }
                    if (outcome != null && outcome.isAnswer()) {
                        simulation.log("operator settled " + pending.id() + " as " + runState);
                        simulation.oracle().callResolved(pending.id());
                    }
                });
    }

    void endProgram(boolean abandon) {
        if (!created || ended || awaitingReply) {
            return;
        }
        awaitingReply = true;
        simulation.request(
                program(),
                tag -> new Event.EndRequested(program(), null, "operator", abandon, tag),
                RESPONSE_TIMEOUT_MS,
                outcome -> {
                    awaitingReply = false;
                    if (outcome != null && outcome.isAnswer()) {
                        ended = true;
                        simulation.oracle().programEnded(program());
                    }
                });
    }

    boolean isIdle() {
        return !awaitingReply && pendingCall == null;
    }

    boolean isAwaitingReply() {
        return awaitingReply;
    }

    int answerCount() {
        return answeredCalls.size();
    }
}
