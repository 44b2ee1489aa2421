package org.celerygw.core.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.celerygw.core.call.CallKind;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.IdempotencyKey;
import org.celerygw.core.id.PriorityClassName;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests one owner with an in-memory table that answers at once; tests in standin cover several owners and store faults.
 */
public class OwnerTest {
    private static final ProgramId PROGRAM = new ProgramId("p1");
    private static final CustomerId CUSTOMER = new CustomerId("c1");

    private final Map<String, Row> rows = new TreeMap<>();
    private final List<Effect.Dispatch> dispatched = new ArrayList<>();
    private final Map<Long, Outcome> replies = new TreeMap<>();
    private Owner owner = new Owner(new HostId("h1"), OwnerSettings.DEFAULT);
    private long nowMs;
    private long lastTag;

    @BeforeMethod
    void setUp() {
        rows.clear();
        dispatched.clear();
        replies.clear();
        nowMs = 1_000_000;
        owner = new Owner(new HostId("h1"), OwnerSettings.DEFAULT);
        deliver(new Event.HostsUpdated(new TreeSet<>(List.of(new HostId("h1")))));
        advance(2_000);
        assertEquals(create(1_000), null);
    }

    private ErrorCode create(long budgetTokens) {
        ProgramSpec spec = new ProgramSpec(
                PROGRAM, CUSTOMER, null, new PriorityClassName("std"), budgetTokens, nowMs + 1_000_000, 600_000, 75);
        long tag = ++lastTag;
        deliver(new Event.CreateRequested(spec, "operator", new ReplyTag(tag)));
        advance(200);
        return replies.get(tag).code();
    }

    private void advance(long durationMs) {
        for (long endMs = nowMs + durationMs; nowMs < endMs; nowMs += 10) {
            deliver(new Event.Tick());
        }
    }

    private void deliver(Event event) {
        Deque<Event> events = new ArrayDeque<>(List.of(event));
        while (!events.isEmpty()) {
            owner.handle(events.remove(), nowMs).forEach(effect -> perform(effect, events));
        }
    }

    private void perform(Effect effect, Deque<Event> events) {
        if (effect instanceof Effect.Write w) {
            events.add(new Event.WriteCompleted(w.requestId(), write(w.txn())));
        } else if (effect instanceof Effect.Read r) {
            List<Row> found = r.keys().stream().map(this::row).toList();
            events.add(new Event.ReadCompleted(r.requestId(), new Table.ReadResult(true, found)));
        } else if (effect instanceof Effect.Scan s) {
            List<Row> found = rows.values().stream()
                    .filter(r -> r.key().startsWith(s.prefix()) && r.key().compareTo(s.afterKey()) > 0)
                    .limit(s.limit())
                    .toList();
            events.add(new Event.ReadCompleted(s.requestId(), new Table.ReadResult(true, found)));
        } else if (effect instanceof Effect.Dispatch dispatch) {
            dispatched.add(dispatch);
        } else if (effect instanceof Effect.Reply r) {
            replies.put(r.tag().number(), r.outcome());
        }
    }

    private Row row(String key) {
        return rows.getOrDefault(key, Row.absent(key));
    }

    private TxnResult write(Txn txn) {
        if (txn.conditions().stream().anyMatch(c -> row(c.key()).version() != c.version())) {
            return TxnResult.conflict(
                    txn.conditions().stream().map(c -> row(c.key())).toList());
        }
        txn.changes()
                .forEach(c -> rows.put(c.key(), new Row(c.key(), row(c.key()).version() + 1, c.value())));
        return TxnResult.COMMITTED;
    }

    private CallRequest call(long number, String key, String body) {
        ByteString bodyBytes = ByteString.copyFromUtf8(body);
        return new CallRequest(
                CUSTOMER,
                new CallId(PROGRAM, number),
                new IdempotencyKey(key),
                CallKind.MODEL,
                "m",
                true,
                nowMs + 60_000,
                bodyBytes,
                "",
                bodyBytes,
                100,
                100,
                List.of());
    }

    private long submit(CallRequest call) {
        long tag = ++lastTag;
        deliver(new Event.CallSubmitted(call, new ReplyTag(tag)));
        advance(200);
        return tag;
    }

