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

/** What an owner wants done. */
public sealed interface Effect {
    /**
     * Write to the table; answer with {@link Event.Wrote}.
     *
     * @param request the number to answer with
     * @param txn the write
     */
    record Write(long request, Txn txn) implements Effect {}

    /**
     * Read rows; answer with {@link Event.ReadDone}.
     *
     * @param request the number to answer with
     * @param keys the rows' keys
     */
    record Read(long request, List<String> keys) implements Effect {}

    /**
     * Read rows by prefix; answer with {@link Event.ReadDone}.
     *
     * @param request the number to answer with
     * @param prefix the prefix
     * @param afterKey only keys after this one
     * @param limit the most rows
     */
    record Scan(long request, String prefix, String afterKey, int limit) implements Effect {}

    /**
     * Write an object; answer with {@link Event.ObjectPut}.
     *
     * @param request the number to answer with
     * @param name the object's name
     * @param content its content
     */
    record PutObject(long request, String name, ByteString content) implements Effect {}

    /**
     * Read an object; answer with {@link Event.ObjectRead}.
     *
     * @param request the number to answer with
     * @param name the object's name
     */
    record GetObject(long request, String name) implements Effect {}

    /**
     * Remove an object, best effort, no answer.
     *
     * @param name the object's name
     */
    record DeleteObject(String name) implements Effect {}

    /**
     * Send a call to a back end; answer with {@link Event.Finished}. Never sent twice for a call that may not be
     * repeated.
     *
     * @param call the call
     * @param attempt the attempt, from 1
     * @param priorityClass the program's priority class
     * @param programDeadlineMs when the program should have ended
     * @param attainedTokens the tokens that the program has been served so far
     */
    record Dispatch(
            CallRequest call,
            long attempt,
            PriorityClassName priorityClass,
            long programDeadlineMs,
            long attainedTokens)
            implements Effect {}

    /**
     * Stop a dispatched call; its {@link Event.Finished} is still expected.
     *
     * @param call the call
     * @param attempt the attempt
     */
    record Abort(CallId call, long attempt) implements Effect {}

    /**
     * Answer a caller.
     *
     * @param tag the caller's tag
     * @param outcome what to tell it
     */
    record Reply(ReplyTag tag, Outcome outcome) implements Effect {}

    /**
     * Release what engines hold for a program that ended or left; repeated until engines confirm.
     *
     * @param program the program
     */
    record ReleaseCache(ProgramId program) implements Effect {}

    /**
     * Write a decision to the log: a short sentence with the part's prefix.
     *
     * @param line the line
     */
    record Log(String line) implements Effect {}

    /** This host lost its journal and must stop owning; the process should restart under a new host id. */
    record Deposed() implements Effect {}

    /**
     * A customer's tokens spent on this owner since the last report, for metrics.
     *
     * @param customer the customer
     * @param tokens the tokens
     */
    record Spent(CustomerId customer, long tokens) implements Effect {}

    /**
     * Ask a service, where it can tell, whether a call ran; answer with {@link Event.OutcomeFound} or not at all. The
     * call itself is not sent.
     *
     * @param call the call
     * @param attempt the attempt that was sent or not
     * @param target the service's name
     * @param key the key that the call carried
     */
    record AskOutcome(CallId call, long attempt, String target, IdempotencyKey key) implements Effect {}

    /** Every slot is handed over; the process may leave once its streams ended. */
    record Drained() implements Effect {}
}
