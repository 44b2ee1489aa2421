package org.celerygw.daemon;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.celerygw.api.gen.operator.ProgramSummary;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.membership.Member;

/** Parses the JSON list of programs that an owner returns. */
final class ProgramList {
    private ProgramList() {}

    /** Returns the programs that a host listed, or an empty list when its request failed. */
    static List<ProgramSummary> parse(Member host, Outcome outcome) {
        if (!outcome.isAnswer()) {
            return List.of();
        }
        return new JsonArray(outcome.answer().toStringUtf8())
                .stream()
                        .map(JsonObject.class::cast)
                        .map(program -> summary(host, program))
                        .toList();
    }

    private static ProgramSummary summary(Member host, JsonObject program) {
        return ProgramSummary.newBuilder()
                .setProgram(program.getString("program"))
                .setCustomer(program.getString("customer"))
                .setState(program.getString("status"))
                .setCalls(program.getLong("turns", 0L))
                .setSpentTokens(program.getLong("spentTokens", 0L))
                .setBudgetTokens(program.getLong("budgetTokens", 0L))
                .setPriorityClass(program.getString("priorityClass", ""))
                .setUnknownCalls("UNKNOWN_OUTCOME".equals(program.getString("status")) ? 1 : 0)
                .setOwnerHost(host.host().value())
                .build();
    }
}