    private void finishCall(int index, String answer) {
        Effect.Dispatch dispatch = dispatched.get(index);
        Outcome outcome = Outcome.answered(200, "text/plain", ByteString.copyFromUtf8(answer), 10);
        deliver(new Event.CallFinished(dispatch.call().id(), dispatch.attempt(), outcome, "engine1"));
        advance(200);
    }

    @Test
    public void answersACallAndItsRetryWithTheSameBytes() {
        long first = submit(call(1, "k1", "body"));
        finishCall(0, "answer");
        long second = submit(call(1, "k1", "body"));
        assertEquals(replies.get(first).answer().toStringUtf8(), "answer");
        assertEquals(replies.get(second), replies.get(first));
        assertEquals(dispatched.size(), 1);
    }

    @Test
    public void retryOfAnOpenCallGetsItsAnswerWithoutASecondDispatch() {
        long first = submit(call(1, "k1", "body"));
        long second = submit(call(1, "k1", "body"));
        finishCall(0, "answer");
        assertEquals(replies.get(first), replies.get(second));
        assertEquals(dispatched.size(), 1);
    }

    @Test
    public void refusesSkippedNumbersReusedKeysAndUsedNumbers() {
        submit(call(1, "k1", "body"));
        finishCall(0, "answer");
        assertEquals(replies.get(submit(call(3, "k3", "body"))).code(), ErrorCode.OUT_OF_ORDER);
        assertEquals(replies.get(submit(call(1, "k1", "other"))).code(), ErrorCode.KEY_REUSED);
        assertEquals(replies.get(submit(call(1, "k9", "body"))).code(), ErrorCode.OUT_OF_ORDER);
        assertEquals(replies.get(submit(call(2, "k1", "body"))).code(), ErrorCode.KEY_REUSED);
    }

    @Test
    public void dispatchesAQueuedCallOnlyAfterThePrecedingCallHasEnded() {
        submit(call(1, "k1", "one"));
        submit(call(2, "k2", "two"));
        assertEquals(dispatched.size(), 1);
        finishCall(0, "answer");
        advance(200);
        assertEquals(dispatched.size(), 2);
        assertEquals(dispatched.get(1).call().id().number(), 2);
    }

    @Test
    public void refusesACallThatExceedsTheBudget() {
        for (int i = 0; i < 8; i++) {
            submit(call(i + 1, "k" + i, "body"));
            finishCall(i, "answer");
        }
        // Eight calls have spent 110 tokens each of 1,000. The ninth would reserve 200 tokens, but 120 are left.
        assertEquals(replies.get(submit(call(9, "k9", "body"))).code(), ErrorCode.BUDGET_EXCEEDED);
    }

    /**
     * An owner that was paused for longer than its lease can't know whether another host has claimed the slot and
     * created the program since. A reply NOT_FOUND would then be wrong.
     */
    @Test
    public void replyAfterAnExpiredLeaseDoesNotDenyThatAProgramExists() {
        nowMs += 60_000;
        long tag = ++lastTag;
        CallRequest call = call(1, "k1", "body");
        CallRequest callOfUnknownProgram = new CallRequest(
                CUSTOMER,
                new CallId(new ProgramId("p2"), 1),
                call.key(),
                call.kind(),
                call.target(),
                true,
                call.deadlineMs(),
                call.bodyDigest(),
                "",
                call.body(),
                100,
                100,
                List.of());
        owner.handle(new Event.CallSubmitted(callOfUnknownProgram, new ReplyTag(tag)), nowMs)
                .forEach(effect -> perform(effect, new ArrayDeque<>()));
        assertEquals(replies.get(tag).code(), ErrorCode.STORE_UNAVAILABLE);
    }

    @Test
    public void explainsAProgramAsJson() {
        submit(call(1, "k1", "body"));
        long tag = ++lastTag;
        deliver(new Event.ExplainRequested(PROGRAM, null, new ReplyTag(tag)));
        assertTrue(replies.get(tag).answer().toStringUtf8().contains("\"reservedTokens\":200"));
    }
}
