package org.celerygw.daemon.work;

import com.google.protobuf.ByteString;
import io.vertx.core.Context;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.id.Slot;
import org.celerygw.core.owner.Effect;
import org.celerygw.core.owner.Event;
import org.celerygw.core.owner.Owner;
import org.celerygw.core.owner.ReplyTag;
import org.celerygw.core.store.ObjectStore;
import org.celerygw.core.store.Table;
import org.celerygw.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs an {@link Owner} on one event loop: feeds it events, does its effects, and relays streams to waiting callers.
 * Every method must be called on that loop.
 */
public final class OwnerHost {
    private static final Logger LOG = LoggerFactory.getLogger(OwnerHost.class);

    private final Context context;
    private final Clock clock;
    private final Owner owner;
    private final Table table;
    private final ObjectStore objects;
    private final Sender sender;
    private final Runnable onDeposed;
    private final Consumer<String> decisions;
    private final Consumer<Effect.Spent> spent;
    private final Deque<Event> inbox = new ArrayDeque<>();
    private final Map<ReplyTag, Waiting> waiting = new HashMap<>();
    private final Map<CallId, Map<ReplyTag, Waiting>> byCall = new HashMap<>();
    private final Map<CallId, LiveStream> streams = new HashMap<>();
    private long lastTag;
    private boolean busy;
    private boolean stopped;

    private record Waiting(
            ReplyTag tag, @org.jspecify.annotations.Nullable CallRequest call, Responder responder) {}

    /**
     * What an owner host works with.
     *
     * @param context the event loop on which everything runs
     * @param clock the time
     * @param owner the owner to run
     * @param table the platform's table
     * @param objects the platform's object store
     * @param sender sends calls to back ends
     * @param onDeposed told when this host must stop owning
     * @param decisions given each decision line
     * @param spent told what customers spent here
     */
    public record Parts(
            Context context,
            Clock clock,
            Owner owner,
            Table table,
            ObjectStore objects,
            Sender sender,
            Runnable onDeposed,
            Consumer<String> decisions,
            Consumer<Effect.Spent> spent) {}

    /**
     * Makes a host for an owner.
     *
     * @param parts what it works with
     */
    public OwnerHost(Parts parts) {
        this.context = parts.context();
        this.clock = parts.clock();
        this.owner = parts.owner();
        this.table = parts.table();
        this.objects = parts.objects();
        this.sender = parts.sender();
        this.onDeposed = parts.onDeposed();
        this.decisions = parts.decisions();
        this.spent = parts.spent();
    }

    /**
     * Submits a call.
     *
     * @param call the call
     * @param responder gets the stream and the outcome
     * @return the tag to name when the caller goes away
     */
    public ReplyTag submit(CallRequest call, Responder responder) {
        Waiting w = new Waiting(nextTag(), call, responder);
        byCall.computeIfAbsent(call.id(), id -> new LinkedHashMap<>()).put(w.tag(), w);
        waiting.put(w.tag(), w);
        tell(new Event.Submitted(call, w.tag()));
        if (waiting.containsKey(w.tag())) {
            catchUp(w);
        }
        return w.tag();
    }

    /**
     * Asks the owner for something that ends in one outcome.
     *
     * @param event makes the event from the tag
     * @param done given the outcome
     */
    public void ask(Function<ReplyTag, Event> event, Consumer<Outcome> done) {
        ReplyTag tag = nextTag();
        waiting.put(tag, new Waiting(tag, null, Responder.outcome(done)));
        tell(event.apply(tag));
    }

    /**
     * Notes that a caller went away; nothing more is sent to it.
     *
     * @param tag the caller's tag
     */
    public void gone(ReplyTag tag) {
        if (forget(tag).isPresent()) {
            tell(new Event.CallerGone(tag));
        }
    }

    /**
     * Gives the owner an event and does what it asks for.
     *
     * @param event what happened
     */
    public void tell(Event event) {
        inbox.add(event);
        if (busy || stopped) {
            return;
        }
        busy = true;
        try {
            while (!inbox.isEmpty() && !stopped) {
                owner.handle(inbox.poll(), clock.nowMs()).forEach(this::perform);
            }
        } finally {
            busy = false;
        }
    }

    /**
     * Returns whether this host owns the slot and can decide its calls.
     *
     * @param slot the slot
     * @return true when it does
     */
    public boolean owns(Slot slot) {
        return owner.owns(slot);
    }

    /**
     * Returns the host that owns a slot as far as this host knows.
     *
     * @param slot the slot
     * @return the host, or empty
     */
    public Optional<HostId> ownerOf(Slot slot) {
        return owner.ownerOf(slot);
    }

