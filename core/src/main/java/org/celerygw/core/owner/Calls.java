package org.celerygw.core.owner;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.celerygw.core.budget.Grants;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;
import org.celerygw.core.gen.state.CallImage;
import org.celerygw.core.gen.state.Done;
import org.celerygw.core.gen.state.Started;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.IdempotencyKey;
import org.celerygw.core.id.PriorityClassName;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.id.Slot;
import org.celerygw.core.journal.Contents;
import org.celerygw.core.program.Program;
import org.jspecify.annotations.Nullable;

/** Decides the calls of the programs on this owner: order, idempotency, intent, budget and answers. */
final class Calls {
    private static final long RETRY_HINT_MS = 200;

    private final HostId host;
    private final OwnerSettings settings;
    private final Recorder recorder;
    private final Grants grants;
    private final Contents contents;
    private final Io io;
    private final Map<ProgramId, Deque<OpenCall>> open = new HashMap<>();
    private int openCount;
    private long nowMs;

    Calls(HostId host, OwnerSettings settings, Recorder recorder, Grants grants, Contents contents, Io io) {
        this.host = host;
        this.settings = settings;
        this.recorder = recorder;
        this.grants = grants;
        this.contents = contents;
        this.io = io;
    }

    void at(long timeMs) {
        nowMs = timeMs;
    }

    /** Takes a call; one that begins anew is turned away while its slot waits to be handed over. */
    void submit(CallRequest call, ReplyTag tag, boolean closing) {
        Program p = recorder.programs().find(call.id().program());
        if (p == null) {
            // Nothing here tells a program that never was from one whose retention is over.
            refuse(tag, ErrorCode.NOT_FOUND, RunState.UNKNOWN, "there is no such program now");
            return;
        }
        if (!p.customer().equals(call.customer()) && p.status() != Program.Status.DAMAGED) {
            refuse(tag, ErrorCode.PERMISSION_DENIED, RunState.NOT_RUN, "the program is another customer's");
            return;
        }
        if (p.status() == Program.Status.DAMAGED) {
            refuse(tag, ErrorCode.DAMAGED, RunState.UNKNOWN, p.reason());
            return;
        }
        OpenCall waiting = find(call.id());
        if (waiting != null) {
            join(waiting, call, tag);
            return;
        }
        CallImage known = p.call(call.id().number()).orElse(null);
        if (known != null && !isRetry(p, known, call)) {
            repeat(p, known, call, tag);
            return;
        }
        if (closing) {
            refuse(tag, ErrorCode.NOT_OWNER, RunState.NOT_RUN, "the slot is being handed over");
            return;
        }
        // A repeated call may have run in an earlier attempt: its refusals must not deny that.
        RunState earlier = known == null
                ? RunState.NOT_RUN
                : RunState.valueOf(known.getDone().getRunState());
        admit(p, new OpenCall(call, tag, earlier));
    }

    private static boolean isRetry(Program p, CallImage known, CallRequest call) {
        return known.getStarted().getNumber() == p.nextNumber() - 1
                && p.isRetryable()
                && isSame(known.getStarted(), call);
    }

    private static boolean isSame(Started started, CallRequest call) {
        return started.getKey().equals(call.key().value())
                && started.getDigest().equals(call.bodyDigest());
    }

    private @Nullable OpenCall find(CallId id) {
        Deque<OpenCall> calls = open.get(id.program());
        return calls == null
                ? null
                : calls.stream().filter(c -> c.call.id().equals(id)).findFirst().orElse(null);
    }

    private void join(OpenCall waiting, CallRequest call, ReplyTag tag) {
        if (!waiting.call.key().equals(call.key())) {
            refuse(tag, ErrorCode.OUT_OF_ORDER, RunState.NOT_RUN, "the call number is taken");
            return;
        }
        if (!waiting.call.bodyDigest().equals(call.bodyDigest())) {
            refuse(tag, ErrorCode.KEY_REUSED, RunState.NOT_RUN, "the key belongs to a call with another body");
            return;
        }
        if (waiting.refusal != null) {
            // Told that it does not run while that is being recorded; the retry is told the same.
            io.emit(new Effect.Reply(tag, waiting.refusal));
            return;
        }
        waiting.tags.add(tag);
    }

