package org.celerygw.core.owner;

import com.google.protobuf.ByteString;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.celerygw.core.gen.state.CallImage;
import org.celerygw.core.gen.state.Done;
import org.celerygw.core.gen.state.Started;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.program.Program;
import org.celerygw.core.program.Programs;

/** Shows programs as JSON. */
final class Views {
    private Views() {}

    static ByteString explain(Programs programs, Program p) {
        String calls = p.calls().stream().map(Views::call).collect(Collectors.joining(",", "[", "]"));
        String children = programs.descendants(p.id()).stream()
                .map(c -> text(c.id().value()))
                .collect(Collectors.joining(",", "[", "]"));
        return utf8("{" + head(programs, p) + ",\"actor\":" + text(p.created().getActor()) + ",\"reason\":"
                + text(p.reason()) + ",\"parent\":" + text(p.created().getParent()) + ",\"createdAtMs\":"
                + p.image().getCreatedAtMs() + ",\"endedAtMs\":" + p.endedAtMs() + ",\"children\":" + children
                + ",\"calls\":" + calls + "}");
    }

    static ByteString list(Programs programs, List<CustomerId> customers) {
        Collection<Program> all = programs.all();
        return utf8(all.stream()
                .filter(p -> customers.isEmpty() || customers.contains(p.customer()))
                .map(p -> "{" + head(programs, p) + "}")
                .collect(Collectors.joining(",", "[", "]")));
    }

    private static String head(Programs programs, Program p) {
        return "\"program\":" + text(p.id().value())
                + ",\"customer\":" + text(p.created().getCustomer())
                + ",\"priorityClass\":" + text(p.created().getPriorityClass())
                + ",\"status\":"
                + text(p.isInDoubt() ? "UNKNOWN_OUTCOME" : p.status().name())
                + ",\"turns\":" + p.calls().size()
                + ",\"maxTurns\":" + p.created().getMaxTurns()
                + ",\"budgetTokens\":" + p.created().getBudgetTokens()
                + ",\"spentTokens\":" + p.spentTokens()
                + ",\"reservedTokens\":" + p.reservedTokens()
                + ",\"familyTokens\":" + programs.committedTokens(p.id().root())
                + ",\"deadlineMs\":" + p.created().getDeadlineMs()
                + ",\"lastAtMs\":" + p.lastAtMs();
    }

    private static String call(CallImage c) {
        Started s = c.getStarted();
        Done d = c.getDone();
        return "{\"number\":" + s.getNumber() + ",\"attempt\":" + s.getAttempt() + ",\"key\":" + text(s.getKey())
                + ",\"kind\":" + text(s.getTool() ? "TOOL" : "MODEL") + ",\"target\":" + text(s.getTarget())
                + ",\"path\":" + text(s.getPath()) + ",\"repeatable\":" + s.getRepeatable() + ",\"sender\":"
                + text(s.getSender()) + ",\"reservedTokens\":" + s.getReservedTokens() + ",\"requestBytes\":"
                + s.getBodyBytes() + ",\"ended\":" + c.hasDone() + ",\"code\":" + text(d.getCode())
                + ",\"runState\":" + text(d.getRunState()) + ",\"message\":" + text(d.getMessage()) + ",\"status\":"
                + d.getStatus() + ",\"answerBytes\":" + d.getAnswerBytes() + ",\"outputTokens\":"
                + d.getOutputTokens() + ",\"spentTokens\":" + d.getSpentTokens() + ",\"backend\":"
                + text(d.getBackend()) + ",\"actor\":" + text(d.getActor()) + "}";
    }

    private static ByteString utf8(String json) {
        return ByteString.copyFromUtf8(json);
    }

    static String text(String raw) {
        StringBuilder out = new StringBuilder("\"");
        raw.chars().forEach(c -> {
            if (c == '"' || c == '\\') {
                out.append('\\').append((char) c);
            } else if (c < 0x20) {
                out.append(String.format(Locale.ROOT, "\\u%04x", c));
            } else {
                out.append((char) c);
            }
        });
        return out.append('"').toString();
    }
}
