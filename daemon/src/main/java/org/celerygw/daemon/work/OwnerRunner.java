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
 * Runs an {@link Owner} on one event loop: delivers events to it, executes the effects that it returns, and relays
 * response streams to waiting callers. Not thread-safe: every method must be called on that loop.
 */
public final class OwnerRunner {
    private static final Logger LOG = LoggerFactory.getLogger(OwnerRunner.class);
    private static final long RETRY_AFTER_MS = 200;

    private final Context context;
    private final Clock clock;
    private final Owner owner;
    private final Table table;
    private final ObjectStore objectStore;
    private final Sender sender;
    private final Runnable onFenced;
    private final Consumer<String> decisionLog;
    private final Consumer<Effect.Spent> onTokensSpent;
    private final Deque<Event> eventQueue = new ArrayDeque<>();
    private final Map<ReplyTag, WaitingCaller> callersByTag = new HashMap<>();
    private final Map<CallId, Map<ReplyTag, WaitingCaller>> callersByCall = new HashMap<>();
    private final Map<CallId, ResponseStream> streamsByCall = new HashMap<>();
    private long lastTag;
    private boolean handlingEvents;
    private boolean stopped;

    private record WaitingCaller(
            ReplyTag tag, @org.jspecify.annotations.Nullable CallRequest call, Responder responder) {}

    /**
     * The owner and the services that its effects are executed with.
     *
     * @param context the event loop on which the owner runs and results are delivered
     * @param clock the source of the time passed with each event
     * @param owner the state machine to run
     * @param table the store's table, for transactions, reads and scans
     * @param objectStore the store's objects
     * @param sender sends calls to backend servers
     * @param onFenced called after the owner was fenced and all waiting callers received NOT_OWNER
     * @param decisionLog receives each line of the owner's decision log
     * @param onTokensSpent receives the tokens that a customer spent on this host
     */
    public record Dependencies(
            Context context,
            Clock clock,
            Owner owner,
            Table table,
            ObjectStore objectStore,
            Sender sender,
            Runnable onFenced,
            Consumer<String> decisionLog,
            Consumer<Effect.Spent> onTokensSpent) {}

    /**
     * Creates a runner for an owner; it is idle until the first event.
     *
     * @param dependencies the owner and the services that its effects are executed with
     */
    public OwnerRunner(Dependencies dependencies) {
        this.context = dependencies.context();
        this.clock = dependencies.clock();
        this.owner = dependencies.owner();
        this.table = dependencies.table();
        this.objectStore = dependencies.objectStore();
        this.sender = dependencies.sender();
        this.onFenced = dependencies.onFenced();
        this.decisionLog = dependencies.decisionLog();
        this.onTokensSpent = dependencies.onTokensSpent();
    }

    /**
     * Submits a call. A caller that repeats a call in flight first receives what was streamed so far.
     *
     * @param call the call to admit
     * @param responder receives the response stream and the outcome
     * @return the tag that identifies this caller, for {@link #callerDisconnected}
     */
    public ReplyTag submit(CallRequest call, Responder responder) {
        WaitingCaller caller = new WaitingCaller(nextTag(), call, responder);
        callersByCall.computeIfAbsent(call.id(), id -> new LinkedHashMap<>()).put(caller.tag(), caller);
        callersByTag.put(caller.tag(), caller);
        handle(new Event.CallSubmitted(call, caller.tag()));
        if (callersByTag.containsKey(caller.tag())) {
            sendStreamedSoFar(caller);
        }
        return caller.tag();
    }

    /**
     * Sends the owner a request that ends in one outcome, without a stream.
     *
     * @param createEvent creates the event for the reply tag
     * @param callback receives the outcome; not called if the runner stops through {@link #kill} or has stopped before
     */
    public void request(Function<ReplyTag, Event> createEvent, Consumer<Outcome> callback) {
        ReplyTag tag = nextTag();
        callersByTag.put(tag, new WaitingCaller(tag, null, Responder.forOutcome(callback)));
        handle(createEvent.apply(tag));
    }

    /**
     * Removes a caller that disconnected and notifies the owner; nothing more is sent to the caller.
     *
     * @param tag the tag that {@link #submit} returned; an unknown tag is ignored
     */
    public void callerDisconnected(ReplyTag tag) {
        if (removeCaller(tag).isPresent()) {
            handle(new Event.CallerDisconnected(tag));
        }
    }

    /**
     * Delivers an event to the owner and executes the resulting effects. An event that arrives while another is being
     * handled is queued and handled afterwards, so the owner is never called recursively.
     *
     * @param event the event; not handled once the runner has stopped
     */
    public void handle(Event event) {
        eventQueue.add(event);
        if (handlingEvents || stopped) {
            return;
        }
        handlingEvents = true;
        try {
            while (!eventQueue.isEmpty() && !stopped) {
                owner.handle(eventQueue.poll(), clock.nowMs()).forEach(this::execute);
            }
        } finally {
            handlingEvents = false;
        }
    }

    /**
     * Returns whether this host owns the slot and can decide its calls.
     *
     * @param slot the slot to look up
     * @return whether calls of this slot can be submitted here
     */
    public boolean owns(Slot slot) {
        return owner.owns(slot);
    }

    /**
     * Returns the last known owner of a slot, which may be out of date.
     *
     * @param slot the slot to look up
     * @return the owning host, or empty when none is known
     */
    public Optional<HostId> ownerOf(Slot slot) {
        return owner.ownerOf(slot);
    }