    private void repeat(Program p, CallImage known, CallRequest call, ReplyTag tag) {
        if (!known.getStarted().getKey().equals(call.key().value())) {
            boolean reused = p.hasKey(call.key().value());
            refuse(
                    tag,
                    reused ? ErrorCode.KEY_REUSED : ErrorCode.OUT_OF_ORDER,
                    RunState.NOT_RUN,
                    reused ? "the key belongs to another call" : "the call number is taken");
            return;
        }
        if (!known.getStarted().getDigest().equals(call.bodyDigest())) {
            refuse(tag, ErrorCode.KEY_REUSED, RunState.NOT_RUN, "the key belongs to a call with another body");
            return;
        }
        if (!known.hasDone()) {
            refuse(tag, ErrorCode.IN_PROGRESS, RunState.UNKNOWN, "the call is being recovered");
            return;
        }
        replay(known, tag);
    }

    private void replay(CallImage known, ReplyTag tag) {
        Done done = known.getDone();
        if (done.getAnswerBytes() == 0) {
            io.emit(new Effect.Reply(tag, Entries.outcome(done, ByteString.EMPTY)));
            return;
        }
        if (!known.hasAnswer()) {
            refuse(tag, ErrorCode.STORE_UNAVAILABLE, RunState.RUN, "the answer is being recorded");
            return;
        }
        contents.read(known.getAnswer(), one -> {
            switch (one.status()) {
                case UNAVAILABLE ->
                    refuse(tag, ErrorCode.STORE_UNAVAILABLE, RunState.RUN, "the answer can't be read now");
                case DAMAGED -> refuse(tag, ErrorCode.DAMAGED, RunState.RUN, one.reason());
                case FOUND -> {
                    Done whole = one.entry().hasDone()
                            ? one.entry().getDone()
                            : one.entry().getSettled();
                    io.emit(new Effect.Reply(tag, Entries.outcome(done, whole.getAnswer())));
                }
            }
        });
    }

    private void admit(Program p, OpenCall c) {
        Outcome refusal = refusal(p, c.call);
        if (refusal != null) {
            answer(c, c.notBelow(refusal));
            return;
        }
        open.computeIfAbsent(p.id(), id -> new ArrayDeque<>()).add(c);
        openCount++;
        advance(p.id());
    }

