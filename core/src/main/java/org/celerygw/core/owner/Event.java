package org.celerygw.core.owner;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.SortedSet;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.RunState;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.id.Slot;
import org.celerygw.core.store.ObjectStore;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.TxnResult;

/** What an owner is told. */
public sealed interface Event {
    /** Time went on; sent at least every 50 ms. */
    record Tick() implements Event {}

    /**
     * The hosts that may own slots, this one included, as membership sees them now.
     *
     * @param hosts the live hosts
     */
    record HostsSeen(SortedSet<HostId> hosts) implements Event {}

    /**
     * A program is to be created.
     *
     * @param spec what is asked for
     * @param actor who asks, for the record
     * @param tag answered with an outcome whose answer is empty
     */
    record Created(ProgramSpec spec, String actor, ReplyTag tag) implements Event {}

    /**
     * A program is to end.
     *
     * @param program the program
     * @param customer the customer who asks; null when an operator does
     * @param actor who asks, for the record
     * @param abandon true to end it unfinished: its calls under way are cancelled
     * @param tag answered when the end is durable
     */
    record Ended(
            ProgramId program,
            @org.jspecify.annotations.Nullable CustomerId customer,
            String actor,
            boolean abandon,
            ReplyTag tag)
            implements Event {}

    /**
     * A caller submits a call.
     *
     * @param call the call
     * @param tag answered with the call's outcome, once it is durable
     */
    record Submitted(CallRequest call, ReplyTag tag) implements Event {}

    /**
     * The caller with this tag went away; a repeatable call may go on for its retry.
     *
     * @param tag the caller's tag
     */
    record CallerGone(ReplyTag tag) implements Event {}

    /**
     * A dispatched call ended at its back end.
     *
     * @param call the call
     * @param attempt the attempt named in the dispatch
     * @param outcome how it ended; its run state must be the sender's proof, not a guess
     * @param backend the name of the back end, for the record
     */
    record Finished(CallId call, long attempt, Outcome outcome, String backend) implements Event {}

    /**
     * An operator settles a call whose outcome is unknown.
     *
     * @param call the call
     * @param runState what the operator found: RUN or NOT_RUN
     * @param answer the answer to give to retries when it ran
     * @param actor who settles it, for the record
     * @param tag answered when the settlement is durable
     */
    record Settled(CallId call, RunState runState, ByteString answer, String actor, ReplyTag tag) implements Event {}

    /**
     * The most tokens all programs of a customer may spend.
     *
     * @param customer the customer
     * @param ceilingTokens the ceiling; {@code Long.MAX_VALUE} for none
     */
    record CeilingSet(CustomerId customer, long ceilingTokens) implements Event {}

    /**
     * A program's history is asked for.
     *
     * @param program the program
     * @param customer the customer who asks; null when an operator does
     * @param tag answered with the history as JSON
     */
    record Explained(
            ProgramId program,
            @org.jspecify.annotations.Nullable CustomerId customer,
            ReplyTag tag) implements Event {}

    /**
     * A planned stop begins: hand over every slot, take no new one.
     */
    record Draining() implements Event {}

    /**
     * A table write ended.
     *
     * @param request the number given in the effect
     * @param result how it ended
     */
    record Wrote(long request, TxnResult result) implements Event {}

    /**
     * A table read ended.
     *
     * @param request the number given in the effect
     * @param answer the rows
     */
    record ReadDone(long request, Table.Answer answer) implements Event {}

    /**
     * An object write ended.
     *
     * @param request the number given in the effect
     * @param ok true when it is stored
     */
    record ObjectPut(long request, boolean ok) implements Event {}

    /**
     * An object read ended.
     *
     * @param request the number given in the effect
     * @param fetched what was read
     */
    record ObjectRead(long request, ObjectStore.Fetched fetched) implements Event {}

    /**
     * The programs that this host owns are asked for.
     *
     * @param tag answered with a JSON list
     * @param customers only these customers; empty for all
     */
    record Listed(ReplyTag tag, List<CustomerId> customers) implements Event {}

    /**
     * A caller asked here for a slot that this host does not own; its row is read soon.
     *
     * @param slot the slot
     */
    record SlotMissed(Slot slot) implements Event {}

    /**
     * The service was asked about a call in doubt.
     *
     * @param call the call
     * @param attempt the attempt named in the question
     * @param outcome what the service proves; UNKNOWN when it can't tell
     */
    record OutcomeFound(CallId call, long attempt, Outcome outcome) implements Event {}
}
