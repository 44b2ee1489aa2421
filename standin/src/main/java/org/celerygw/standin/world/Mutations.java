package org.celerygw.standin.world;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.RunState;
import org.celerygw.core.gen.state.Batch;
import org.celerygw.core.gen.state.Entry;
import org.celerygw.core.gen.state.Head;
import org.celerygw.core.gen.state.SlotRow;
import org.celerygw.core.id.CallId;
import org.celerygw.core.owner.Effect;
import org.celerygw.core.owner.Event;
import org.celerygw.core.owner.ReplyTag;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;

/** Deliberate faults, put between owners and the world; the fuzzer must notice each of them. */
final class Mutations {
    private static final String HEADS = "host/";
    private static final String SLOTS = "slot/";
    private static final String GRANTS = "grant/";
    private static final String BATCHES = "journal/";

    private Mutations() {}

    /** Returns new mutations; each holds its own state and serves one run. */
    static List<Mutation> all() {
        return List.of(
                withoutCondition("head written without its version as condition", HEADS),
                withoutCondition("slots claimed without their versions as condition", SLOTS),
                withoutCondition("grants drawn without their version as condition", GRANTS),
                withoutSeal(),
                lostAnswerTakenAsCommitted(),
                sentAgainAfterTakeOver(),
                sentAgainWhenUnknown(),
                reservationsForgottenAtReplay(),
                intentsForgottenAtReplay(),
                answersForgottenAtReplay(),
                spendingNotSettled(),
                unknownTakenAsNotRun(),
                answersCrossed(),
                answersTorn(),
                digestIgnored(),
                answeredBeforeDurable(),
                cacheNeverReleased(),
                releasedWithoutChain(),
                stopWithoutWaiting());
    }

    private static Mutation writes(String name, UnaryOperator<Txn> change) {
        return effects(
                name, e -> e instanceof Effect.Write w ? new Effect.Write(w.requestId(), change.apply(w.txn())) : e);
    }

    private static Mutation effects(String name, UnaryOperator<Effect> change) {
        return Mutation.ofEffects(
                name, (host, cause, effects) -> effects.stream().map(change).toList());
    }

    private static Mutation events(String name, UnaryOperator<Event> change) {
        return Mutation.ofEvents(name, (host, event) -> change.apply(event));
    }

    private static boolean touches(Txn txn, String prefix) {
        return txn.conditions().stream().anyMatch(c -> c.key().startsWith(prefix));
    }

    private static Mutation withoutCondition(String name, String prefix) {
        return writes(name, txn -> touches(txn, prefix) ? new Txn(List.of(), txn.changes()) : txn);
    }

    /** The usurper believes that it sealed the journal, but its owner goes on. */
    private static Mutation withoutSeal() {
        return writes("take-over without sealing the journal", txn -> {
            boolean seals = txn.changes().stream()
                    .anyMatch(c -> c.key().startsWith(HEADS)
                            && !head(c.value()).getSealedBy().isEmpty());
            return seals ? new Txn(List.of(), List.of()) : txn;
        });
    }