    private @Nullable Outcome refusal(Program p, CallRequest call) {
        Deque<OpenCall> before = open.getOrDefault(p.id(), new ArrayDeque<>());
        long next = p.nextNumber();
        if (!before.isEmpty()) {
            next = before.getLast().call.id().number() + 1;
        } else if (p.isRetryable()) {
            next--;
        }
        if (p.status() != Program.Status.OPEN) {
            return notRun(ErrorCode.PROGRAM_ENDED, "the program has " + p.status());
        }
        if (p.isInDoubt()) {
            return notRun(ErrorCode.OUTCOME_UNKNOWN, "an earlier call waits to be settled");
        }
        if (call.id().number() != next || before.size() > 1) {
            return notRun(ErrorCode.OUT_OF_ORDER, "the next call is number " + next);
        }
        if (next >= p.nextNumber() && isKeyTaken(p, before, call)) {
            return notRun(ErrorCode.KEY_REUSED, "the key belongs to another call");
        }
        if (call.id().number() > p.created().getMaxTurns()) {
            return notRun(ErrorCode.LOOP_LIMIT, "the program reached its limit of turns");
        }
        if (nowMs >= call.deadlineMs()) {
            return notRun(ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed");
        }
        if (openCount >= settings.maxOpenCalls()) {
            return Outcome.failed(
                    ErrorCode.OVERLOADED, RunState.NOT_RUN, RETRY_HINT_MS, "too many calls are under way");
        }
        return before.isEmpty() ? overBudget(p, call) : null;
    }

    private static boolean isKeyTaken(Program p, Deque<OpenCall> before, CallRequest call) {
        return p.hasKey(call.key().value())
                || before.stream().anyMatch(c -> c.call.key().equals(call.key()));
    }

    private @Nullable Outcome overBudget(Program p, CallRequest call) {
        ProgramId root = p.id().root();
        Program top = recorder.programs().find(root);
        long budget = top == null ? 0 : top.created().getBudgetTokens();
        long committed = recorder.programs().committedTokens(root);
        if (call.reservedTokens() > budget - committed) {
            return notRun(
                    ErrorCode.BUDGET_EXCEEDED,
                    "the call needs " + call.reservedTokens() + " of " + (budget - committed) + " tokens left");
        }
        return null;
    }

    private static Outcome notRun(ErrorCode code, String message) {
        return Outcome.failed(code, RunState.NOT_RUN, 0, message);
    }

    private void refuse(ReplyTag tag, ErrorCode code, RunState runState, String message) {
        io.emit(new Effect.Reply(tag, Outcome.failed(code, runState, 0, message)));
    }

    /** Moves the first open call of a program on when nothing holds it any more. */
    private void advance(ProgramId id) {
        Deque<OpenCall> calls = open.get(id);
        if (calls == null || calls.element().phase != OpenCall.Phase.FUNDING) {
            return;
        }
        OpenCall c = calls.element();
        Program p = recorder.programs().find(id);
        Outcome refusal = p == null ? notRun(ErrorCode.NOT_FOUND, "the program is gone") : lateRefusal(p, c);
        if (refusal != null) {
            drop(c, refusal);
            return;
        }
        switch (grants.ask(p.customer(), c.call.reservedTokens())) {
            case GRANTED -> start(p, c);
            case EXHAUSTED -> drop(c, notRun(ErrorCode.BUDGET_EXCEEDED, "the customer's ceiling is reached"));
            case WAIT -> {
                // Asked again at every tick until its deadline.
            }
        }
    }

    private @Nullable Outcome lateRefusal(Program p, OpenCall c) {
        if (p.status() != Program.Status.OPEN) {
            return notRun(ErrorCode.PROGRAM_ENDED, "the program has " + p.status());
        }
        if (p.isInDoubt()) {
            return notRun(ErrorCode.OUTCOME_UNKNOWN, "an earlier call waits to be settled");
        }
        long expected = p.isRetryable() ? p.nextNumber() - 1 : p.nextNumber();
        if (c.call.id().number() != expected) {
            return notRun(ErrorCode.OUT_OF_ORDER, "the next call is number " + expected);
        }
        if (nowMs >= c.call.deadlineMs()) {
            return notRun(ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed");
        }
        return overBudget(p, c.call);
    }

    private void start(Program p, OpenCall c) {
        c.phase = OpenCall.Phase.RECORDING;
        c.attempt = p.attempts() + 1;
        recorder.record(Entries.started(c.call, c.attempt, host, nowMs), () -> send(c));
    }

    private void send(OpenCall c) {
        if (c.refusal == null && nowMs >= c.call.deadlineMs()) {
            withdraw(c, notRun(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed before the call was sent"));
        }
        if (c.refusal != null) {
            return;
        }
        c.phase = OpenCall.Phase.SENT;
        Program p = recorder.programs().find(c.call.id().program());
        if (p != null) {
            io.emit(new Effect.Dispatch(
                    c.call,
                    c.attempt,
                    new PriorityClassName(p.created().getPriorityClass()),
                    p.created().getDeadlineMs(),
                    p.spentTokens()));
        }
    }

    /** Gives up a call that was not sent; this owner alone may send it, and from here on it will not. */
    private void withdraw(OpenCall c, Outcome why) {
        Outcome refusal = c.notBelow(why);
        c.refusal = refusal;
        answer(c, refusal);
        Done done = Entries.done(c.call.id().number(), c.attempt, refusal).build();
        recorder.record(Entries.done(c.call.id().program(), done, nowMs), () -> close(c));
    }

    private void drop(OpenCall c, Outcome refusal) {
        answer(c, c.notBelow(refusal));
        close(c);
    }

    private void answer(OpenCall c, Outcome outcome) {
        c.tags.forEach(tag -> io.emit(new Effect.Reply(tag, outcome)));
        c.tags.clear();
    }

    private void close(OpenCall c) {
        ProgramId id = c.call.id().program();
        Deque<OpenCall> calls = open.get(id);
        if (calls == null || !calls.remove(c)) {
            return;
        }
        openCount--;
        if (calls.isEmpty()) {
            open.remove(id);
        } else {
            advance(id);
        }
    }

    void finished(CallId id, long attempt, Outcome outcome, String backend) {
        OpenCall c = find(id);
        if (c == null || c.attempt != attempt || c.phase != OpenCall.Phase.SENT) {
            return;
        }
        c.phase = OpenCall.Phase.ENDING;
        Outcome told = c.notBelow(told(c.call, outcome));
        Done done = Entries.done(id.number(), attempt, told)
                .setSpentTokens(spentTokens(c.call, outcome))
                .setBackend(backend)
                .build();
        if (told.runState() == RunState.NOT_RUN) {
            // The sender's proof holds whether or not it is recorded.
            c.refusal = told;
            answer(c, told);
        }
        recorder.record(Entries.done(id.program(), done, nowMs), () -> {
            answer(c, told);
            close(c);
        });
    }

    private static Outcome told(CallRequest call, Outcome outcome) {
        if (call.repeatable() || outcome.runState() != RunState.UNKNOWN) {
            return outcome;
        }
        return Outcome.failed(
                ErrorCode.OUTCOME_UNKNOWN,
                RunState.UNKNOWN,
                0,
                "the call may have run; an operator settles it: " + outcome.message());
    }

    private static long spentTokens(CallRequest call, Outcome outcome) {
        if (outcome.runState() == RunState.NOT_RUN) {
            return 0;
        }
        long used = (long) call.promptTokens() + outcome.outputTokens();
        return outcome.isAnswer() ? Math.min(used, call.reservedTokens()) : call.reservedTokens();
    }

    void settle(Event.Settled e) {
        ProgramId id = e.call().program();
        Program p = recorder.programs().find(id);
        CallImage known = p == null ? null : p.call(e.call().number()).orElse(null);
        if (p == null
                || known == null
                || !p.isInDoubt()
                || p.nextNumber() - 1 != e.call().number()) {
            refuse(e.tag(), ErrorCode.CONFLICT, RunState.NOT_RUN, "the call does not wait to be settled");
            return;
        }
        if (e.runState() == RunState.UNKNOWN) {
            refuse(e.tag(), ErrorCode.INVALID_ARGUMENT, RunState.NOT_RUN, "a settlement says RUN or NOT_RUN");
            return;
        }
        Outcome found = e.runState() == RunState.RUN
                ? Outcome.answered(200, "application/json", e.answer(), 0)
                : notRun(ErrorCode.BACKEND_FAILED, "settled as not run");
        Done done = Entries.done(e.call().number(), known.getStarted().getAttempt(), found)
                .setSpentTokens(e.runState() == RunState.RUN ? known.getDone().getSpentTokens() : 0)
                .setActor(e.actor())
                .build();
        io.log("settle: " + e.call() + " as " + e.runState() + " by " + e.actor());
        recorder.record(
                Entries.settled(id, done, nowMs),
                () -> io.emit(
                        new Effect.Reply(e.tag(), Outcome.answered(200, "application/json", ByteString.EMPTY, 0))));
    }

    /** Ends the calls of a program that was abandoned. */
    void abandon(ProgramId id) {
        List<OpenCall> calls = new ArrayList<>(open.getOrDefault(id, new ArrayDeque<>()));
        calls.forEach(c -> {
            switch (c.phase) {
                case FUNDING -> drop(c, notRun(ErrorCode.PROGRAM_ENDED, "the program was abandoned"));
                case RECORDING -> {
                    if (c.refusal == null) {
                        withdraw(c, notRun(ErrorCode.PROGRAM_ENDED, "the program was abandoned"));
                    }
                }
                case SENT -> io.emit(new Effect.Abort(c.call.id(), c.attempt));
                case ENDING -> {
                    // Its outcome is being recorded.
                }
            }
        });
    }

    /** Records what is known of calls that an earlier owner may have sent; none of them is sent again here. */
    void resolve(Program p) {
        Started s = p.lastCall().getStarted();
        boolean repeatable = s.getRepeatable();
        Outcome outcome = Outcome.failed(
                repeatable ? ErrorCode.BACKEND_LOST : ErrorCode.OUTCOME_UNKNOWN,
                RunState.UNKNOWN,
                0,
                s.getSender() + " ended before the outcome was recorded");
        Done done = Entries.done(s.getNumber(), s.getAttempt(), outcome)
                .setSpentTokens(s.getReservedTokens())
                .build();
        recorder.record(Entries.done(p.id(), done, nowMs), () -> {});
        if (!repeatable) {
            CallId id = new CallId(p.id(), s.getNumber());
            io.log("doubt: " + id + " may have run at " + s.getTarget());
            io.emit(new Effect.AskOutcome(id, s.getAttempt(), s.getTarget(), new IdempotencyKey(s.getKey())));
        }
    }

    /** Takes the answer of a service that was asked about a call in doubt. */
    void outcomeFound(Event.OutcomeFound e) {
        Program p = recorder.programs().find(e.call().program());
        CallImage last = p == null ? null : p.lastCall();
        boolean waits = last != null
                && p.isInDoubt()
                && last.getStarted().getNumber() == e.call().number()
                && last.getStarted().getAttempt() == e.attempt();
        if (!waits || e.outcome().runState() == RunState.UNKNOWN) {
            return;
        }
        Done done = Entries.done(e.call().number(), e.attempt(), e.outcome())
                .setSpentTokens(
                        e.outcome().runState() == RunState.RUN ? last.getDone().getSpentTokens() : 0)
                .setActor("service:" + last.getStarted().getTarget())
                .build();
        io.log("settle: " + e.call() + " as " + e.outcome().runState() + " by its service");
        recorder.record(Entries.settled(p.id(), done, nowMs), () -> {});
    }

    void tick() {
        List<OpenCall> calls = open.values().stream().flatMap(Deque::stream).toList();
        calls.forEach(this::expire);
        List.copyOf(open.keySet()).forEach(this::advance);
    }

    private void expire(OpenCall c) {
        if (nowMs < c.call.deadlineMs()) {
            return;
        }
        if (c.phase == OpenCall.Phase.FUNDING) {
            drop(c, notRun(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed while the call waited"));
        } else if (c.phase == OpenCall.Phase.RECORDING && c.refusal == null) {
            withdraw(c, notRun(ErrorCode.STORE_UNAVAILABLE, "the deadline passed before the store answered"));
        } else if (c.phase == OpenCall.Phase.SENT && !c.aborted) {
            c.aborted = true;
            io.emit(new Effect.Abort(c.call.id(), c.attempt));
        }
    }

    void callerGone(ReplyTag tag) {
        open.values().stream().flatMap(Deque::stream).forEach(c -> c.tags.remove(tag));
    }

    Set<Slot> busySlots() {
        return open.keySet().stream().map(ProgramId::slot).collect(Collectors.toSet());
    }

    boolean isQuiet(ProgramId id) {
        return !open.containsKey(id);
    }

    int openCount() {
        return openCount;
    }

    /** Tells every caller what is certain when this owner was deposed. */
    void depose() {
        open.values().stream().flatMap(Deque::stream).forEach(c -> {
            boolean sent = c.phase == OpenCall.Phase.SENT || c.phase == OpenCall.Phase.ENDING;
            if (c.phase == OpenCall.Phase.SENT) {
                io.emit(new Effect.Abort(c.call.id(), c.attempt));
            }
            RunState runState = sent ? RunState.UNKNOWN : c.earlier;
            answer(c, Outcome.failed(ErrorCode.NOT_OWNER, runState, RETRY_HINT_MS, "this host lost its slots"));
        });
        open.clear();
        openCount = 0;
    }
}
