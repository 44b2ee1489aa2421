package org.celerygw.daemon;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.celerygw.api.gen.operator.ProgramSummary;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.membership.Member;

/** Reads an owner's list of programs. */
final class ProgramList {
    private ProgramList() {}

    /** Returns the programs that a host listed; none when it did not answer. */
    static List<ProgramSummary> of(Member host, Outcome outcome) {
        if (!outcome.isAnswer()) {
            return List.of();
        }
        return new JsonArray(outcome.answer().toStringUtf8())
                .stream().map(JsonObject.class::cast).map(p -> summary(host, p)).toList();
    }

    private static ProgramSummary summary(Member host, JsonObject p) {
        return ProgramSummary.newBuilder()
                .setProgram(p.getString("program"))
                .setCustomer(p.getString("customer"))
                .setState(p.getString("status"))
                .setCalls(p.getLong("turns", 0L))
                .setSpentTokens(p.getLong("spentTokens", 0L))
                .setBudgetTokens(p.getLong("budgetTokens", 0L))
                .setPriorityClass(p.getString("priorityClass", ""))
                .setUnknownCalls("UNKNOWN_OUTCOME".equals(p.getString("status")) ? 1 : 0)
                .setOwnerHost(host.host().value())
                .build();
    }
}
