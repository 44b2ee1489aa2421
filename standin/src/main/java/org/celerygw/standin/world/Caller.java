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

/** The caller of one program: one request at a time, retried under its key until its fate is known. */
final class Caller {
    private static final long DEADLINE_MS = 10_000;
    private static final long SILENCE_MS = 3_000;
    private static final int PROMPT_TOKENS = 100;
    private static final int OUTPUT_TOKENS = 100;

    private final World world;
    private final UniformRandomProvider random;
    private final ProgramSpec spec;
    private final List<CallRequest> answered = new ArrayList<>();
    private boolean created;
    private boolean ended;
    private boolean inDoubt;
    private long number = 1;
    private long keys;
    private int bodyBytes = 20;
    private @Nullable CallRequest pending;
    private long submission;
    private boolean waiting;

    Caller(World world, UniformRandomProvider random, ProgramSpec spec) {
        this.world = world;
        this.random = random;
        this.spec = spec;
    }

    ProgramId program() {
        return spec.program();
    }

    CustomerId customer() {
        return spec.customer();
    }

    void bodies(int bytes) {
        bodyBytes = bytes;
    }

    void create() {
        waiting = true;
        String what = "create " + spec.program();
        world.ask(spec.program(), tag -> new Event.CreateRequested(spec, "operator", tag), SILENCE_MS, outcome -> {
            waiting = false;
            if (outcome == null || outcome.code() == ErrorCode.NOT_OWNER) {
                return;
            }
            world.log("caller " + what + ": " + World.show(outcome));
            if (outcome.isAnswer()) {
                created = true;
                world.oracle().created(spec.program());
            }
        });
    }

    /** Makes the next call, or goes on with the one whose fate is not known. */
    void call(boolean repeatable) {
        if (waiting || (ended && pending == null)) {
            return;
        }
        if (!created) {
            create();
            return;
        }
        CallRequest p = pending;
        CallRequest next = p == null ? request(repeatable) : again(p);
        pending = next;
        submit(next);
    }