    /**
     * Returns how many slots this host owns.
     *
     * @return the number of owned slots
     */
    public int ownedSlotCount() {
        return owner.ownedSlotCount();
    }

    /**
     * Returns whether every slot has been handed over after {@link Event.DrainRequested}.
     *
     * @return true when this host may leave the fleet
     */
    public boolean isDrained() {
        return owner.isDrained();
    }

    /**
     * Returns whether a program is in a slot of this host and has not ended.
     *
     * @param program the program to look up
     * @return true while the program is open on this host
     */
    public boolean isOpen(ProgramId program) {
        return owner.isOpen(program);
    }

    /** Stops immediately: later events are not handled and waiting callers receive no outcome. */
    public void kill() {
        stopped = true;
        eventQueue.clear();
        callersByTag.clear();
        callersByCall.clear();
    }

    /**
     * Returns how many callers wait for an outcome.
     *
     * @return the number of waiting callers
     */
    public int waitingCallerCount() {
        return callersByTag.size();
    }

    private ReplyTag nextTag() {
        return new ReplyTag(++lastTag);
    }

    private void handleLater(Event event) {
        context.runOnContext(v -> handle(event));
    }

    private void execute(Effect effect) {
        if (effect instanceof Effect.Write e) {
            table.write(e.txn(), result -> handleLater(new Event.WriteCompleted(e.requestId(), result)));
        } else if (effect instanceof Effect.Read e) {
            table.read(e.keys(), result -> handleLater(new Event.ReadCompleted(e.requestId(), result)));
        } else if (effect instanceof Effect.Scan e) {
            table.scan(
                    e.prefix(),
                    e.afterKey(),
                    e.limit(),
                    result -> handleLater(new Event.ReadCompleted(e.requestId(), result)));
        } else if (effect instanceof Effect.PutObject e) {
            objectStore.put(
                    e.name(), e.content(), stored -> handleLater(new Event.PutObjectCompleted(e.requestId(), stored)));
        } else if (effect instanceof Effect.GetObject e) {
            objectStore.get(e.name(), result -> handleLater(new Event.GetObjectCompleted(e.requestId(), result)));
        } else if (effect instanceof Effect.DeleteObject e) {
            objectStore.delete(e.name(), deleted -> {});
        } else if (effect instanceof Effect.Dispatch e) {
            dispatch(e);
        } else if (effect instanceof Effect.Abort e) {
            sender.abort(e.call(), e.attempt());
        } else if (effect instanceof Effect.Reply e) {
            completeCaller(e);
        } else if (effect instanceof Effect.QueryOutcome e) {
            sender.queryOutcome(e, this::handle);
        } else if (effect instanceof Effect.Spent e) {
            onTokensSpent.accept(e);
        } else if (effect instanceof Effect.ReleaseCache e) {
            sender.releaseCache(e.program());
        } else if (effect instanceof Effect.Log e) {
            LOG.info("{}", e.line());
            decisionLog.accept(e.line());
        } else if (effect instanceof Effect.Fenced) {
            stopFenced();
        }
    }

    private void dispatch(Effect.Dispatch effect) {
        CallId id = effect.call().id();
        ResponseStream stream = new ResponseStream(effect.call());
        streamsByCall.put(id, stream);
        sender.dispatch(effect, (offsetBytes, bytes) -> relayPart(stream, offsetBytes, bytes), finished -> {
            streamsByCall.remove(id, stream);
            handle(finished);
        });
    }

    private void relayPart(ResponseStream stream, long offsetBytes, ByteString bytes) {
        if (stopped) {
            return;
        }
        stream.append(offsetBytes, bytes).ifPresent(part -> streamReceivers(stream)
                .forEach(caller -> caller.responder().chunk(part.offsetBytes(), part.bytes())));
    }

    private List<WaitingCaller> streamReceivers(ResponseStream stream) {
        return callersByCall.getOrDefault(stream.call().id(), Map.of()).values().stream()
                .filter(caller -> stream.matches(caller.call()))
                .toList();
    }

    private void sendStreamedSoFar(WaitingCaller caller) {
        ResponseStream stream = streamsByCall.get(caller.call().id());
        if (stream != null && stream.matches(caller.call()) && !stream.isEmpty()) {
            caller.responder().chunk(0, stream.content());
        }
    }

    private void completeCaller(Effect.Reply reply) {
        removeCaller(reply.tag()).ifPresent(caller -> caller.responder().end(reply.outcome()));
    }

    private Optional<WaitingCaller> removeCaller(ReplyTag tag) {
        WaitingCaller caller = callersByTag.remove(tag);
        if (caller == null) {
            return Optional.empty();
        }
        if (caller.call() != null) {
            CallId id = caller.call().id();
            Map<ReplyTag, WaitingCaller> remaining = callersByCall.getOrDefault(id, Map.of());
            remaining.remove(tag);
            if (remaining.isEmpty()) {
                callersByCall.remove(id);
            }
        }
        return Optional.of(caller);
    }

    private void stopFenced() {
        stopped = true;
        Outcome notOwner = Outcome.failed(
                ErrorCode.NOT_OWNER,
                RunState.UNKNOWN,
                RETRY_AFTER_MS,
                "This host no longer owns its slots; retry with the same idempotency key.");
        List<WaitingCaller> callers = new ArrayList<>(callersByTag.values());
        callersByTag.clear();
        callersByCall.clear();
        callers.forEach(caller -> caller.responder().end(notOwner));
        onFenced.run();
    }
}
