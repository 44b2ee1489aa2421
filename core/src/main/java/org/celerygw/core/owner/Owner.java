package org.celerygw.core.owner;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.celerygw.core.budget.Grants;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.id.Slot;
import org.celerygw.core.journal.Contents;
import org.celerygw.core.journal.Journal;
import org.celerygw.core.journal.Replay;
import org.celerygw.core.ownership.Ownership;
import org.celerygw.core.program.Program;
import org.celerygw.core.program.Programs;

/**
 * Owns slots and decides the calls of the programs in them. Give it events, one at a time on one thread, and do
 * the effects that it returns, in order.
 */
public final class Owner {
    private static final long RETRY_HINT_MS = 100;

    private final HostId host;
    private final Io io = new Io();
    private final Programs programs = new Programs();
    private final Journal journal;
    private final Ownership ownership;
    private final Grants grants;
    private final Calls calls;
    private final Lifecycle lifecycle;
    private final Recorder recorder;
    private final Replay replay;
    private final Slots slots;
    private final long leaseMs;
    private long nowMs;
    private boolean begun;
    private boolean deposed;

    /**
     * Makes an owner that owns nothing yet; it begins with the first {@link Event.HostsSeen}.
     *
     * @param host this host's id, never used before
     * @param settings how it paces itself
     */
    public Owner(HostId host, OwnerSettings settings) {
        this.host = host;
        this.leaseMs = settings.leaseMs();
        Contents contents = new Contents(io, io);
        journal = new Journal(host, io, io, settings.pace(), this::depose);
        ownership = new Ownership(host, io, settings.lease(), journal::nextSeq, this::claimed, io::log);
        recorder = new Recorder(programs, journal);
        grants = new Grants(host, io, settings.grantTokens(), recorder::tally);
        calls = new Calls(host, settings, recorder, grants, contents, io);
        lifecycle = new Lifecycle(settings, recorder, calls, io);
        replay = new Replay(io, io, contents);
        Snapshots snapshots = new Snapshots(host, io, programs, journal);
        slots = new Slots(
                host,
                settings,
                ownership,
                new Recovery(replay),
                snapshots,
                journal,
                recorder,
                calls,
                io,
                this::recovered);
    }

    /**
     * Takes an event.
     *
     * @param event what happened
     * @param nowMs the time now
     * @return what to do, in order
     */
    public List<Effect> handle(Event event, long nowMs) {
        this.nowMs = nowMs;
        calls.at(nowMs);
        lifecycle.at(nowMs);
        dispatch(event, nowMs);
        writeWhenDue(nowMs);
        return io.take();
    }

    /** Begins a write with the event that made it due, rather than at the next tick. */
    private void writeWhenDue(long nowMs) {
        if (begun && !deposed) {
            journal.tick(nowMs);
        }
    }

    private void dispatch(Event event, long nowMs) {
        if (event instanceof Event.Tick) {
            tick(nowMs);
        } else if (event instanceof Event.HostsSeen e) {
            begun = true;
            ownership.hostsSeen(e.hosts());
            journal.shareAmong(e.hosts().size());
            tick(nowMs);
        } else if (event instanceof Event.Wrote e) {
            io.wrote(e);
        } else if (event instanceof Event.ReadDone e) {
            io.readDone(e);
        } else if (event instanceof Event.ObjectPut e) {
            io.objectPut(e);
        } else if (event instanceof Event.ObjectRead e) {
            io.objectRead(e);
        } else if (event instanceof Event.CeilingSet e) {
            grants.ceiling(e.customer(), e.ceilingTokens());
        } else if (event instanceof Event.SlotMissed e) {
            ownership.miss(e.slot());
        } else if (event instanceof Event.Draining) {
            slots.drain();
        } else if (event instanceof Event.OutcomeFound e) {
            calls.outcomeFound(e);
        } else {
            ask(event);
        }
    }

