package org.celerygw.core.owner;

import com.google.protobuf.ByteString;
import java.util.List;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.IdempotencyKey;
import org.celerygw.core.id.PriorityClassName;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.store.Txn;

/** An output of an {@link Owner}, which the host performs. */
public sealed interface Effect {
    /**
     * Writes to the table; completed by {@link Event.WriteCompleted}.
     *
     * @param requestId the id of this request, for the completion event
     * @param txn the conditions and changes
     */
    record Write(long requestId, Txn txn) implements Effect {}

    /**
     * Reads rows by key; completed by {@link Event.ReadCompleted}.
     *
     * @param requestId the id of this request, for the completion event
     * @param keys the rows' keys
     */
    record Read(long requestId, List<String> keys) implements Effect {}

    /**
     * Reads existing rows in key order; completed by {@link Event.ReadCompleted}.
     *
     * @param requestId the id of this request, for the completion event
     * @param prefix the prefix of the rows' keys
     * @param afterKey the key after which to start; empty for all
     * @param limit the maximum number of rows
     */
    record Scan(long requestId, String prefix, String afterKey, int limit) implements Effect {}

    /**
     * Writes an object; completed by {@link Event.PutObjectCompleted}.
     *
     * @param requestId the id of this request, for the completion event
     * @param name the object's name
     * @param content its content
     */
    record PutObject(long requestId, String name, ByteString content) implements Effect {}

    /**
     * Reads an object; completed by {@link Event.GetObjectCompleted}.
     *
     * @param requestId the id of this request, for the completion event
     * @param name the object's name
     */
    record GetObject(long requestId, String name) implements Effect {}

    /**
     * Deletes an object on a best-effort basis; there is no completion event.
     *
     * @param name the object's name
     */
    record DeleteObject(String name) implements Effect {}

    /**
     * Sends a call to a backend; completed by {@link Event.CallFinished}. A call that is not repeatable is dispatched at
     * most once, unless an earlier attempt is known not to have run.
     *
     * @param call the call
     * @param attempt the attempt, from 1
     * @param priorityClass the program's priority class
     * @param programDeadlineMs the time by which the program should have ended, in milliseconds since 1970
     * @param attainedTokens the tokens that the program's own calls have spent so far
     */
    record Dispatch(
            CallRequest call,
            long attempt,
            PriorityClassName priorityClass,
            long programDeadlineMs,
            long attainedTokens)
            implements Effect {}

    /**
     * Cancels a dispatched call; its {@link Event.CallFinished} must still follow.
     *
     * @param call the call
     * @param attempt the attempt
     */
    record Abort(CallId call, long attempt) implements Effect {}

    /**
     * Replies to a caller.
     *
     * @param tag the caller's tag
     * @param outcome the outcome of the caller's request
     */
    record Reply(ReplyTag tag, Outcome outcome) implements Effect {}

    /**
     * Releases the caches that engines hold for a program that has ended; repeated until the engines confirm.
     *
     * @param program the program
     */
    record ReleaseCache(ProgramId program) implements Effect {}

    /**
     * Writes a line to the log.
     *
     * @param line the message, with the prefix of its subject, such as {@code lease:}
     */
    record Log(String line) implements Effect {}

    /** Reports that another host has sealed this host's journal: the process should restart under a new host id. */
    record Fenced() implements Effect {}

    /**
     * Reports the tokens that a customer has spent on this owner since the last report, for metrics.
     *
     * @param customer the customer
     * @param tokens the tokens spent since the last report
     */
    record Spent(CustomerId customer, long tokens) implements Effect {}

    /**
     * Queries a service for the outcome of a call, if the service supports it; completed by {@link Event.OutcomeReported}
     * or not at all. The call itself is not sent again.
     *
     * @param call the call
     * @param attempt the attempt that may have run
     * @param target the service's name
     * @param key the idempotency key of the call
     */
    record QueryOutcome(CallId call, long attempt, String target, IdempotencyKey key) implements Effect {}

    /** Reports that all slots have been handed over: the process may stop once its streams have ended. */
    record Drained() implements Effect {}
}