    private CallRequest request(boolean repeatable) {
        String text = spec.program() + " asks " + number + " " + (++keys) + " ";
        String body = text.length() >= bodyBytes ? text : text + "x".repeat(bodyBytes - text.length());
        return new CallRequest(
                spec.customer(),
                new CallId(spec.program(), number),
                new IdempotencyKey("k" + keys),
                repeatable ? CallKind.MODEL : CallKind.TOOL,
                repeatable ? "model" : "service",
                repeatable,
                world.time().nowMs() + DEADLINE_MS,
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

    private CallRequest again(CallRequest p) {
        return with(p, p.id(), p.key(), p.bodyDigest(), p.body());
    }

    private CallRequest with(CallRequest p, CallId id, IdempotencyKey key, ByteString digest, ByteString body) {
        return new CallRequest(
                p.customer(),
                id,
                key,
                p.kind(),
                p.target(),
                p.repeatable(),
                world.time().nowMs() + DEADLINE_MS,
                digest,
                p.path(),
                body,
                p.promptTokens(),
                p.maxOutputTokens(),
                p.prefixHashes());
    }

    private void submit(CallRequest call) {
        waiting = true;
        long mine = ++submission;
        Request request = Request.of(call);
        world.oracle().submitted(request);
        world.submit(call, outcome -> {
            if (mine == submission) {
                waiting = false;
                took(call, request, outcome);
            }
        });
        // A silent host is not waited for: the request is sent again under its key.
        world.time().after(DEADLINE_MS + SILENCE_MS, () -> {
            if (mine == submission && waiting) {
                submission++;
                waiting = false;
            }
        });
    }

    private void took(CallRequest call, Request request, @Nullable Outcome outcome) {
        if (outcome == null || outcome.code() == ErrorCode.NOT_OWNER) {
            world.log("caller " + call.id() + ": " + (outcome == null ? "nothing came back" : World.show(outcome)));
            return;
        }
        world.log("caller " + call.id() + ": " + World.show(outcome));
        world.oracle().replied(request, outcome);
        if (outcome.isAnswer()) {
            answered.add(call);
            world.oracle().ended(call.id());
            pending = null;
            inDoubt = false;
            number++;
        } else if (outcome.code() == ErrorCode.OUTCOME_UNKNOWN) {
            inDoubt = true;
        } else if (isFinal(outcome.code())) {
            ended = true;
            pending = null;
        } else if (outcome.runState() == RunState.NOT_RUN) {
            pending = null;
        }
    }

    private static boolean isFinal(@Nullable ErrorCode code) {
        return code == ErrorCode.PROGRAM_ENDED || code == ErrorCode.DAMAGED || code == ErrorCode.BUDGET_EXCEEDED;
    }

    /** Sends one of the answered requests again; it must get the same answer. */
    void repeatAnswered() {
        if (!answered.isEmpty()) {
            repeat(answered.get(random.nextInt(answered.size())));
        }
    }

    void repeatAll() {
        answered.forEach(this::repeat);
    }

    private void repeat(CallRequest call) {
        CallRequest again = again(call);
        Request request = Request.of(again);
        world.oracle().submitted(request);
        world.submit(again, outcome -> {
            if (outcome != null && outcome.code() != ErrorCode.NOT_OWNER) {
                world.oracle().replied(request, outcome);
            }
        });
    }

    /** Sends what must be refused: a gap, a taken number, or a key with another body. */
    void misuse() {
        if (answered.isEmpty() || ended) {
            return;
        }
        CallRequest old = answered.get(answered.size() - 1);
        ByteString body = ByteString.copyFromUtf8("misuse " + (++keys));
        CallRequest wrong =
                switch (random.nextInt(3)) {
                    case 0 -> with(old, new CallId(program(), number + 2), new IdempotencyKey("m" + keys), body, body);
                    case 1 -> with(old, old.id(), new IdempotencyKey("m" + keys), body, body);
                    default -> with(old, old.id(), old.key(), body, body);
                };
        Request request = Request.of(wrong);
        world.oracle().submitted(request);
        world.submit(wrong, outcome -> {
            if (outcome != null && outcome.code() != ErrorCode.NOT_OWNER) {
                world.oracle().replied(request, outcome);
            }
        });
    }

    /** An operator finds out whether the call in doubt ran, and settles it. */
    void settle() {
        CallRequest p = pending;
        if (!inDoubt || p == null || waiting) {
            return;
        }
        boolean ran = world.oracle().hasRun(Request.of(p));
        ByteString answer = ByteString.copyFromUtf8("settled " + p.id());
        RunState found = ran ? RunState.RUN : RunState.NOT_RUN;
        waiting = true;
        world.ask(
                program(),
                tag -> new Event.SettleRequested(p.id(), found, answer, "operator", tag),
                SILENCE_MS,
                outcome -> {
                    waiting = false;
                    if (outcome != null && (outcome.isAnswer() || outcome.code() == ErrorCode.CONFLICT)) {
                        inDoubt = false;
                    }
                    if (outcome != null && outcome.isAnswer()) {
                        world.log("operator settled " + p.id() + " as " + found);
                        world.oracle().ended(p.id());
                    }
                });
    }

    void end(boolean abandon) {
        if (!created || ended || waiting) {
            return;
        }
        waiting = true;
        world.ask(
                program(),
                tag -> new Event.EndRequested(program(), null, "operator", abandon, tag),
                SILENCE_MS,
                outcome -> {
                    waiting = false;
                    if (outcome != null && outcome.isAnswer()) {
                        ended = true;
                        world.oracle().endedProgram(program());
                    }
                });
    }

    boolean isSettled() {
        return !waiting && pending == null;
    }

    boolean isWaiting() {
        return waiting;
    }

    int answers() {
        return answered.size();
    }
}
