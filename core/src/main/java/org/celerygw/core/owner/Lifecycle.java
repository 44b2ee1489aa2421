package org.celerygw.core.owner;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;
import org.celerygw.core.gen.state.Created;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.program.Program;

/** Creates, ends, expires and removes the programs that this host owns. */
final class Lifecycle {
    private static final long SWEEP_INTERVAL_MS = 1_000;

    private final OwnerSettings settings;
    private final Recorder recorder;
    private final CallManager calls;
    private final EffectQueue effects;
    private final Set<ReplyTag> pendingTags = new LinkedHashSet<>();
    private long lastSweepMs = Long.MIN_VALUE / 2;
    private long nowMs;

    Lifecycle(OwnerSettings settings, Recorder recorder, CallManager calls, EffectQueue effects) {
        this.settings = settings;
        this.recorder = recorder;
        this.calls = calls;
        this.effects = effects;
    }

    /** Sets the time, in milliseconds since 1970, that the following calls of this object's methods use. */
    void setTime(long timeMs) {
        nowMs = timeMs;
    }

    /** Creates a program; a repeated request with the same properties succeeds without a second entry. */
    void create(Event.CreateRequested event) {
        ProgramSpec spec = event.spec();
        Created created = Entries.created(spec, event.actor());
        Program existing = recorder.programs().find(spec.program());
        if (existing != null) {
            answerRepeatedCreate(existing, created, event.tag());
            return;
        }
        Outcome refusal = createRefusal(spec);
        if (refusal != null) {
            effects.emit(new Effect.Reply(event.tag(), refusal));
            return;
        }
        effects.log("program: created " + spec.program() + " for customer " + spec.customer() + " by " + event.actor());
        pendingTags.add(event.tag());
        recorder.record(Entries.creation(spec.program(), created, nowMs), () -> replyDone(event.tag()));
    }

    private void answerRepeatedCreate(Program existing, Created created, ReplyTag tag) {
        Created requested =
                created.toBuilder().setActor(existing.created().getActor()).build();
        if (!existing.created().equals(requested)) {
            refuse(tag, ErrorCode.CONFLICT, "a program with this id and other properties exists");
            return;
        }
        // The entry of the first creation may not be durable yet.
        pendingTags.add(tag);
        recorder.afterAppended(() -> replyDone(tag));
    }

    private @org.jspecify.annotations.Nullable Outcome createRefusal(ProgramSpec spec) {
        ProgramId parent = spec.parent();
        int slash = spec.program().value().lastIndexOf('/');
        String prefix = slash < 0 ? "" : spec.program().value().substring(0, slash);
        if (!prefix.equals(parent == null ? "" : parent.value())) {
            return failed(
                    ErrorCode.INVALID_ARGUMENT,
                    "the id of a sub-agent must be the id of its parent, a slash and a name");
        }
        if (parent == null) {
            return null;
        }
        Program parentProgram = recorder.programs().find(parent);
        if (parentProgram == null) {
            return failed(ErrorCode.NOT_FOUND, "the parent program does not exist");
        }
        if (parentProgram.status() != Program.Status.OPEN) {
            return failed(
                    ErrorCode.PROGRAM_ENDED, "the parent program is not open; its status is " + parentProgram.status());
        }
        return parentProgram.customer().equals(spec.customer())
                ? null
                : failed(ErrorCode.PERMISSION_DENIED, "the parent program belongs to another customer");
    }

    /** Ends or abandons a program and its sub-agents, and replies once all of that is durable. */
    void end(Event.EndRequested event) {
        Program program = recorder.programs().find(event.program());
        if (program == null) {
            refuse(event.tag(), ErrorCode.NOT_FOUND, "the program does not exist");
            return;
        }
        if (event.customer() != null && !program.customer().equals(event.customer())) {
            refuse(event.tag(), ErrorCode.PERMISSION_DENIED, "the program belongs to another customer");
            return;
        }
        Program.Status finalStatus = event.abandon() ? Program.Status.ABANDONED : Program.Status.ENDED;
        endWithDescendants(program, event.actor(), finalStatus);
        pendingTags.add(event.tag());
        recorder.afterAppended(() -> replyDone(event.tag()));
    }

    private void endWithDescendants(Program program, String actor, Program.Status finalStatus) {
        List<Program> family = new ArrayList<>(recorder.programs().descendants(program.id()));
        family.add(program);
        family.stream()
                .filter(member -> member.status() == Program.Status.OPEN || member.status() == Program.Status.DAMAGED)
                .forEach(member -> endOne(member, actor, finalStatus));
    }

    private void endOne(Program program, String actor, Program.Status finalStatus) {
        effects.log("program: " + finalStatus + " " + program.id() + " by " + actor);
        recorder.record(
                Entries.ended(program.id(), actor, finalStatus, nowMs),
                () -> effects.emit(new Effect.ReleaseCache(program.id())));
        if (finalStatus == Program.Status.ABANDONED) {
            calls.abandonCalls(program.id());
        }
    }

    /** Expires idle programs and removes ended ones after their retention period. */
    void tick() {
        if (nowMs - lastSweepMs < SWEEP_INTERVAL_MS) {
            return;
        }
        lastSweepMs = nowMs;
        recorder.programs().all().forEach(this::sweep);
    }

    private void sweep(Program program) {
        boolean hasNoOpenCall = calls.hasNoOpenCall(program.id());
        if (program.status() == Program.Status.OPEN) {
            boolean isIdle =
                    nowMs - lastFamilyEntryMs(program) >= program.created().getTimeToLiveMs();
            if (isIdle && hasNoOpenCall && !program.isInDoubt()) {
                endOne(program, "celerygw", Program.Status.EXPIRED);
            }
            return;
        }
        boolean isRetained = program.endedAtMs() == 0 || nowMs - program.endedAtMs() < settings.retentionMs();
        if (!isRetained
                && hasNoOpenCall
                && recorder.programs().descendants(program.id()).isEmpty()) {
            recorder.record(
                    Entries.removed(program.id(), nowMs),
                    () -> effects.log("program: removed after its retention period: " + program.id()));
        }
    }

    private long lastFamilyEntryMs(Program program) {
        return recorder.programs().descendants(program.id()).stream()
                .mapToLong(Program::lastEntryAtMs)
                .reduce(program.lastEntryAtMs(), Math::max);
    }

    /** Replies to all waiting callers after this host was fenced; whether their changes were recorded is not known. */
    void onFenced() {
        pendingTags.forEach(tag -> effects.emit(new Effect.Reply(
                tag,
                Outcome.failed(
                        ErrorCode.NOT_OWNER,
                        RunState.UNKNOWN,
                        0,
                        "the journal of this host was sealed and it no longer owns the slot"))));
        pendingTags.clear();
    }

    private void replyDone(ReplyTag tag) {
        pendingTags.remove(tag);
        effects.emit(new Effect.Reply(tag, Outcome.answered(200, "application/json", ByteString.EMPTY, 0)));
    }

    private static Outcome failed(ErrorCode code, String message) {
        return Outcome.failed(code, RunState.NOT_RUN, 0, message);
    }

    private void refuse(ReplyTag tag, ErrorCode code, String message) {
        effects.emit(new Effect.Reply(tag, failed(code, message)));
    }
}
