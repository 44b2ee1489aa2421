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

/** Deliberate faults, injected between owners and their environment; the fuzzer must detect each of them. */
final class Mutations {
    private static final String HEAD_PREFIX = "host/";
    private static final String SLOT_PREFIX = "slot/";
    private static final String GRANT_PREFIX = "grant/";
    private static final String BATCH_PREFIX = "journal/";

    private Mutations() {}

    /** Returns new instances of all mutations; each has its own state and must be used for one run only. */
    static List<Mutation> all() {
        return List.of(
                withoutCondition("head written without its version as condition", HEAD_PREFIX),
                withoutCondition("slots claimed without their versions as condition", SLOT_PREFIX),
                withoutCondition("grants drawn without their version as condition", GRANT_PREFIX),
                takeOverWithoutSeal(),
                unknownWriteTakenAsCommitted(),
                resentAfterTakeOver(),
                resentAfterUnknownOutcome(),
                reservationsDroppedAtReplay(),
                intentsDroppedAtReplay(),
                answersDroppedAtReplay(),
                spentTokensNotSettled(),
                unknownOutcomeTakenAsNotRun(),
                answersShiftedByOneCall(),
                answersTruncated(),
                bodyDigestIgnored(),
                answeredBeforeDurable(),
                cacheNeverReleased(),
                slotsReleasedWithoutChain(),
                drainedWithCallsInFlight());
    }

    private static Mutation changeWrites(String name, UnaryOperator<Txn> change) {
        return changeEffects(
                name, e -> e instanceof Effect.Write w ? new Effect.Write(w.requestId(), change.apply(w.txn())) : e);
    }

    private static Mutation changeEffects(String name, UnaryOperator<Effect> change) {
        return Mutation.ofEffects(
                name, (host, cause, effects) -> effects.stream().map(change).toList());
    }

    private static Mutation changeEvents(String name, UnaryOperator<Event> change) {
        return Mutation.ofEvents(name, (host, event) -> change.apply(event));
    }

    private static boolean hasConditionOn(Txn txn, String prefix) {
        return txn.conditions().stream().anyMatch(c -> c.key().startsWith(prefix));
    }

    private static Mutation withoutCondition(String name, String prefix) {
        return changeWrites(name, txn -> hasConditionOn(txn, prefix) ? new Txn(List.of(), txn.changes()) : txn);
    }

    /** The host that takes over believes that it sealed the journal, but the previous owner can still write to it. */
    private static Mutation takeOverWithoutSeal() {
        return changeWrites("take-over without sealing the journal", txn -> {
            boolean sealsJournal = txn.changes().stream()
                    .anyMatch(c -> c.key().startsWith(HEAD_PREFIX)
                            && !parseHead(c.value()).getSealedBy().isEmpty());
            return sealsJournal ? new Txn(List.of(), List.of()) : txn;
        });
    }

