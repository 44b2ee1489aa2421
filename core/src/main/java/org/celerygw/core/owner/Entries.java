package org.celerygw.core.owner;

import com.google.protobuf.ByteString;
import org.celerygw.core.call.CallKind;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;
import org.celerygw.core.gen.state.Created;
import org.celerygw.core.gen.state.Damaged;
import org.celerygw.core.gen.state.Done;
import org.celerygw.core.gen.state.Ended;
import org.celerygw.core.gen.state.Entry;
import org.celerygw.core.gen.state.Removed;
import org.celerygw.core.gen.state.Started;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.program.Program;

/** Builds journal entries, and outcomes from journal entries. */
final class Entries {
    private Entries() {}

    private static Entry.Builder entry(ProgramId program, long nowMs) {
        return Entry.newBuilder().setProgram(program.value()).setAtMs(nowMs);
    }

    static Created created(ProgramSpec spec, String actor) {
        ProgramId parent = spec.parent();
        return Created.newBuilder()
                .setCustomer(spec.customer().value())
                .setParent(parent == null ? "" : parent.value())
                .setPriorityClass(spec.priorityClass().value())
                .setBudgetTokens(spec.budgetTokens())
                .setDeadlineMs(spec.deadlineMs())
                .setTimeToLiveMs(spec.timeToLiveMs())
                .setMaxTurns(spec.maxTurns())
                .setActor(actor)
                .build();
    }

    static Entry creation(ProgramId program, Created created, long nowMs) {
        return entry(program, nowMs).setCreated(created).build();
    }

    static Entry started(CallRequest call, long attempt, HostId sender, long nowMs) {
        Started.Builder started = Started.newBuilder()
                .setNumber(call.id().number())
                .setAttempt(attempt)
                .setKey(call.key().value())
                .setDigest(call.bodyDigest())
                .setTool(call.kind() == CallKind.TOOL)
                .setTarget(call.target())
                .setRepeatable(call.repeatable())
                .setDeadlineMs(call.deadlineMs())
                .setReservedTokens(call.reservedTokens())
                .setPath(call.path())
                .setBody(call.body())
                .setSender(sender.value());
        return entry(call.id().program(), nowMs).setStarted(started).build();
    }

    static Done.Builder done(long number, long attempt, Outcome outcome) {
        ErrorCode code = outcome.code();
        return Done.newBuilder()
                .setNumber(number)
                .setAttempt(attempt)
                .setCode(code == null ? "" : code.name())
                .setRunState(outcome.runState().name())
                .setMessage(outcome.message())
                .setRetryAfterMs(outcome.retryAfterMs())
                .setStatus(outcome.status())
                .setContentType(outcome.contentType())
                .setAnswer(outcome.answer())
                .setOutputTokens(outcome.outputTokens());
    }

    static Entry done(ProgramId program, Done done, long nowMs) {
        return entry(program, nowMs).setDone(done).build();
    }

    static Entry settled(ProgramId program, Done done, long nowMs) {
        return entry(program, nowMs).setSettled(done).build();
    }

    static Entry ended(ProgramId program, String actor, Program.Status finalStatus, long nowMs) {
        Ended ended =
                Ended.newBuilder().setActor(actor).setHow(finalStatus.name()).build();
        return entry(program, nowMs).setEnded(ended).build();
    }

    static Entry removed(ProgramId program, long nowMs) {
        return entry(program, nowMs).setRemoved(Removed.getDefaultInstance()).build();
    }

    static Entry damaged(ProgramId program, String reason, long nowMs) {
        return entry(program, nowMs)
                .setDamaged(Damaged.newBuilder().setReason(reason))
                .build();
    }

    /** Returns the recorded outcome of a call. The answer is passed separately, since records in memory omit it. */
    static Outcome outcome(Done done, ByteString answer) {
        if (done.getCode().isEmpty()) {
            return Outcome.answered(done.getStatus(), done.getContentType(), answer, done.getOutputTokens());
        }
        return Outcome.failed(
                ErrorCode.valueOf(done.getCode()),
                RunState.valueOf(done.getRunState()),
                done.getRetryAfterMs(),
                done.getMessage());
    }
}
