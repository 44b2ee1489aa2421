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

/** Creates, ends, expires and removes programs. */
final class Lifecycle {
    private static final long SWEEP_MS = 1_000;

    private final OwnerSettings settings;
    private final Recorder recorder;
    private final Calls calls;
    private final Io io;
    private final Set<ReplyTag> waiting = new LinkedHashSet<>();
    private long sweptAtMs = Long.MIN_VALUE / 2;
    private long nowMs;

    Lifecycle(OwnerSettings settings, Recorder recorder, Calls calls, Io io) {
        this.settings = settings;
        this.recorder = recorder;
        this.calls = calls;
        this.io = io;
    }

    void at(long timeMs) {
        nowMs = timeMs;
    }

    void create(Event.Created e) {
        ProgramSpec spec = e.spec();
        Created created = Entries.created(spec, e.actor());
        Program existing = recorder.programs().find(spec.program());
        if (existing != null) {
            repeatCreate(existing, created, e.tag());
            return;
        }
        Outcome refusal = refusal(spec);
        if (refusal != null) {
            io.emit(new Effect.Reply(e.tag(), refusal));
            return;
        }
        io.log("program: created " + spec.program() + " for " + spec.customer() + " by " + e.actor());
        waiting.add(e.tag());
        recorder.record(Entries.creation(spec.program(), created, nowMs), () -> done(e.tag()));
    }

    private void repeatCreate(Program existing, Created created, ReplyTag tag) {
        Created same =
                created.toBuilder().setActor(existing.created().getActor()).build();
        if (!existing.created().equals(same)) {
            refuse(tag, ErrorCode.CONFLICT, "the program exists with other settings");
            return;
        }
        // The first creation may still be on its way to the table.
        waiting.add(tag);
        recorder.afterAppended(() -> done(tag));
    }

    private @org.jspecify.annotations.Nullable Outcome refusal(ProgramSpec spec) {
        ProgramId parent = spec.parent();
        int slash = spec.program().value().lastIndexOf('/');
        String prefix = slash < 0 ? "" : spec.program().value().substring(0, slash);
        if (!prefix.equals(parent == null ? "" : parent.value())) {
            return failed(ErrorCode.INVALID_ARGUMENT, "a sub-agent's id is its parent's id, a slash and a name");
        }
        if (parent == null) {
            return null;
        }
        Program above = recorder.programs().find(parent);
        if (above == null) {
            return failed(ErrorCode.NOT_FOUND, "there is no such parent");
        }
        if (above.status() != Program.Status.OPEN) {
            return failed(ErrorCode.PROGRAM_ENDED, "the parent has " + above.status());
        }
        return above.customer().equals(spec.customer())
                ? null
                : failed(ErrorCode.PERMISSION_DENIED, "the parent is another customer's");
    }

    void end(Event.Ended e) {
        Program p = recorder.programs().find(e.program());
        if (p == null) {
            refuse(e.tag(), ErrorCode.NOT_FOUND, "there is no such program");
            return;
        }
        if (e.customer() != null && !p.customer().equals(e.customer())) {
            refuse(e.tag(), ErrorCode.PERMISSION_DENIED, "the program is another customer's");
            return;
        }
        Program.Status how = e.abandon() ? Program.Status.ABANDONED : Program.Status.ENDED;
        end(p, e.actor(), how);
        waiting.add(e.tag());
        recorder.afterAppended(() -> done(e.tag()));
    }

    private void end(Program top, String actor, Program.Status how) {
        List<Program> family = new ArrayList<>(recorder.programs().descendants(top.id()));
        family.add(top);
        family.stream()
                .filter(p -> p.status() == Program.Status.OPEN || p.status() == Program.Status.DAMAGED)
                .forEach(p -> endOne(p, actor, how));
    }

    private void endOne(Program p, String actor, Program.Status how) {
        io.log("program: " + how + " " + p.id() + " by " + actor);
        recorder.record(Entries.ended(p.id(), actor, how, nowMs), () -> io.emit(new Effect.ReleaseCache(p.id())));
        if (how == Program.Status.ABANDONED) {
            calls.abandon(p.id());
        }
    }

    void tick() {
        if (nowMs - sweptAtMs < SWEEP_MS) {
            return;
        }
        sweptAtMs = nowMs;
        recorder.programs().all().forEach(this::sweep);
    }

    private void sweep(Program p) {
        boolean quiet = calls.isQuiet(p.id());
        if (p.status() == Program.Status.OPEN) {
            boolean idle = nowMs - lastAtMs(p) >= p.created().getTimeToLiveMs();
            if (idle && quiet && !p.isInDoubt()) {
                endOne(p, "celerygw", Program.Status.EXPIRED);
            }
            return;
        }
        boolean kept = p.endedAtMs() == 0 || nowMs - p.endedAtMs() < settings.retentionMs();
        if (!kept && quiet && recorder.programs().descendants(p.id()).isEmpty()) {
            recorder.record(Entries.removed(p.id(), nowMs), () -> io.log("program: removed " + p.id()));
        }
    }

    private long lastAtMs(Program p) {
        return recorder.programs().descendants(p.id()).stream()
                .mapToLong(Program::lastAtMs)
                .reduce(p.lastAtMs(), Math::max);
    }

    /** Tells those who wait that nobody here knows whether their change was recorded. */
    void depose() {
        waiting.forEach(tag -> io.emit(new Effect.Reply(
                tag, Outcome.failed(ErrorCode.NOT_OWNER, RunState.UNKNOWN, 0, "this host lost its slots"))));
        waiting.clear();
    }

    private void done(ReplyTag tag) {
        waiting.remove(tag);
        io.emit(new Effect.Reply(tag, Outcome.answered(200, "application/json", ByteString.EMPTY, 0)));
    }

    private static Outcome failed(ErrorCode code, String message) {
        return Outcome.failed(code, RunState.NOT_RUN, 0, message);
    }

    private void refuse(ReplyTag tag, ErrorCode code, String message) {
        io.emit(new Effect.Reply(tag, failed(code, message)));
    }
}
