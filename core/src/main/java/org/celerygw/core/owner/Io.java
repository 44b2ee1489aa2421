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

/** Turns calls of the store into effects, and the events that answer them into calls back. */
final class Io implements Table, ObjectStore {
    private static final long RETRY_HINT_MS = 500;

    private final Map<Long, Consumer<TxnResult>> writes = new HashMap<>();
    private final Map<Long, Consumer<Answer>> reads = new HashMap<>();
    private final Map<Long, Consumer<Boolean>> puts = new HashMap<>();
    private final Map<Long, Consumer<Fetched>> gets = new HashMap<>();
    private List<Effect> effects = new ArrayList<>();
    private long requests;

    void emit(Effect effect) {
        effects.add(effect);
    }

    void log(String line) {
        emit(new Effect.Log(line));
    }

    /** Replaces refusals of one caller that a host which may have lost its slots can't vouch for. */
    void doubt(ReplyTag tag) {
        effects.replaceAll(e -> e instanceof Effect.Reply r && r.tag().equals(tag) ? doubt(r) : e);
    }

    private static Effect doubt(Effect.Reply r) {
        // An answer, or that the call ran, was recorded; anything else may have changed at another owner since.
        if (r.outcome().isAnswer() || r.outcome().runState() == RunState.RUN) {
            return r;
        }
        String message = "this host can't confirm now that it owns the program";
        return new Effect.Reply(
                r.tag(), Outcome.failed(ErrorCode.STORE_UNAVAILABLE, RunState.UNKNOWN, RETRY_HINT_MS, message));
    }

    List<Effect> take() {
        List<Effect> taken = effects;
        effects = new ArrayList<>();
        return taken;
    }

    @Override
    public void write(Txn txn, Consumer<TxnResult> done) {
        writes.put(++requests, done);
        emit(new Effect.Write(requests, txn));
    }

    @Override
    public void read(List<String> keys, Consumer<Answer> done) {
        reads.put(++requests, done);
        emit(new Effect.Read(requests, keys));
    }

    @Override
    public void scan(String prefix, String afterKey, int limit, Consumer<Answer> done) {
        reads.put(++requests, done);
        emit(new Effect.Scan(requests, prefix, afterKey, limit));
    }

    @Override
    public void put(String name, ByteString content, Consumer<Boolean> done) {
        puts.put(++requests, done);
        emit(new Effect.PutObject(requests, name, content));
    }

    @Override
    public void get(String name, Consumer<Fetched> done) {
        gets.put(++requests, done);
        emit(new Effect.GetObject(requests, name));
    }

    @Override
    public void delete(String name, Consumer<Boolean> done) {
        emit(new Effect.DeleteObject(name));
        done.accept(false);
    }

    void wrote(Event.Wrote e) {
        complete(writes.remove(e.request()), e.result());
    }

    void readDone(Event.ReadDone e) {
        complete(reads.remove(e.request()), e.answer());
    }

    void objectPut(Event.ObjectPut e) {
        complete(puts.remove(e.request()), e.ok());
    }

    void objectRead(Event.ObjectRead e) {
        complete(gets.remove(e.request()), e.fetched());
    }

    private static <T> void complete(@org.jspecify.annotations.Nullable Consumer<T> waiting, T answer) {
        if (waiting != null) {
            waiting.accept(answer);
        }
    }
}