    private static Head head(ByteString value) {
        try {
            return Head.parseFrom(value);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Mutation lostAnswerTakenAsCommitted() {
        return events("a write of unknown effect is taken as committed", e -> {
            boolean unknown = e instanceof Event.WriteCompleted w && w.result().status() == TxnResult.Status.UNKNOWN;
            return unknown ? new Event.WriteCompleted(((Event.WriteCompleted) e).requestId(), TxnResult.COMMITTED) : e;
        });
    }

    /** A new owner sends a call whose intent it found without outcome. */
    private static Mutation sentAgainAfterTakeOver() {
        Map<CallId, Effect.Dispatch> sent = new HashMap<>();
        return Mutation.ofEffects("an intent without outcome is sent again after take-over", (host, cause, effects) -> {
            List<Effect> out = new ArrayList<>(effects);
            for (Effect e : effects) {
                if (e instanceof Effect.Dispatch d) {
                    sent.put(d.call().id(), d);
                }
                if (e instanceof Effect.QueryOutcome a && sent.containsKey(a.call())) {
                    out.add(sent.get(a.call()));
                }
            }
            return out;
        });
    }

    private static Mutation sentAgainWhenUnknown() {
        Map<CallId, Effect.Dispatch> sent = new HashMap<>();
        return Mutation.ofEffects("a call of unknown outcome is sent again", (host, cause, effects) -> {
            List<Effect> out = new ArrayList<>(effects);
            effects.stream()
                    .filter(Effect.Dispatch.class::isInstance)
                    .map(Effect.Dispatch.class::cast)
                    .forEach(d -> sent.put(d.call().id(), d));
            if (cause instanceof Event.CallFinished f
                    && f.outcome().runState() == RunState.UNKNOWN
                    && sent.containsKey(f.call())) {
                out.add(sent.remove(f.call()));
            }
            return out;
        });
    }

    private static Mutation replayWithout(String name, Predicate<Entry> dropped) {
        return events(name, e -> {
            if (!(e instanceof Event.ReadCompleted r)) {
                return e;
            }
            List<Row> rows = r.answer().rows().stream()
                    .map(row -> row.key().startsWith(BATCHES) ? without(row, dropped) : row)
                    .toList();
            return new Event.ReadCompleted(
                    r.requestId(), new Table.ReadResult(r.answer().ok(), rows));
        });
    }

    private static Row without(Row row, Predicate<Entry> dropped) {
        if (!row.exists()) {
            return row;
        }
        try {
            Batch batch = Batch.parseFrom(row.value());
            List<Entry> kept =
                    batch.getEntriesList().stream().filter(dropped.negate()).toList();
            Batch.Builder changed = batch.toBuilder().clearEntries().addAllEntries(kept);
            return new Row(row.key(), row.version(), changed.build().toByteString());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Mutation reservationsForgottenAtReplay() {
        return replayWithout(
                "reservations are forgotten at replay",
                entry -> entry.hasStarted() && entry.getStarted().getRepeatable());
    }

    private static Mutation intentsForgottenAtReplay() {
        return replayWithout(
                "intents are forgotten at replay",
                entry -> entry.hasStarted() && !entry.getStarted().getRepeatable());
    }

    private static Mutation answersForgottenAtReplay() {
        return replayWithout("answers are forgotten at replay", Entry::hasDone);
    }

    private static Mutation outcomes(String name, UnaryOperator<Event.CallFinished> change) {
        return events(name, e -> e instanceof Event.CallFinished f ? change.apply(f) : e);
    }

    private static Event.CallFinished with(Event.CallFinished f, Outcome outcome) {
        return new Event.CallFinished(f.call(), f.attempt(), outcome, f.backend());
    }

    private static Mutation spendingNotSettled() {
        return outcomes("an answer's tokens are not counted", f -> {
            Outcome o = f.outcome();
            return o.isAnswer() ? with(f, Outcome.answered(o.status(), o.contentType(), o.answer(), 0)) : f;
        });
    }

    private static Mutation unknownTakenAsNotRun() {
        return outcomes("a lost answer is taken as not run", f -> {
            Outcome o = f.outcome();
            return !o.isAnswer() && o.runState() == RunState.UNKNOWN
                    ? with(f, Outcome.failed(o.code(), RunState.NOT_RUN, 0, o.message()))
                    : f;
        });
    }

    private static Mutation answersCrossed() {
        List<Outcome> kept = new ArrayList<>();
        return outcomes("an answer goes to the call after", f -> {
            if (!f.outcome().isAnswer()) {
                return f;
            }
            kept.add(f.outcome());
            return kept.size() > 1 ? with(f, kept.remove(0)) : f;
        });
    }

    private static Mutation answersTorn() {
        return outcomes("the end of an answer is cut off", f -> {
            Outcome o = f.outcome();
            return o.isAnswer()
                    ? with(
                            f,
                            Outcome.answered(
                                    200,
                                    o.contentType(),
                                    o.answer().substring(0, o.answer().size() - 1),
                                    0))
                    : f;
        });
    }

    private static Mutation digestIgnored() {
        return events("the body's digest is ignored", e -> {
            if (!(e instanceof Event.CallSubmitted s)) {
                return e;
            }
            CallRequest c = s.call();
            CallRequest same = new CallRequest(
                    c.customer(),
                    c.id(),
                    c.key(),
                    c.kind(),
                    c.target(),
                    c.repeatable(),
                    c.deadlineMs(),
                    ByteString.EMPTY,
                    c.path(),
                    c.body(),
                    c.promptTokens(),
                    c.maxOutputTokens(),
                    c.prefixHashes());
            return new Event.CallSubmitted(same, s.tag());
        });
    }

    private static Mutation answeredBeforeDurable() {
        Map<CallId, ReplyTag> tags = new HashMap<>();
        return Mutation.ofEffects("a caller is answered before the answer is durable", (host, cause, effects) -> {
            List<Effect> out = new ArrayList<>(effects);
            if (cause instanceof Event.CallSubmitted s) {
                tags.put(s.call().id(), s.tag());
            }
            if (cause instanceof Event.CallFinished f && tags.containsKey(f.call())) {
                out.add(new Effect.Reply(tags.get(f.call()), f.outcome()));
            }
            return out;
        });
    }

    private static Mutation cacheNeverReleased() {
        return Mutation.ofEffects("engines are not told of ended programs", (host, cause, effects) -> effects.stream()
                .filter(e -> !(e instanceof Effect.ReleaseCache))
                .toList());
    }

    private static Mutation releasedWithoutChain() {
        return writes("slots are released without their snapshot", txn -> {
            List<Txn.Change> changes = txn.changes().stream()
                    .map(c -> c.key().startsWith(SLOTS) ? withoutChain(c) : c)
                    .toList();
            return new Txn(txn.conditions(), changes);
        });
    }

    private static Txn.Change withoutChain(Txn.Change change) {
        try {
            SlotRow row = SlotRow.parseFrom(change.value());
            return row.getOwner().isEmpty()
                    ? Txn.Change.put(
                            change.key(), row.toBuilder().clearChain().build().toByteString())
                    : change;
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Mutation stopWithoutWaiting() {
        return Mutation.ofEffects("a planned stop does not wait for calls under way", (host, cause, effects) -> {
            List<Effect> out = new ArrayList<>(effects);
            if (cause instanceof Event.DrainRequested) {
                out.add(new Effect.Drained());
            }
            return out;
        });
    }
}
