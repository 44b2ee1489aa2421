package org.celerygw.core.owner;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.celerygw.core.budget.TokenGrants;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.id.Slot;
import org.celerygw.core.journal.BatchReader;
import org.celerygw.core.journal.Journal;
import org.celerygw.core.journal.JournalReader;
import org.celerygw.core.ownership.Ownership;
import org.celerygw.core.program.Program;
import org.celerygw.core.program.ProgramIndex;

/**
 * Owns slots and runs the programs in them. It does no I/O and reads no clock: the host passes it events, one at a time
 * on one thread, and performs the returned effects in order.
 */
public final class Owner {
    private static final long RETRY_HINT_MS = 100;

    private final HostId host;
    private final EffectQueue effects = new EffectQueue();
    private final ProgramIndex programs = new ProgramIndex();
    private final Journal journal;
    private final Ownership ownership;
    private final TokenGrants grants;
    private final CallManager calls;
    private final Lifecycle lifecycle;
    private final Recorder recorder;
    private final JournalReader replay;
    private final SlotManager slots;
    private final long leaseMs;
    private long nowMs;
    private boolean started;
    private boolean fenced;

    /**
     * Creates an owner without slots; it starts to claim slots with the first {@link Event.HostsUpdated}.
     *
     * @param host this host's id; it must not have been used by an earlier process
     * @param settings its intervals and limits
     */
    public Owner(HostId host, OwnerSettings settings) {
        this.host = host;
        this.leaseMs = settings.leaseMs();
        BatchReader contents = new BatchReader(effects, effects);
        journal = new Journal(host, effects, effects, settings.journalPace(), this::onFenced);
        ownership =
                new Ownership(host, effects, settings.leaseSettings(), journal::nextSeq, this::onClaimed, effects::log);
        recorder = new Recorder(programs, journal);
        grants = new TokenGrants(host, effects, settings.grantChunkTokens(), recorder::committedTokens);
        calls = new CallManager(host, settings, recorder, grants, contents, effects);
        lifecycle = new Lifecycle(settings, recorder, calls, effects);
        replay = new JournalReader(effects, effects, contents);
        SnapshotWriter snapshots = new SnapshotWriter(host, effects, programs, journal);
        slots = new SlotManager(
                host,
                settings,
                ownership,
                new Recovery(replay),
                snapshots,
                journal,
                recorder,
                calls,
                effects,
                this::onRecovered);
    }

    /**
     * Handles an event.
     *
     * @param event what happened
     * @param nowMs the current time, in milliseconds since 1970
     * @return the effects to perform, in order
     */
    public List<Effect> handle(Event event, long nowMs) {
        this.nowMs = nowMs;
        calls.setTime(nowMs);
        lifecycle.setTime(nowMs);
        dispatch(event, nowMs);
        writeWhenDue(nowMs);
        return effects.drain();
    }

    /** Starts a due journal write while handling the event that made it due, instead of at the next tick. */
    private void writeWhenDue(long nowMs) {
        if (started && !fenced) {
            journal.tick(nowMs);
        }
    }

    private void dispatch(Event event, long nowMs) {
        if (event instanceof Event.Tick) {
            tick(nowMs);
        } else if (event instanceof Event.HostsUpdated e) {
            started = true;
            ownership.updateHosts(e.hosts());
            journal.setOwnerCount(e.hosts().size());
            tick(nowMs);
        } else if (event instanceof Event.WriteCompleted e) {
            effects.completeWrite(e);
        } else if (event instanceof Event.ReadCompleted e) {
            effects.completeRead(e);
        } else if (event instanceof Event.PutObjectCompleted e) {
            effects.completePut(e);
        } else if (event instanceof Event.GetObjectCompleted e) {
            effects.completeGet(e);
        } else if (event instanceof Event.CeilingUpdated e) {
            grants.setCeiling(e.customer(), e.ceilingTokens());
        } else if (event instanceof Event.SlotRefreshRequested e) {
            ownership.refreshSoon(e.slot());
        } else if (event instanceof Event.DrainRequested) {
            slots.drain();
        } else if (event instanceof Event.OutcomeReported e) {
            calls.settleByService(e);
        } else {
            handleRequest(event);
        }
    }

    private void handleRequest(Event event) {
        if (event instanceof Event.CallSubmitted e) {
            boolean closing = slots.isClosing(e.call().id().program().slot());
            runIfOwned(e.call().id().program(), e.tag(), () -> calls.submit(e.call(), e.tag(), closing));
        } else if (event instanceof Event.CreateRequested e) {
            runIfOwned(e.spec().program(), e.tag(), () -> lifecycle.create(e));
        } else if (event instanceof Event.EndRequested e) {
            runIfOwned(e.program(), e.tag(), () -> lifecycle.end(e));
        } else if (event instanceof Event.SettleRequested e) {
            runIfOwned(e.call().program(), e.tag(), () -> calls.settle(e));
        } else if (event instanceof Event.ExplainRequested e) {
            runIfOwned(e.program(), e.tag(), () -> explain(e));
        } else if (event instanceof Event.CallFinished e) {
            calls.recordOutcome(e.call(), e.attempt(), e.outcome(), e.backend());
        } else if (event instanceof Event.CallerDisconnected e) {
            calls.removeCaller(e.tag());
        } else if (event instanceof Event.ListRequested e) {
            replyJson(e.tag(), ProgramJson.list(programs, e.customers()));
        }
    }

