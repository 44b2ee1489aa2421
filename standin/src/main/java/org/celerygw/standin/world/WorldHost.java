package org.celerygw.standin.world;

import java.util.ArrayList;
import java.util.List;
import org.celerygw.core.id.HostId;
import org.celerygw.core.owner.Effect;
import org.celerygw.core.owner.Event;
import org.celerygw.core.owner.Owner;

/** One host incarnation: an owner with its timers, which may crash or pause. */
final class WorldHost {
    private static final long TICK_MS = 50;

    private final HostId id;
    private final World world;
    private final Owner owner;
    private final List<Event> heldBack = new ArrayList<>();
    private boolean crashed;
    private boolean paused;
    private boolean draining;
    private boolean left;
    private int underWay;

    WorldHost(HostId id, World world) {
        this.id = id;
        this.world = world;
        this.owner = new Owner(id, world.settings());
        tick();
    }

    private void tick() {
        if (crashed || left) {
            return;
        }
        give(new Event.Tick());
        world.time().after(TICK_MS, this::tick);
    }

    void give(Event event) {
        if (crashed || left) {
            return;
        }
        if (paused) {
            if (!(event instanceof Event.Tick)) {
                heldBack.add(event);
            }
            return;
        }
        Event told = world.mutation().events().change(this, event);
        List<Effect> wanted = owner.handle(told, world.time().nowMs());
        world.mutation().effects().change(this, told, wanted).forEach(this::act);
    }

    private void act(Effect effect) {
        if (effect instanceof Effect.Write e) {
            world.store().write(e.txn(), result -> give(new Event.WriteCompleted(e.requestId(), result)));
        } else if (effect instanceof Effect.Read e) {
            world.store().read(e.keys(), answer -> give(new Event.ReadCompleted(e.requestId(), answer)));
        } else if (effect instanceof Effect.Scan e) {
            world.store()
                    .scan(
                            e.prefix(),
                            e.afterKey(),
                            e.limit(),
                            answer -> give(new Event.ReadCompleted(e.requestId(), answer)));
        } else if (effect instanceof Effect.PutObject e) {
            world.store().put(e.name(), e.content(), ok -> give(new Event.PutObjectCompleted(e.requestId(), ok)));
        } else if (effect instanceof Effect.GetObject e) {
            world.store().get(e.name(), fetched -> give(new Event.GetObjectCompleted(e.requestId(), fetched)));
        } else if (effect instanceof Effect.DeleteObject e) {
            world.store().delete(e.name(), gone -> {});
        } else if (effect instanceof Effect.Dispatch e) {
            dispatch(e);
        } else if (effect instanceof Effect.Reply e) {
            world.replied(e.tag(), e.outcome());
        } else {
            note(effect);
        }
    }

    private void note(Effect effect) {
        if (effect instanceof Effect.ReleaseCache e) {
            world.oracle().released(e.program());
        } else if (effect instanceof Effect.Log e) {
            world.log(id + " " + e.line());
        } else if (effect instanceof Effect.Fenced) {
            crash();
            world.lost(this);
        } else if (effect instanceof Effect.Drained) {
            world.oracle().drained(id, underWay);
            left = true;
            world.lost(this);
        }
    }

    private void dispatch(Effect.Dispatch e) {
        underWay++;
        world.log(id + " route: sends " + e.call().id() + " attempt " + e.attempt());
        world.backend().send(e.call(), outcome -> {
            underWay--;
            if (!crashed) {
                world.oracle().ended(e.call().id());
            }
            give(new Event.CallFinished(e.call().id(), e.attempt(), outcome, "backend"));
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
        List<Event> late = List.copyOf(heldBack);
        heldBack.clear();
        late.forEach(this::give);
    }

    void drain() {
        draining = true;
        give(new Event.DrainRequested());
    }

    HostId id() {
        return id;
    }

    Owner owner() {
        return owner;
    }

    boolean isLive() {
        return !crashed && !left;
    }

    boolean isPaused() {
        return paused;
    }

    boolean isDraining() {
        return draining;
    }
}
