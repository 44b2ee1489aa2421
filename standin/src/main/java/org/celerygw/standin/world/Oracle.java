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
 * Checks the required properties from observations made outside the hosts: at callers, back ends and host exits. Two
 * properties are checked elsewhere, next to the code that decides them: a leaving back end gets no new work, and an
 * accepted configuration becomes active on every host.
 */
final class Oracle {
    private final List<Violation> violations = new ArrayList<>();
    private final Map<ProgramId, Long> budgetTokens = new HashMap<>();
    private final Map<CustomerId, Long> ceilingTokens = new HashMap<>();
    private final Map<ProgramId, Long> spentTokens = new HashMap<>();
    private final Map<CustomerId, Long> spentTokensByCustomer = new HashMap<>();
    private final Map<RequestIdentity, List<String>> answersOfRuns = new HashMap<>();
    private final Map<ProgramId, Long> lastStartedNumber = new HashMap<>();
    private final Map<CallId, String> answers = new HashMap<>();
    private final Set<RequestIdentity> refusedRequests = new HashSet<>();
    private final Set<CallId> resolvedCalls = new HashSet<>();
    private final Set<ProgramId> createdPrograms = new HashSet<>();
    private final Set<ProgramId> endedPrograms = new HashSet<>();
    private final Set<ProgramId> releasedPrograms = new HashSet<>();

    /**
     * A property that did not hold.
     *
     * @param property the name of the property
     * @param detail the observation that violates it
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

    void setBudget(ProgramId root, long tokens) {
        budgetTokens.put(root, tokens);
    }

    void setCeiling(CustomerId customer, long tokens) {
        ceilingTokens.put(customer, tokens);
    }

    /** Records that a caller submits a request, for the first time or as a retry. */
    void requestSubmitted(RequestIdentity request) {
        refusedRequests.remove(request);
    }

    /** Records that a back end starts to run a call, and checks order, repetition and budget. */
    void callStarted(CallRequest call, String answer, long tokens) {
        checkCallOrder(call.id());
        RequestIdentity request = RequestIdentity.of(call);
        check(
                !refusedRequests.contains(request),
                "a refusal that says not run means the request did not run",
                request + " runs after it was refused");
        answersOfRuns.computeIfAbsent(request, r -> new ArrayList<>()).add(answer);
        if (!call.repeatable()) {
            checkRunsAtMostOnce(request);
        }
        ProgramId root = call.id().program().root();
        spentTokens.merge(root, tokens, Long::sum);
        spentTokensByCustomer.merge(call.customer(), tokens, Long::sum);
        checkBudget(root, call.customer());
    }

    private void checkCallOrder(CallId id) {
        long last = lastStartedNumber.getOrDefault(id.program(), 0L);
        boolean inSequence = id.number() == last || id.number() == last + 1;
        boolean previousResolved =
                id.number() == last || last == 0 || resolvedCalls.contains(new CallId(id.program(), last));
        check(
                inSequence && previousResolved,
                "calls of one program run in their order",
                id + " started after call #" + last);
        lastStartedNumber.merge(id.program(), id.number(), Math::max);
    }

    /** Records that a call is resolved: its sender received an answer or a failure, or an operator settled it. */
    void callResolved(CallId id) {
        resolvedCalls.add(id);
    }

    private void checkRunsAtMostOnce(RequestIdentity request) {
        check(
                answersOfRuns.get(request).size() <= 1,
                "a request that may not be repeated runs at most once",
                request + " ran " + answersOfRuns.get(request).size() + " times");
    }

    private void checkBudget(ProgramId root, CustomerId customer) {
        long budget = budgetTokens.getOrDefault(root, Long.MAX_VALUE);
        check(
                spentTokens.get(root) <= budget,
                "a program never spends beyond its budget",
                root + " spent " + spentTokens.get(root) + " of " + budget);
        long ceiling = ceilingTokens.getOrDefault(customer, Long.MAX_VALUE);
        check(
                spentTokensByCustomer.get(customer) <= ceiling,
                "a program never spends beyond its budget",
                customer + " spent " + spentTokensByCustomer.get(customer) + " of its ceiling " + ceiling);
    }

    /** Records and checks a caller's reply; it is never NOT_OWNER, since entry hosts then retry at another host. */
    void replyReceived(RequestIdentity request, Outcome outcome) {
        if (outcome.isAnswer()) {
            checkAnswer(request, outcome.answer().toStringUtf8());
        } else if (outcome.runState() == RunState.NOT_RUN) {
            refusedRequests.add(request);
            check(
                    !answersOfRuns.containsKey(request),
                    "a refusal that says not run means the request did not run",
                    request + " ran but was refused with " + outcome.code());
        }
        if (outcome.code() == ErrorCode.NOT_FOUND
                && createdPrograms.contains(request.call().program())) {
            check(
                    endedPrograms.contains(request.call().program()),
                    "a program's history is never lost and never mixed with another's",
                    request.call().program() + " is not found");
        }
    }

    private void checkAnswer(RequestIdentity request, String answer) {
        boolean belongsToRequest =
                answersOfRuns.getOrDefault(request, List.of()).contains(answer) || answer.startsWith("settled");
        check(
                belongsToRequest,
                "each caller receives the whole answer to its own request",
                request + " got <" + answer + "> of " + answersOfRuns.getOrDefault(request, List.of()));
        String previous = answers.putIfAbsent(request.call(), answer);
        check(
                previous == null || previous.equals(answer),
                "a program's history is never lost and never mixed with another's",
                request + " got <" + answer + "> after <" + previous + ">");
    }

    /** Records that a caller received confirmation of a program's creation. */
    void programCreated(ProgramId program) {
        createdPrograms.add(program);
    }

    /** Records that the end of a program was confirmed to its caller. */
    void programEnded(ProgramId program) {
        endedPrograms.add(program);
    }

    /** Records that an owner requested the release of a program's engine caches. */
    void cacheReleased(ProgramId program) {
        releasedPrograms.add(program);
    }

    /** Checks that a host which reports a completed planned stop has no calls in flight. */
    void hostDrained(HostId host, int callsInFlight) {
        check(
                callsInFlight == 0,
                "a planned stop cuts off no request",
                host + " left with " + callsInFlight + " calls in flight");
    }

    /** Reports a program whose request has no answer or truthful refusal after all faults were removed. */
    void programUnserved(ProgramId program) {
        check(
                false,
                "each caller receives the whole answer to its own request",
                program + " received no answer after all faults were removed");
    }

    /** Checks at the end of a run that a cache release was requested for every ended program. */
    void checkCachesReleased() {
        endedPrograms.forEach(p -> check(
                releasedPrograms.contains(p),
                "no engine memory stays held for programs that are gone",
                p + " was not released"));
    }

    /** Returns whether a request ran at a back end; simulated operators use it to settle calls. */
    boolean hasRun(RequestIdentity request) {
        return answersOfRuns.containsKey(request);
    }
}