    private void ask(Event event) {
        if (event instanceof Event.Submitted e) {
            boolean closing = slots.isClosing(e.call().id().program().slot());
            where(e.call().id().program(), e.tag(), () -> calls.submit(e.call(), e.tag(), closing));
        } else if (event instanceof Event.Created e) {
            where(e.spec().program(), e.tag(), () -> lifecycle.create(e));
        } else if (event instanceof Event.Ended e) {
            where(e.program(), e.tag(), () -> lifecycle.end(e));
        } else if (event instanceof Event.Settled e) {
            where(e.call().program(), e.tag(), () -> calls.settle(e));
        } else if (event instanceof Event.Explained e) {
            where(e.program(), e.tag(), () -> explain(e));
        } else if (event instanceof Event.Finished e) {
            calls.finished(e.call(), e.attempt(), e.outcome(), e.backend());
        } else if (event instanceof Event.CallerGone e) {
            calls.callerGone(e.tag());
        } else if (event instanceof Event.Listed e) {
            json(e.tag(), Views.list(programs, e.customers()));
        }
    }

    private void tick(long nowMs) {
        if (!begun || deposed) {
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

    private void where(ProgramId program, ReplyTag tag, Runnable here) {
        Slot slot = program.slot();
        String damage = slots.damage(slot);
        if (owns(slot) && damage.isEmpty()) {
            here.run();
            if (nowMs - journal.confirmedMs() >= leaseMs) {
                io.doubt(tag);
            }
            return;
        }
        if (owns(slot)) {
            io.emit(new Effect.Reply(tag, Outcome.failed(ErrorCode.DAMAGED, RunState.UNKNOWN, 0, damage)));
            return;
        }
        ownership.miss(slot);
        io.emit(new Effect.Reply(
                tag,
                Outcome.failed(ErrorCode.NOT_OWNER, RunState.NOT_RUN, RETRY_HINT_MS, host + " does not own the slot")));
    }

    private void explain(Event.Explained e) {
        Program p = programs.find(e.program());
        boolean visible = p != null && (e.customer() == null || p.customer().equals(e.customer()));
        if (p == null || !visible) {
            Outcome none = Outcome.failed(ErrorCode.NOT_FOUND, RunState.NOT_RUN, 0, "there is no such program");
            io.emit(new Effect.Reply(e.tag(), none));
            return;
        }
        json(e.tag(), Views.explain(programs, p));
    }

    private void json(ReplyTag tag, ByteString json) {
        io.emit(new Effect.Reply(tag, Outcome.answered(200, "application/json", json, 0)));
    }

    private void claimed(List<Ownership.Claim> claims) {
        slots.claimed(claims);
    }

    private void recovered(Recovery.Result result) {
        Recovery.inDoubt(result.programs()).forEach(calls::resolve);
        // The owner before may have ended before it told the engines; releasing again does no harm.
        result.programs().all().stream()
                .filter(p -> p.endedAtMs() > 0)
                .forEach(p -> io.emit(new Effect.ReleaseCache(p.id())));
        result.tallies().forEach((gone, tallies) -> grants.close(new HostId(gone), tallies));
    }

    private void depose() {
        deposed = true;
        calls.depose();
        lifecycle.depose();
        io.log("lease: " + host + " was sealed and owns nothing any more");
        io.emit(new Effect.Deposed());
    }

    /**
     * Returns whether this host owns the slot and has recovered its programs.
     *
     * @param slot the slot
     * @return true when calls in the slot can be decided here
     */
    public boolean owns(Slot slot) {
        return !deposed && slots.isActive(slot);
    }

    /**
     * Returns the host that owns a slot as far as this host knows.
     *
     * @param slot the slot
     * @return the owner read last, or the host that should own it; empty before hosts were seen
     */
    public Optional<HostId> ownerOf(Slot slot) {
        return ownership.ownerOf(slot);
    }

    /**
     * Returns how many slots this host owns.
     *
     * @return the number
     */
    public int slotsOwned() {
        return deposed ? 0 : slots.activeCount();
    }

    /**
     * Returns whether a program in a slot of this host has not ended.
     *
     * @param program the program
     * @return true when it goes on
     */
    public boolean isLive(ProgramId program) {
        Program p = programs.find(program);
        return p != null && p.endedAtMs() == 0;
    }

    /**
     * Returns whether every slot has been handed over after {@link Event.Draining}.
     *
     * @return true when this host may leave
     */
    public boolean isDrained() {
        return deposed || slots.isDrained();
    }
}
