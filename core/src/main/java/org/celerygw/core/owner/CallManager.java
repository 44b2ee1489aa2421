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
import org.celerygw.core.budget.TokenGrants;
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
import org.celerygw.core.journal.BatchReader;
import org.celerygw.core.program.Program;
import org.jspecify.annotations.Nullable;

/**
 * Decides the calls of the programs that this host owns: admits them in order, recognizes retries, reserves tokens,
 * records a call before it is dispatched and its outcome before it is reported. At most two calls of a program are
 * open at a time; the second is dispatched after the first has ended.
 */
final class CallManager {
    private static final long RETRY_HINT_MS = 200;

    private final HostId host;
    private final OwnerSettings settings;
    private final Recorder recorder;
    private final TokenGrants grants;
    private final BatchReader contents;
    private final EffectQueue effects;
    private final Map<ProgramId, Deque<OpenCall>> openCalls = new HashMap<>();
    private int openCallCount;
    private long nowMs;

    CallManager(
            HostId host,
            OwnerSettings settings,
            Recorder recorder,
            TokenGrants grants,
            BatchReader contents,
            EffectQueue effects) {
        this.host = host;
        this.settings = settings;
        this.recorder = recorder;
        this.grants = grants;
        this.contents = contents;
        this.effects = effects;
    }

    /** Sets the time, in milliseconds since 1970, that the following calls of this object's methods use. */
    void setTime(long timeMs) {
        nowMs = timeMs;
    }

    /**
     * Handles a call request: joins it to an open call, answers it from the record, refuses or admits it.
     *
     * @param request the call
     * @param tag the caller to reply to
     * @param closing whether the slot admits no new call because it is about to be handed over
     */
    void submit(CallRequest request, ReplyTag tag, boolean closing) {
        Program program = recorder.programs().find(request.id().program());
        if (program == null) {
            // The run state is UNKNOWN because a program that never existed and one that was removed after its
            // retention period look the same here.
            refuse(
                    tag,
                    ErrorCode.NOT_FOUND,
                    RunState.UNKNOWN,
                    "the program does not exist or was removed after its retention period");
            return;
        }
        if (!program.customer().equals(request.customer()) && program.status() != Program.Status.DAMAGED) {
            refuse(tag, ErrorCode.PERMISSION_DENIED, RunState.NOT_RUN, "the program belongs to another customer");
            return;
        }
        if (program.status() == Program.Status.DAMAGED) {
            refuse(tag, ErrorCode.DAMAGED, RunState.UNKNOWN, program.damageReason());
            return;
        }
        OpenCall openCall = find(request.id());
        if (openCall != null) {
            joinOpenCall(openCall, request, tag);
            return;
        }
        CallImage recorded = program.call(request.id().number()).orElse(null);
        if (recorded != null && !isRetry(program, recorded, request)) {
            answerRetry(program, recorded, request, tag);
            return;
        }
        if (closing) {
            refuse(tag, ErrorCode.NOT_OWNER, RunState.NOT_RUN, "the slot is being handed over");
            return;
        }
        // An earlier attempt of a retried call may have run, so a refusal must not report NOT_RUN.
        RunState earlierRunState = recorded == null
                ? RunState.NOT_RUN
                : RunState.valueOf(recorded.getDone().getRunState());
        admit(program, new OpenCall(request, tag, earlierRunState));
    }

    private static boolean isRetry(Program program, CallImage recorded, CallRequest request) {
        return recorded.getStarted().getNumber() == program.nextCallNumber() - 1
                && program.isRetryable()
                && isSameCall(recorded.getStarted(), request);
    }

    private static boolean isSameCall(Started started, CallRequest request) {
        return started.getKey().equals(request.key().value())
                && started.getDigest().equals(request.bodyDigest());
    }

    private @Nullable OpenCall find(CallId id) {
        Deque<OpenCall> calls = openCalls.get(id.program());
        return calls == null
                ? null
                : calls.stream()
                        .filter(openCall -> openCall.request.id().equals(id))
                        .findFirst()
                        .orElse(null);
    }

