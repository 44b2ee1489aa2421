package org.celerygw.standin.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.ProgramId;

/**
 * States what must always hold, seen from callers, back ends and the outside of hosts alone. That a leaving back end
 * gets no new work and that an accepted configuration is in force everywhere is checked where those are decided.
 */
final class Oracle {
    private final List<Violation> violations = new ArrayList<>();
    private final Map<ProgramId, Long> budgets = new HashMap<>();
    private final Map<CustomerId, Long> ceilings = new HashMap<>();
    private final Map<ProgramId, Long> spent = new HashMap<>();
    private final Map<CustomerId, Long> spentByCustomer = new HashMap<>();
    private final Map<Request, List<String>> runs = new HashMap<>();
    private final Map<ProgramId, Long> lastStarted = new HashMap<>();
    private final Map<CallId, String> answered = new HashMap<>();
    private final Set<Request> refused = new HashSet<>();
    private final Set<CallId> finished = new HashSet<>();
    private final Set<ProgramId> created = new HashSet<>();
    private final Set<ProgramId> ended = new HashSet<>();
    private final Set<ProgramId> released = new HashSet<>();

    /**
     * A property that did not hold.
     *
     * @param property its name
     * @param detail what was seen
     */
    record Violation(String property, String detail) {}

    List<Violation> violations() {
        return violations;
    }

    private void check(boolean holds, String property, String detail) {
        if (!holds) {
            violations.add(new Violation(property, detail));
        }
    }

    void budget(ProgramId root, long tokens) {
        budgets.put(root, tokens);
    }

    void ceiling(CustomerId customer, long tokens) {
        ceilings.put(customer, tokens);
    }

    /** A caller sends a request, for the first time or again. */
    void submitted(Request request) {
        refused.remove(request);
    }

    /** A back end begins to run a call. */
    void ran(CallRequest call, String answer, long tokens) {
        callsRunInOrder(call.id());
        Request request = Request.of(call);
        check(
                !refused.contains(request),
                "a refusal that says not run means the request did not run",
                request + " runs after it was refused");
        runs.computeIfAbsent(request, r -> new ArrayList<>()).add(answer);
        if (!call.repeatable()) {
            runsAtMostOnce(request);
        }
        ProgramId root = call.id().program().root();
        spent.merge(root, tokens, Long::sum);
        spentByCustomer.merge(call.customer(), tokens, Long::sum);
        staysWithinBudget(root, call.customer());
    }

    private void callsRunInOrder(CallId id) {
        long last = lastStarted.getOrDefault(id.program(), 0L);
        boolean next = id.number() == last || id.number() == last + 1;
        boolean ready = id.number() == last || last == 0 || finished.contains(new CallId(id.program(), last));
        check(next && ready, "calls of one program run in their order", id + " began after #" + last);
        lastStarted.merge(id.program(), id.number(), Math::max);
    }

    /** A back end's answer to a call, or the lack of one, reached its sender; or an operator settled it. */
    void ended(CallId id) {
        finished.add(id);
    }

    private void runsAtMostOnce(Request request) {
        check(
                runs.get(request).size() <= 1,
                "a request that may not be repeated runs at most once",
                request + " ran " + runs.get(request).size() + " times");
    }

    private void staysWithinBudget(ProgramId root, CustomerId customer) {
        long budget = budgets.getOrDefault(root, Long.MAX_VALUE);
        check(
                spent.get(root) <= budget,
                "a program never spends beyond its budget",
                root + " spent " + spent.get(root) + " of " + budget);
        long ceiling = ceilings.getOrDefault(customer, Long.MAX_VALUE);
        check(
                spentByCustomer.get(customer) <= ceiling,
                "a program never spends beyond its budget",
                customer + " spent " + spentByCustomer.get(customer) + " of its ceiling " + ceiling);
    }

    /** A caller was told how its request ended; entry hosts hide NOT_OWNER by asking elsewhere. */
    void replied(Request request, Outcome outcome) {
        if (outcome.isAnswer()) {
            answered(request, outcome.answer().toStringUtf8());
        } else if (outcome.runState() == RunState.NOT_RUN) {
            refused.add(request);
            check(
                    !runs.containsKey(request),
                    "a refusal that says not run means the request did not run",
                    request + " ran but was refused with " + outcome.code());
        }
        if (outcome.code() == ErrorCode.NOT_FOUND
                && created.contains(request.call().program())) {
            check(
                    ended.contains(request.call().program()),
                    "a program's history is never lost and never mixed with another's",
                    request.call().program() + " is not found");
        }
    }

    private void answered(Request request, String answer) {
        boolean own = runs.getOrDefault(request, List.of()).contains(answer) || answer.startsWith("settled");
        check(
                own,
                "each caller receives the whole answer to its own request",
                request + " got <" + answer + "> of " + runs.getOrDefault(request, List.of()));
        String before = answered.putIfAbsent(request.call(), answer);
        check(
                before == null || before.equals(answer),
                "a program's history is never lost and never mixed with another's",
                request + " got <" + answer + "> after <" + before + ">");
    }

    /** A caller was told that a program exists. */
    void created(ProgramId program) {
        created.add(program);
    }

    /** Somebody was told that a program ended. */
    void endedProgram(ProgramId program) {
        ended.add(program);
    }

    /** An owner had engines release what they hold for a program. */
    void released(ProgramId program) {
        released.add(program);
    }

    /** A host said that it handed over everything. */
    void drained(HostId host, int callsUnderWay) {
        check(
                callsUnderWay == 0,
                "a planned stop cuts off no request",
                host + " left with " + callsUnderWay + " calls under way");
    }

    /** Checked at the end, when all faults are over: every request got an answer or a truthful refusal. */
    void unserved(ProgramId program) {
        check(false, "each caller receives the whole answer to its own request", program + " waits without end");
    }

    /** Checked at the end: engines were told to release every program that ended. */
    void cacheIsReleased() {
        ended.forEach(p -> check(
                released.contains(p),
                "no engine memory stays held for programs that are gone",
                p + " was not released"));
    }

    /** Returns whether a request ran at a back end; operators find out by looking there. */
    boolean hasRun(Request request) {
        return runs.containsKey(request);
    }
}
