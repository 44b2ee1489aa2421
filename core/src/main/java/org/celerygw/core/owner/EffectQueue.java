package org.celerygw.core.owner;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;
import org.celerygw.core.store.ObjectStore;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;

/**
 * Collects the effects that an owner returns. It implements the store by emitting an effect for each request; the event
 * that completes the request runs the request's callback.
 */
final class EffectQueue implements Table, ObjectStore {
    private static final long RETRY_HINT_MS = 500;

    private final Map<Long, Consumer<TxnResult>> pendingWrites = new HashMap<>();
    private final Map<Long, Consumer<ReadResult>> pendingReads = new HashMap<>();
    private final Map<Long, Consumer<Boolean>> pendingPuts = new HashMap<>();
    private final Map<Long, Consumer<GetResult>> pendingGets = new HashMap<>();
    private List<Effect> effects = new ArrayList<>();
    private long lastRequestId;

    void emit(Effect effect) {
        effects.add(effect);
    }

    void log(String line) {
        emit(new Effect.Log(line));
    }

    /**
     * Replaces the queued refusals to one caller by a refusal with the run state UNKNOWN. Used when this host's lease
     * may have expired: another owner may have recorded calls that this host does not know.
     */
    void replaceUnconfirmedReplies(ReplyTag tag) {
        effects.replaceAll(
                event -> event instanceof Effect.Reply reply && reply.tag().equals(tag) ? asUnknown(reply) : event);
    }

    private static Effect asUnknown(Effect.Reply reply) {
        // That a call ran or was answered is on record and final; any other outcome may have changed at another owner.
        if (reply.outcome().isAnswer() || reply.outcome().runState() == RunState.RUN) {
            return reply;
        }
        String message = "this host can't confirm at the store that it still owns the program";
        return new Effect.Reply(
                reply.tag(), Outcome.failed(ErrorCode.STORE_UNAVAILABLE, RunState.UNKNOWN, RETRY_HINT_MS, message));
    }

    /** Returns the queued effects in the order in which they were emitted, and empties the queue. */
    List<Effect> drain() {
        List<Effect> drained = effects;
        effects = new ArrayList<>();
        return drained;
    }

    @Override
    public void write(Txn txn, Consumer<TxnResult> callback) {
        pendingWrites.put(++lastRequestId, callback);
        emit(new Effect.Write(lastRequestId, txn));
    }

    @Override
    public void read(List<String> keys, Consumer<ReadResult> callback) {
        pendingReads.put(++lastRequestId, callback);
        emit(new Effect.Read(lastRequestId, keys));
    }

    @Override
    public void scan(String prefix, String afterKey, int limit, Consumer<ReadResult> callback) {
        pendingReads.put(++lastRequestId, callback);
        emit(new Effect.Scan(lastRequestId, prefix, afterKey, limit));
    }

    @Override
    public void put(String name, ByteString content, Consumer<Boolean> callback) {
        pendingPuts.put(++lastRequestId, callback);
        emit(new Effect.PutObject(lastRequestId, name, content));
    }

    @Override
    public void get(String name, Consumer<GetResult> callback) {
        pendingGets.put(++lastRequestId, callback);
        emit(new Effect.GetObject(lastRequestId, name));
    }

    @Override
    public void delete(String name, Consumer<Boolean> callback) {
        // The effect has no completion event, so whether the object was deleted is never known.
        emit(new Effect.DeleteObject(name));
        callback.accept(false);
    }

    void completeWrite(Event.WriteCompleted event) {
        complete(pendingWrites.remove(event.requestId()), event.result());
    }

    void completeRead(Event.ReadCompleted event) {
        complete(pendingReads.remove(event.requestId()), event.answer());
    }

    void completePut(Event.PutObjectCompleted event) {
        complete(pendingPuts.remove(event.requestId()), event.stored());
    }

    void completeGet(Event.GetObjectCompleted event) {
        complete(pendingGets.remove(event.requestId()), event.fetched());
    }

    /** Runs the callback of a request; a request that is completed a second time has none any more. */
    private static <T> void complete(@org.jspecify.annotations.Nullable Consumer<T> callback, T result) {
        if (callback != null) {
            callback.accept(result);
        }
    }
}
