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

/** An input of an {@link Owner}: a request, a notification, or the completion of an {@link Effect}. */
public sealed interface Event {
    /** Lets the owner do what has become due; sent at least every 50 ms. */
    record Tick() implements Event {}

    /**
     * The current set of hosts that may own slots, by this host's view of the membership.
     *
     * @param hosts the live hosts, this one included
     */
    record HostsUpdated(SortedSet<HostId> hosts) implements Event {}

    /**
     * A request to create a program.
     *
     * @param spec the properties of the program
     * @param actor who makes the request, for the record
     * @param tag receives a reply with an empty answer once the program is durable
     */
    record CreateRequested(ProgramSpec spec, String actor, ReplyTag tag) implements Event {}

    /**
     * A request to end a program and its sub-agents.
     *
     * @param program the program
     * @param customer the customer who makes the request; null for an operator
     * @param actor who makes the request, for the record
     * @param abandon true to cancel its open calls and mark it as unfinished
     * @param tag receives a reply once the end is durable
     */
    record EndRequested(
            ProgramId program,
            @org.jspecify.annotations.Nullable CustomerId customer,
            String actor,
            boolean abandon,
            ReplyTag tag)
            implements Event {}

    /**
     * A call submitted by a caller.
     *
     * @param call the call
     * @param tag receives the outcome of the call once the outcome is durable
     */
    record CallSubmitted(CallRequest call, ReplyTag tag) implements Event {}

    /**
     * A caller has disconnected. Its call goes on, and a retry can get the outcome.
     *
     * @param tag the caller's tag
     */
    record CallerDisconnected(ReplyTag tag) implements Event {}

    /**
     * A dispatched call has ended at its backend.
     *
     * @param call the call
     * @param attempt the attempt of the dispatch
     * @param outcome the outcome; its run state is UNKNOWN unless the sender can prove RUN or NOT_RUN
     * @param backend the name of the backend, for the record
     */
    record CallFinished(CallId call, long attempt, Outcome outcome, String backend) implements Event {}

    /**
     * A request of an operator to settle a call whose outcome is unknown.
     *
     * @param call the call
     * @param runState whether the call ran, as the operator found: RUN or NOT_RUN
     * @param answer the answer for retries if the call ran
     * @param actor who settles it, for the record
     * @param tag receives a reply once the settlement is durable
     */
    record SettleRequested(CallId call, RunState runState, ByteString answer, String actor, ReplyTag tag)
            implements Event {}

    /**
     * The current token ceiling of a customer, which limits all of its programs together.
     *
     * @param customer the customer
     * @param ceilingTokens the maximum number of tokens; {@code Long.MAX_VALUE} for no limit
     */
    record CeilingUpdated(CustomerId customer, long ceilingTokens) implements Event {}

    /**
     * A request for the history of a program.
     *
     * @param program the program
     * @param customer the customer who makes the request; null for an operator
     * @param tag receives the history as JSON
     */
    record ExplainRequested(
            ProgramId program,
            @org.jspecify.annotations.Nullable CustomerId customer,
            ReplyTag tag) implements Event {}

    /**
     * A planned stop has begun: the owner hands over all slots and claims no further one.
     */
    record DrainRequested() implements Event {}

    /**
     * A table write has completed.
     *
     * @param requestId the id of the request in the effect
     * @param result whether the write took effect
     */
    record WriteCompleted(long requestId, TxnResult result) implements Event {}

    /**
     * A table read has completed.
     *
     * @param requestId the id of the request in the effect
     * @param answer the rows, or that the store did not answer
     */
    record ReadCompleted(long requestId, Table.ReadResult answer) implements Event {}

    /**
     * An object write has completed.
     *
     * @param requestId the id of the request in the effect
     * @param stored true when the object is stored; false when that is not known
     */
    record PutObjectCompleted(long requestId, boolean stored) implements Event {}

    /**
     * An object read has completed.
     *
     * @param requestId the id of the request in the effect
     * @param fetched the content, or why there is none
     */
    record GetObjectCompleted(long requestId, ObjectStore.GetResult fetched) implements Event {}

    /**
     * A request for the programs that this host owns.
     *
     * @param tag receives the programs as a JSON list
     * @param customers the customers whose programs are listed; empty for all
     */
    record ListRequested(ReplyTag tag, List<CustomerId> customers) implements Event {}

    /**
     * A request reached this host for a slot that it does not own; the owner reads the slot's row again soon.
     *
     * @param slot the slot
     */
    record SlotRefreshRequested(Slot slot) implements Event {}

    /**
     * A service has reported whether a call of unknown outcome ran.
     *
     * @param call the call
     * @param attempt the attempt of the query
     * @param outcome the outcome that the service can prove; its run state is UNKNOWN if it can prove none
     */
    record OutcomeReported(CallId call, long attempt, Outcome outcome) implements Event {}
}