    private void joinOpenCall(OpenCall openCall, CallRequest request, ReplyTag tag) {
        if (!openCall.request.key().equals(request.key())) {
            refuse(tag, ErrorCode.OUT_OF_ORDER, RunState.NOT_RUN, "the call number is used by another call");
            return;
        }
        if (!openCall.request.bodyDigest().equals(request.bodyDigest())) {
            refuse(
                    tag,
                    ErrorCode.KEY_REUSED,
                    RunState.NOT_RUN,
                    "the idempotency key belongs to a call with another body");
            return;
        }
        if (openCall.refusal != null) {
            // The call was refused and the refusal is still being recorded; the retry gets the same refusal.
            effects.emit(new Effect.Reply(tag, openCall.refusal));
            return;
        }
        openCall.tags.add(tag);
    }

    private void answerRetry(Program program, CallImage recorded, CallRequest request, ReplyTag tag) {
        if (!recorded.getStarted().getKey().equals(request.key().value())) {
            boolean reused = program.hasIdempotencyKey(request.key().value());
            refuse(
                    tag,
                    reused ? ErrorCode.KEY_REUSED : ErrorCode.OUT_OF_ORDER,
                    RunState.NOT_RUN,
                    reused ? "the idempotency key belongs to another call" : "the call number is used by another call");
            return;
        }
        if (!recorded.getStarted().getDigest().equals(request.bodyDigest())) {
            refuse(
                    tag,
                    ErrorCode.KEY_REUSED,
                    RunState.NOT_RUN,
                    "the idempotency key belongs to a call with another body");
            return;
        }
        if (!recorded.hasDone()) {
            refuse(
                    tag,
                    ErrorCode.IN_PROGRESS,
                    RunState.UNKNOWN,
                    "the owner changed and the outcome of the call is still being recovered");
            return;
        }
        replyWithRecordedOutcome(recorded, tag);
    }

    private void replyWithRecordedOutcome(CallImage recorded, ReplyTag tag) {
        Done done = recorded.getDone();
        if (done.getAnswerBytes() == 0) {
            effects.emit(new Effect.Reply(tag, Entries.outcome(done, ByteString.EMPTY)));
            return;
        }
        if (!recorded.hasAnswer()) {
            refuse(tag, ErrorCode.STORE_UNAVAILABLE, RunState.RUN, "the answer is still being recorded");
            return;
        }
        contents.readEntry(recorded.getAnswer(), result -> {
            switch (result.status()) {
                case UNAVAILABLE ->
                    refuse(
                            tag,
                            ErrorCode.STORE_UNAVAILABLE,
                            RunState.RUN,
                            "the store did not return the recorded answer");
                case DAMAGED -> refuse(tag, ErrorCode.DAMAGED, RunState.RUN, result.reason());
                case FOUND -> {
                    Done entryWithAnswer = result.entry().hasDone()
                            ? result.entry().getDone()
                            : result.entry().getSettled();
                    effects.emit(new Effect.Reply(tag, Entries.outcome(done, entryWithAnswer.getAnswer())));
                }
            }
        });
    }

    private void admit(Program program, OpenCall openCall) {
        Outcome refusal = admissionRefusal(program, openCall.request);
        if (refusal != null) {
            replyToCallers(openCall, openCall.withEarlierRunState(refusal));
            return;
        }
        openCalls.computeIfAbsent(program.id(), id -> new ArrayDeque<>()).add(openCall);
        openCallCount++;
        advance(program.id());
    }