    private void tick(long nowMs) {
        if (!started || fenced) {
            return;
        }
        journal.tick(nowMs);
        if (journal.isOpen()) {
            ownership.tick(nowMs);
            grants.tick(nowMs);
            calls.tick();
            lifecycle.tick();
            replay.tick(nowMs);
            slots.tick(nowMs);
        }
    }

    /**
     * Runs a request for a program if this host owns its slot, else replies with a refusal. If this host's lease may
     * have expired, replies that another owner could contradict are replaced.
     */
    private void runIfOwned(ProgramId program, ReplyTag tag, Runnable action) {
        Slot slot = program.slot();
        String damage = slots.damage(slot);
        if (owns(slot) && damage.isEmpty()) {
            action.run();
            if (nowMs - journal.lastCommitStartMs() >= leaseMs) {
                effects.replaceUnconfirmedReplies(tag);
            }
            return;
        }
        if (owns(slot)) {
            effects.emit(new Effect.Reply(tag, Outcome.failed(ErrorCode.DAMAGED, RunState.UNKNOWN, 0, damage)));
            return;
        }
        ownership.refreshSoon(slot);
        effects.emit(new Effect.Reply(
                tag,
                Outcome.failed(
                        ErrorCode.NOT_OWNER,
                        RunState.NOT_RUN,
                        RETRY_HINT_MS,
                        host + " does not own the slot of the program")));
    }

    private void explain(Event.ExplainRequested event) {
        Program program = programs.find(event.program());
        boolean visible = program != null
                && (event.customer() == null || program.customer().equals(event.customer()));
        if (program == null || !visible) {
            Outcome refusal = Outcome.failed(ErrorCode.NOT_FOUND, RunState.NOT_RUN, 0, "the program does not exist");
            effects.emit(new Effect.Reply(event.tag(), refusal));
            return;
        }
        replyJson(event.tag(), ProgramJson.explain(programs, program));
    }

    private void replyJson(ReplyTag tag, ByteString json) {
        effects.emit(new Effect.Reply(tag, Outcome.answered(200, "application/json", json, 0)));
    }

    private void onClaimed(List<Ownership.SlotRecord> claims) {
        slots.onClaimed(claims);
    }

    private void onRecovered(Recovery.Result result) {
        Recovery.programsWithUnfinishedCall(result.programs()).forEach(calls::resolveUnfinishedCall);
        // The previous owner may have stopped before the engines released the caches of ended programs; releasing them
        // twice is harmless.
        result.programs().all().stream()
                .filter(program -> program.endedAtMs() > 0)
                .forEach(program -> effects.emit(new Effect.ReleaseCache(program.id())));
        result.tallies().forEach((sealedHost, tallies) -> grants.returnUnspent(new HostId(sealedHost), tallies));
    }

    private void onFenced() {
        fenced = true;
        calls.onFenced();
        lifecycle.onFenced();
        effects.log("lease: " + host + ": journal was sealed by another host; this host owns no slots any more");
        effects.emit(new Effect.Fenced());
    }

    /**
     * Returns whether this host owns the slot and has recovered its programs.
     *
     * @param slot the slot
     * @return true when this host handles calls of the slot's programs
     */
    public boolean owns(Slot slot) {
        return !fenced && slots.isActive(slot);
    }

    /**
     * Returns the host that owns a slot as far as this host knows.
     *
     * @param slot the slot
     * @return the owner in the last row that was read, or else the host that the slot is assigned to; empty as long as
     *     no hosts are known
     */
    public Optional<HostId> ownerOf(Slot slot) {
        return ownership.ownerOf(slot);
    }

    /**
     * Returns the number of slots that this host owns and has recovered.
     *
     * @return the number; 0 after this host was fenced
     */
    public int ownedSlotCount() {
        return fenced ? 0 : slots.activeCount();
    }

    /**
     * Returns whether a program is in a slot of this host and has not ended.
     *
     * @param program the program
     * @return false also when the program is not known here
     */
    public boolean isOpen(ProgramId program) {
        Program found = programs.find(program);
        return found != null && found.endedAtMs() == 0;
    }

    /**
     * Returns whether every slot has been handed over after {@link Event.DrainRequested}.
     *
     * @return true when this host may stop; also true after it was fenced
     */
    public boolean isDrained() {
        return fenced || slots.isDrained();
    }
}
