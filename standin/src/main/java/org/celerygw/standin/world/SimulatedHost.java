package org.celerygw.standin.world;

import java.util.ArrayList;
import java.util.List;
import org.celerygw.core.id.HostId;
import org.celerygw.core.owner.Effect;
import org.celerygw.core.owner.Event;
import org.celerygw.core.owner.Owner;

/** One incarnation of a host: an owner and its timer. It can crash, pause or stop as planned. */
final class SimulatedHost {
    private static final long TICK_MS = 50;

    private final HostId id;
    private final Simulation simulation;
    private final Owner owner;
    private final List<Event> deferredEvents = new ArrayList<>();
    private boolean crashed;
    private boolean paused;
    private boolean draining;
    private boolean stopped;
    private int callsInFlight;

    SimulatedHost(HostId id, Simulation simulation) {
        this.id = id;
        this.simulation = simulation;
        this.owner = new Owner(id, simulation.settings());
        tick();
    }

    private void tick() {
        if (crashed || stopped) {
            return;
        }
        deliver(new Event.Tick());
        simulation.clock().schedule(TICK_MS, this::tick);
    }

    void deliver(Event event) {
        if (crashed || stopped) {
            return;
        }
        if (paused) {
            if (!(event instanceof Event.Tick)) {
                deferredEvents.add(event);
            }
            return;
        }
        Event changed = simulation.mutation().eventChange().apply(this, event);
        List<Effect> requested = owner.handle(changed, simulation.clock().nowMs());
        simulation.mutation().effectChange().apply(this, changed, requested).forEach(this::execute);
    }

    private void execute(Effect effect) {
        if (effect instanceof Effect.Write e) {
            simulation.store().write(e.txn(), result -> deliver(new Event.WriteCompleted(e.requestId(), result)));
        } else if (effect instanceof Effect.Read e) {
            simulation
                    .store()
                    .read(e.keys(), readResult -> deliver(new Event.ReadCompleted(e.requestId(), readResult)));
        } else if (effect instanceof Effect.Scan e) {
            simulation
                    .store()
                    .scan(
                            e.prefix(),
                            e.afterKey(),
                            e.limit(),
                            readResult -> deliver(new Event.ReadCompleted(e.requestId(), readResult)));
        } else if (effect instanceof Effect.PutObject e) {
            simulation
                    .store()
                    .put(e.name(), e.content(), stored -> deliver(new Event.PutObjectCompleted(e.requestId(), stored)));
        } else if (effect instanceof Effect.GetObject e) {
            simulation
                    .store()
                    .get(e.name(), getResult -> deliver(new Event.GetObjectCompleted(e.requestId(), getResult)));
        } else if (effect instanceof Effect.DeleteObject e) {
            simulation.store().delete(e.name(), deleted -> {});
        } else if (effect instanceof Effect.Dispatch e) {
            dispatch(e);
        } else if (effect instanceof Effect.Reply e) {
            simulation.replyReceived(e.tag(), e.outcome());
        } else {
            handleNotification(effect);
        }
    }

    private void handleNotification(Effect effect) {
        if (effect instanceof Effect.ReleaseCache e) {
            simulation.oracle().cacheReleased(e.program());
        } else if (effect instanceof Effect.Log e) {
            simulation.log(id + " " + e.line());
        } else if (effect instanceof Effect.Fenced) {
            crash();
            simulation.hostStopped(this);
        } else if (effect instanceof Effect.Drained) {
            simulation.oracle().hostDrained(id, callsInFlight);
            stopped = true;
            simulation.hostStopped(this);
        }
    }

    private void dispatch(Effect.Dispatch e) {
        callsInFlight++;
        simulation.log(id + " route: sends " + e.call().id() + " attempt " + e.attempt());
        simulation.backend().send(e.call(), outcome -> {
            callsInFlight--;
            if (!crashed) {
                simulation.oracle().callResolved(e.call().id());
            }
            deliver(new Event.CallFinished(e.call().id(), e.attempt(), outcome, "backend"));
        });
    }

    void crash() {
        crashed = true;
    }

    void pause() {
        paused = true;
    }

    void resume() {
        if (!paused) {
            return;
        }
        paused = false;
        List<Event> deferred = List.copyOf(deferredEvents);
        deferredEvents.clear();
        deferred.forEach(this::deliver);
    }

    void drain() {
        draining = true;
        deliver(new Event.DrainRequested());
    }

    HostId id() {
        return id;
    }

    Owner owner() {
        return owner;
    }

    boolean isLive() {
        return !crashed && !stopped;
    }

    boolean isPaused() {
        return paused;
    }

    boolean isDraining() {
        return draining;
    }
}