    private @Nullable Outcome admissionRefusal(Program program, CallRequest request) {
        Deque<OpenCall> queued = openCalls.getOrDefault(program.id(), new ArrayDeque<>());
        long nextNumber = program.nextCallNumber();
        if (!queued.isEmpty()) {
            nextNumber = queued.getLast().request.id().number() + 1;
        } else if (program.isRetryable()) {
            nextNumber--;
        }
        if (program.status() != Program.Status.OPEN) {
            return notRun(ErrorCode.PROGRAM_ENDED, "the program is not open; its status is " + program.status());
        }
        if (program.isInDoubt()) {
            return notRun(ErrorCode.OUTCOME_UNKNOWN, "an earlier call with an unknown outcome must be settled first");
        }
        if (request.id().number() != nextNumber || queued.size() > 1) {
            return notRun(ErrorCode.OUT_OF_ORDER, "the call number is out of order; the next number is " + nextNumber);
        }
        if (nextNumber >= program.nextCallNumber() && isKeyTaken(program, queued, request)) {
            return notRun(ErrorCode.KEY_REUSED, "the idempotency key belongs to another call");
        }
        if (request.id().number() > program.created().getMaxTurns()) {
            return notRun(ErrorCode.LOOP_LIMIT, "the program has reached its maximum number of calls");
        }
        if (nowMs >= request.deadlineMs()) {
            return notRun(ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed");
        }
        if (openCallCount >= settings.maxOpenCalls()) {
            return Outcome.failed(
                    ErrorCode.OVERLOADED,
                    RunState.NOT_RUN,
                    RETRY_HINT_MS,
                    "the owner has reached its maximum number of open calls");
        }
        return queued.isEmpty() ? budgetRefusal(program, request) : null;
    }

    private static boolean isKeyTaken(Program program, Deque<OpenCall> queued, CallRequest request) {
        return program.hasIdempotencyKey(request.key().value())
                || queued.stream().anyMatch(openCall -> openCall.request.key().equals(request.key()));
    }

    private @Nullable Outcome budgetRefusal(Program program, CallRequest request) {
        ProgramId root = program.id().root();
        Program rootProgram = recorder.programs().find(root);
        long budgetTokens = rootProgram == null ? 0 : rootProgram.created().getBudgetTokens();
        long committedTokens = recorder.programs().committedTokens(root);
        if (request.reservedTokens() > budgetTokens - committedTokens) {
            return notRun(
                    ErrorCode.BUDGET_EXCEEDED,
                    "the call reserves " + request.reservedTokens() + " tokens, but the program has "
                            + (budgetTokens - committedTokens) + " left");
        }
        return null;
    }

    private static Outcome notRun(ErrorCode code, String message) {
        return Outcome.failed(code, RunState.NOT_RUN, 0, message);
    }

    private void refuse(ReplyTag tag, ErrorCode code, RunState runState, String message) {
        effects.emit(new Effect.Reply(tag, Outcome.failed(code, runState, 0, message)));
    }

    /** Starts the first open call of a program if it was not started yet, or refuses it; without tokens it waits. */
    private void advance(ProgramId id) {
        Deque<OpenCall> calls = openCalls.get(id);
        if (calls == null || calls.element().phase != OpenCall.Phase.WAITING) {
            return;
        }
        OpenCall openCall = calls.element();
        Program program = recorder.programs().find(id);
        Outcome refusal = program == null
                ? notRun(ErrorCode.NOT_FOUND, "the program does not exist")
                : refusalBeforeStart(program, openCall);
        if (refusal != null) {
            refuseAndClose(openCall, refusal);
            return;
        }
        switch (grants.requestTokens(program.customer(), openCall.request.reservedTokens())) {
            case GRANTED -> recordStart(program, openCall);
            case EXHAUSTED ->
                refuseAndClose(
                        openCall, notRun(ErrorCode.BUDGET_EXCEEDED, "the customer has reached its token ceiling"));
            case WAIT -> {
                // The reservation is requested again at every tick until the call's deadline.
            }
        }
    }

    private @Nullable Outcome refusalBeforeStart(Program program, OpenCall openCall) {
        if (program.status() != Program.Status.OPEN) {
            return notRun(ErrorCode.PROGRAM_ENDED, "the program is not open; its status is " + program.status());
        }
        if (program.isInDoubt()) {
            return notRun(ErrorCode.OUTCOME_UNKNOWN, "an earlier call with an unknown outcome must be settled first");
        }
        long expectedNumber = program.isRetryable() ? program.nextCallNumber() - 1 : program.nextCallNumber();
        if (openCall.request.id().number() != expectedNumber) {
            return notRun(
                    ErrorCode.OUT_OF_ORDER, "the call number is out of order; the next number is " + expectedNumber);
        }
        if (nowMs >= openCall.request.deadlineMs()) {
            return notRun(ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed");
        }
        return budgetRefusal(program, openCall.request);
    }

    private void recordStart(Program program, OpenCall openCall) {
        openCall.phase = OpenCall.Phase.RECORDING;
        openCall.attempt = program.attemptCount() + 1;
        recorder.record(Entries.started(openCall.request, openCall.attempt, host, nowMs), () -> dispatch(openCall));
    }

    private void dispatch(OpenCall openCall) {
        if (openCall.refusal == null && nowMs >= openCall.request.deadlineMs()) {
            withdraw(
                    openCall,
                    notRun(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed before the call was dispatched"));
        }
        if (openCall.refusal != null) {
            return;
        }
        openCall.phase = OpenCall.Phase.SENT;
        Program program = recorder.programs().find(openCall.request.id().program());
        if (program != null) {
            effects.emit(new Effect.Dispatch(
                    openCall.request,
                    openCall.attempt,
                    new PriorityClassName(program.created().getPriorityClass()),
                    program.created().getDeadlineMs(),
                    program.spentTokens()));
        }
    }

    /**
     * Refuses a call that was recorded but not dispatched. Callers may be answered NOT_RUN before this is durable,
     * because only this owner may dispatch the attempt and it no longer does.
     */
    private void withdraw(OpenCall openCall, Outcome reason) {
        Outcome refusal = openCall.withEarlierRunState(reason);
        openCall.refusal = refusal;
        replyToCallers(openCall, refusal);
        Done done = Entries.done(openCall.request.id().number(), openCall.attempt, refusal)
                .build();
        recorder.record(Entries.done(openCall.request.id().program(), done, nowMs), () -> close(openCall));
    }

    private void refuseAndClose(OpenCall openCall, Outcome refusal) {
        replyToCallers(openCall, openCall.withEarlierRunState(refusal));
        close(openCall);
    }

    private void replyToCallers(OpenCall openCall, Outcome outcome) {
        openCall.tags.forEach(tag -> effects.emit(new Effect.Reply(tag, outcome)));
        openCall.tags.clear();
    }

    private void close(OpenCall openCall) {
        ProgramId id = openCall.request.id().program();
        Deque<OpenCall> calls = openCalls.get(id);
        if (calls == null || !calls.remove(openCall)) {
            return;
        }
        openCallCount--;
        if (calls.isEmpty()) {
            openCalls.remove(id);
        } else {
            advance(id);
        }
    }

    /** Records the outcome of a dispatched attempt and replies to its callers; ignores any attempt but the current. */
    void recordOutcome(CallId id, long attempt, Outcome outcome, String backend) {
        OpenCall openCall = find(id);
        if (openCall == null || openCall.attempt != attempt || openCall.phase != OpenCall.Phase.SENT) {
            return;
        }
        openCall.phase = OpenCall.Phase.ENDING;
        Outcome callerOutcome = openCall.withEarlierRunState(outcomeForCaller(openCall.request, outcome));
        Done done = Entries.done(id.number(), attempt, callerOutcome)
                .setSpentTokens(spentTokens(openCall.request, outcome))
                .setBackend(backend)
                .build();
        if (callerOutcome.runState() == RunState.NOT_RUN) {
            // The sender has proved that the call did not run. That holds even if the record is lost, so callers are
            // answered before it is durable.
            openCall.refusal = callerOutcome;
            replyToCallers(openCall, callerOutcome);
        }
        recorder.record(Entries.done(id.program(), done, nowMs), () -> {
            replyToCallers(openCall, callerOutcome);
            close(openCall);
        });
    }

    private static Outcome outcomeForCaller(CallRequest request, Outcome outcome) {
        if (request.repeatable() || outcome.runState() != RunState.UNKNOWN) {
            return outcome;
        }
        return Outcome.failed(
                ErrorCode.OUTCOME_UNKNOWN,
                RunState.UNKNOWN,
                0,
                "the call may have run and an operator must settle it: " + outcome.message());
    }

    private static long spentTokens(CallRequest request, Outcome outcome) {
        if (outcome.runState() == RunState.NOT_RUN) {
            return 0;
        }
        long usedTokens = (long) request.promptTokens() + outcome.outputTokens();
        return outcome.isAnswer() ? Math.min(usedTokens, request.reservedTokens()) : request.reservedTokens();
    }

    /** Records what an operator found out about a call whose outcome is unknown. */
    void settle(Event.SettleRequested event) {
        ProgramId id = event.call().program();
        Program program = recorder.programs().find(id);
        CallImage recorded =
                program == null ? null : program.call(event.call().number()).orElse(null);
        if (program == null
                || recorded == null
                || !program.isInDoubt()
                || program.nextCallNumber() - 1 != event.call().number()) {
            refuse(
                    event.tag(),
                    ErrorCode.CONFLICT,
                    RunState.NOT_RUN,
                    "the call does not exist, is not the last call of its program, or its outcome is known");
            return;
        }
        if (event.runState() == RunState.UNKNOWN) {
            refuse(
                    event.tag(),
                    ErrorCode.INVALID_ARGUMENT,
                    RunState.NOT_RUN,
                    "the run state of a settlement must be RUN or NOT_RUN");
            return;
        }
        Outcome outcome = event.runState() == RunState.RUN
                ? Outcome.answered(200, "application/json", event.answer(), 0)
                : notRun(ErrorCode.BACKEND_FAILED, "the call was settled as not run");
        Done done = Entries.done(event.call().number(), recorded.getStarted().getAttempt(), outcome)
                .setSpentTokens(
                        event.runState() == RunState.RUN ? recorded.getDone().getSpentTokens() : 0)
                .setActor(event.actor())
                .build();
        effects.log("settle: call " + event.call() + " is recorded as " + event.runState() + " by " + event.actor());
        recorder.record(
                Entries.settled(id, done, nowMs),
                () -> effects.emit(
                        new Effect.Reply(event.tag(), Outcome.answered(200, "application/json", ByteString.EMPTY, 0))));
    }

    /** Refuses or cancels the open calls of a program that was abandoned. */
    void abandonCalls(ProgramId id) {
        List<OpenCall> calls = new ArrayList<>(openCalls.getOrDefault(id, new ArrayDeque<>()));
        calls.forEach(openCall -> {
            switch (openCall.phase) {
                case WAITING -> refuseAndClose(openCall, notRun(ErrorCode.PROGRAM_ENDED, "the program was abandoned"));
                case RECORDING -> {
                    if (openCall.refusal == null) {
                        withdraw(openCall, notRun(ErrorCode.PROGRAM_ENDED, "the program was abandoned"));
                    }
                }
                case SENT -> effects.emit(new Effect.Abort(openCall.request.id(), openCall.attempt));
                case ENDING -> {
                    // The outcome is being recorded and will be reported.
                }
            }
        });
    }

    /**
     * Records an unknown outcome for the last call of a recovered program, which an earlier owner may have dispatched
     * without recording its outcome. The call is not dispatched again here.
     */
    void resolveUnfinishedCall(Program program) {
        Started started = program.lastCall().getStarted();
        boolean repeatable = started.getRepeatable();
        Outcome outcome = Outcome.failed(
                repeatable ? ErrorCode.BACKEND_LOST : ErrorCode.OUTCOME_UNKNOWN,
                RunState.UNKNOWN,
                0,
                started.getSender() + " stopped before it recorded the outcome");
        Done done = Entries.done(started.getNumber(), started.getAttempt(), outcome)
                .setSpentTokens(started.getReservedTokens())
                .build();
        recorder.record(Entries.done(program.id(), done, nowMs), () -> {});
        if (!repeatable) {
            CallId id = new CallId(program.id(), started.getNumber());
            effects.log("doubt: outcome unknown, call " + id + " may have run at " + started.getTarget());
            effects.emit(new Effect.QueryOutcome(
                    id, started.getAttempt(), started.getTarget(), new IdempotencyKey(started.getKey())));
        }
    }

    /** Settles a call of unknown outcome by what its service reported. */
    void settleByService(Event.OutcomeReported event) {
        Program program = recorder.programs().find(event.call().program());
        CallImage lastCall = program == null ? null : program.lastCall();
        boolean isUnsettled = lastCall != null
                && program.isInDoubt()
                && lastCall.getStarted().getNumber() == event.call().number()
                && lastCall.getStarted().getAttempt() == event.attempt();
        if (!isUnsettled || event.outcome().runState() == RunState.UNKNOWN) {
            return;
        }
        Done done = Entries.done(event.call().number(), event.attempt(), event.outcome())
                .setSpentTokens(
                        event.outcome().runState() == RunState.RUN
                                ? lastCall.getDone().getSpentTokens()
                                : 0)
                .setActor("service:" + lastCall.getStarted().getTarget())
                .build();
        effects.log("settle: call " + event.call() + " is recorded as "
                + event.outcome().runState() + " by its service");
        recorder.record(Entries.settled(program.id(), done, nowMs), () -> {});
    }

    void tick() {
        List<OpenCall> calls =
                openCalls.values().stream().flatMap(Deque::stream).toList();
        calls.forEach(this::expire);
        List.copyOf(openCalls.keySet()).forEach(this::advance);
    }

    private void expire(OpenCall openCall) {
        if (nowMs < openCall.request.deadlineMs()) {
            return;
        }
        if (openCall.phase == OpenCall.Phase.WAITING) {
            refuseAndClose(
                    openCall,
                    notRun(
                            ErrorCode.DEADLINE_EXCEEDED,
                            "the deadline passed while the call waited for its predecessor or for tokens"));
        } else if (openCall.phase == OpenCall.Phase.RECORDING && openCall.refusal == null) {
            withdraw(
                    openCall,
                    notRun(
                            ErrorCode.STORE_UNAVAILABLE,
                            "the deadline passed before the store confirmed the record of the call"));
        } else if (openCall.phase == OpenCall.Phase.SENT && !openCall.aborted) {
            openCall.aborted = true;
            effects.emit(new Effect.Abort(openCall.request.id(), openCall.attempt));
        }
    }

    /** Stops replies to a caller that disconnected; its call goes on. */
    void removeCaller(ReplyTag tag) {
        openCalls.values().stream().flatMap(Deque::stream).forEach(openCall -> openCall.tags.remove(tag));
    }

    Set<Slot> slotsWithOpenCalls() {
        return openCalls.keySet().stream().map(ProgramId::slot).collect(Collectors.toSet());
    }

    boolean hasNoOpenCall(ProgramId id) {
        return !openCalls.containsKey(id);
    }

    int openCallCount() {
        return openCallCount;
    }

    /**
     * Cancels dispatched calls and replies to all callers after this host was fenced. The run state of a call that was
     * dispatched is UNKNOWN.
     */
    void onFenced() {
        openCalls.values().stream().flatMap(Deque::stream).forEach(openCall -> {
            boolean sent = openCall.phase == OpenCall.Phase.SENT || openCall.phase == OpenCall.Phase.ENDING;
            if (openCall.phase == OpenCall.Phase.SENT) {
                effects.emit(new Effect.Abort(openCall.request.id(), openCall.attempt));
            }
            RunState runState = sent ? RunState.UNKNOWN : openCall.earlierRunState;
            replyToCallers(
                    openCall,
                    Outcome.failed(
                            ErrorCode.NOT_OWNER,
                            runState,
                            RETRY_HINT_MS,
                            "the journal of this host was sealed and it no longer owns the slot"));
        });
        openCalls.clear();
        openCallCount = 0;
    }
}