    /**
     * Returns how many slots this host owns.
     *
     * @return the number
     */
    public int slotsOwned() {
        return owner.slotsOwned();
    }

    /**
     * Returns whether every slot has been handed over after {@link Event.Draining}.
     *
     * @return true when this host may leave
     */
    public boolean isDrained() {
        return owner.isDrained();
    }

    /**
     * Returns whether a program in a slot of this host has not ended.
     *
     * @param program the program
     * @return true when it goes on
     */
    public boolean isLive(ProgramId program) {
        return owner.isLive(program);
    }

    /** Stops at once: nothing more is decided or sent, waiting callers get no answer. */
    public void kill() {
        stopped = true;
        inbox.clear();
        waiting.clear();
        byCall.clear();
    }

    /**
     * Returns how many callers wait for an outcome.
     *
     * @return the number
     */
    public int waitingCallers() {
        return waiting.size();
    }

    private ReplyTag nextTag() {
        return new ReplyTag(++lastTag);
    }

    private void later(Event event) {
        context.runOnContext(v -> tell(event));
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.Write e) {
            table.write(e.txn(), r -> later(new Event.Wrote(e.request(), r)));
        } else if (effect instanceof Effect.Read e) {
            table.read(e.keys(), a -> later(new Event.ReadDone(e.request(), a)));
        } else if (effect instanceof Effect.Scan e) {
            table.scan(e.prefix(), e.afterKey(), e.limit(), a -> later(new Event.ReadDone(e.request(), a)));
        } else if (effect instanceof Effect.PutObject e) {
            objects.put(e.name(), e.content(), ok -> later(new Event.ObjectPut(e.request(), ok)));
        } else if (effect instanceof Effect.GetObject e) {
            objects.get(e.name(), f -> later(new Event.ObjectRead(e.request(), f)));
        } else if (effect instanceof Effect.DeleteObject e) {
            objects.delete(e.name(), ok -> {});
        } else if (effect instanceof Effect.Dispatch e) {
            dispatch(e);
        } else if (effect instanceof Effect.Abort e) {
            sender.abort(e.call(), e.attempt());
        } else if (effect instanceof Effect.Reply e) {
            reply(e);
        } else if (effect instanceof Effect.AskOutcome e) {
            sender.askOutcome(e, this::tell);
        } else if (effect instanceof Effect.Spent e) {
            spent.accept(e);
        } else if (effect instanceof Effect.ReleaseCache e) {
            sender.release(e.program());
        } else if (effect instanceof Effect.Log e) {
            LOG.info("{}", e.line());
            decisions.accept(e.line());
        } else if (effect instanceof Effect.Deposed) {
            deposed();
        }
    }

    private void dispatch(Effect.Dispatch e) {
        CallId id = e.call().id();
        LiveStream stream = new LiveStream(e.call());
        streams.put(id, stream);
        sender.dispatch(e, (offset, bytes) -> relay(stream, offset, bytes), finished -> {
            streams.remove(id, stream);
            tell(finished);
        });
    }

    private void relay(LiveStream stream, long offsetBytes, ByteString bytes) {
        if (stopped) {
            return;
        }
        stream.add(offsetBytes, bytes).ifPresent(part -> listeners(stream)
                .forEach(w -> w.responder().chunk(part.offsetBytes(), part.bytes())));
    }

    private List<Waiting> listeners(LiveStream stream) {
        return byCall.getOrDefault(stream.call().id(), Map.of()).values().stream()
                .filter(w -> stream.answers(w.call()))
                .toList();
    }

    private void catchUp(Waiting w) {
        LiveStream stream = streams.get(w.call().id());
        if (stream != null && stream.answers(w.call()) && !stream.isEmpty()) {
            w.responder().chunk(0, stream.sofar());
        }
    }

    private void reply(Effect.Reply e) {
        forget(e.tag()).ifPresent(w -> w.responder().end(e.outcome()));
    }

    private Optional<Waiting> forget(ReplyTag tag) {
        Waiting w = waiting.remove(tag);
        if (w == null) {
            return Optional.empty();
        }
        if (w.call() != null) {
            CallId id = w.call().id();
            Map<ReplyTag, Waiting> others = byCall.getOrDefault(id, Map.of());
            others.remove(tag);
            if (others.isEmpty()) {
                byCall.remove(id);
            }
        }
        return Optional.of(w);
    }

    private void deposed() {
        stopped = true;
        Outcome lost = Outcome.failed(
                ErrorCode.NOT_OWNER, RunState.UNKNOWN, 200, "This host lost its slots; ask again with the same key.");
        List<Waiting> all = new ArrayList<>(waiting.values());
        waiting.clear();
        byCall.clear();
        all.forEach(w -> w.responder().end(lost));
        onDeposed.run();
    }
}