    private static Head parseHead(ByteString value) {
        try {
            return Head.parseFrom(value);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Mutation unknownWriteTakenAsCommitted() {
        return changeEvents("a write of unknown effect is taken as committed", e -> {
            boolean unknown = e instanceof Event.WriteCompleted w && w.result().status() == TxnResult.Status.UNKNOWN;
            return unknown ? new Event.WriteCompleted(((Event.WriteCompleted) e).requestId(), TxnResult.COMMITTED) : e;
        });
    }

    /** A new owner sends a call again for which it read an intent but no outcome. */
    private static Mutation resentAfterTakeOver() {
        Map<CallId, Effect.Dispatch> sent = new HashMap<>();
        return Mutation.ofEffects("an intent without outcome is sent again after take-over", (host, cause, effects) -> {
            List<Effect> changed = new ArrayList<>(effects);
            for (Effect e : effects) {
                if (e instanceof Effect.Dispatch d) {
                    sent.put(d.call().id(), d);
                }
                if (e instanceof Effect.QueryOutcome query && sent.containsKey(query.call())) {
                    changed.add(sent.get(query.call()));
                }
            }
            return changed;
        });
    }

    private static Mutation resentAfterUnknownOutcome() {
        Map<CallId, Effect.Dispatch> sent = new HashMap<>();
        return Mutation.ofEffects("a call of unknown outcome is sent again", (host, cause, effects) -> {
            List<Effect> changed = new ArrayList<>(effects);
            effects.stream()
                    .filter(Effect.Dispatch.class::isInstance)
                    .map(Effect.Dispatch.class::cast)
                    .forEach(d -> sent.put(d.call().id(), d));
            if (cause instanceof Event.CallFinished f
                    && f.outcome().runState() == RunState.UNKNOWN
                    && sent.containsKey(f.call())) {
                changed.add(sent.remove(f.call()));
            }
            return changed;
        });
    }

    private static Mutation replayWithout(String name, Predicate<Entry> dropped) {
        return changeEvents(name, e -> {
            if (!(e instanceof Event.ReadCompleted r)) {
                return e;
            }
            List<Row> rows = r.answer().rows().stream()
                    .map(row -> row.key().startsWith(BATCH_PREFIX) ? withoutEntries(row, dropped) : row)
                    .toList();
            return new Event.ReadCompleted(
                    r.requestId(), new Table.ReadResult(r.answer().ok(), rows));
        });
    }

    private static Row withoutEntries(Row row, Predicate<Entry> dropped) {
        if (!row.exists()) {
            return row;
        }
        try {
            Batch batch = Batch.parseFrom(row.value());
            List<Entry> retained =
                    batch.getEntriesList().stream().filter(dropped.negate()).toList();
            Batch.Builder changed = batch.toBuilder().clearEntries().addAllEntries(retained);
            return new Row(row.key(), row.version(), changed.build().toByteString());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Mutation reservationsDroppedAtReplay() {
        return replayWithout(
                "reservations are forgotten at replay",
                entry -> entry.hasStarted() && entry.getStarted().getRepeatable());
    }

    private static Mutation intentsDroppedAtReplay() {
        return replayWithout(
                "intents are forgotten at replay",
                entry -> entry.hasStarted() && !entry.getStarted().getRepeatable());
    }

    private static Mutation answersDroppedAtReplay() {
        return replayWithout("answers are forgotten at replay", Entry::hasDone);
    }

    private static Mutation changeOutcomes(String name, UnaryOperator<Event.CallFinished> change) {
        return changeEvents(name, e -> e instanceof Event.CallFinished f ? change.apply(f) : e);
    }

    private static Event.CallFinished withOutcome(Event.CallFinished f, Outcome outcome) {
        return new Event.CallFinished(f.call(), f.attempt(), outcome, f.backend());
    }

    private static Mutation spentTokensNotSettled() {
        return changeOutcomes("an answer's tokens are not counted", f -> {
            Outcome o = f.outcome();
            return o.isAnswer() ? withOutcome(f, Outcome.answered(o.status(), o.contentType(), o.answer(), 0)) : f;
        });
    }

    private static Mutation unknownOutcomeTakenAsNotRun() {
        return changeOutcomes("a lost answer is taken as not run", f -> {
            Outcome o = f.outcome();
            return !o.isAnswer() && o.runState() == RunState.UNKNOWN
                    ? withOutcome(f, Outcome.failed(o.code(), RunState.NOT_RUN, 0, o.message()))
                    : f;
        });
    }

    private static Mutation answersShiftedByOneCall() {
        List<Outcome> delayed = new ArrayList<>();
        return changeOutcomes("an answer goes to the call after", f -> {
            if (!f.outcome().isAnswer()) {
                return f;
            }
            delayed.add(f.outcome());
            return delayed.size() > 1 ? withOutcome(f, delayed.remove(0)) : f;
        });
    }

    private static Mutation answersTruncated() {
        return changeOutcomes("the end of an answer is cut off", f -> {
            Outcome o = f.outcome();
            return o.isAnswer()
                    ? withOutcome(
                            f,
                            Outcome.answered(
                                    200,
                                    o.contentType(),
                                    o.answer().substring(0, o.answer().size() - 1),
                                    0))
                    : f;
        });
    }

    private static Mutation bodyDigestIgnored() {
        return changeEvents("the body's digest is ignored", e -> {
            if (!(e instanceof Event.CallSubmitted s)) {
                return e;
            }
            CallRequest c = s.call();
            CallRequest withoutDigest = new CallRequest(
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
            return new Event.CallSubmitted(withoutDigest, s.tag());
        });
    }

    private static Mutation answeredBeforeDurable() {
        Map<CallId, ReplyTag> tags = new HashMap<>();
        return Mutation.ofEffects("a caller is answered before the answer is durable", (host, cause, effects) -> {
            List<Effect> changed = new ArrayList<>(effects);
            if (cause instanceof Event.CallSubmitted s) {
                tags.put(s.call().id(), s.tag());
            }
            if (cause instanceof Event.CallFinished f && tags.containsKey(f.call())) {
                changed.add(new Effect.Reply(tags.get(f.call()), f.outcome()));
            }
            return changed;
        });
    }

    private static Mutation cacheNeverReleased() {
        return Mutation.ofEffects("engines are not told of ended programs", (host, cause, effects) -> effects.stream()
                .filter(e -> !(e instanceof Effect.ReleaseCache))
                .toList());
    }

    private static Mutation slotsReleasedWithoutChain() {
        return changeWrites("slots are released without their snapshot", txn -> {
            List<Txn.Change> changes = txn.changes().stream()
                    .map(c -> c.key().startsWith(SLOT_PREFIX) ? withoutChain(c) : c)
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

    private static Mutation drainedWithCallsInFlight() {
        return Mutation.ofEffects("a planned stop does not wait for calls under way", (host, cause, effects) -> {
            List<Effect> changed = new ArrayList<>(effects);
            if (cause instanceof Event.DrainRequested) {
                changed.add(new Effect.Drained());
            }
            return changed;
        });
    }
}
