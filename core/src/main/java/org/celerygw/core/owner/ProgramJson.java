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
import org.celerygw.core.program.ProgramIndex;

/** Formats programs as JSON for operators and customers. */
final class ProgramJson {
    private ProgramJson() {}

    /** Returns a program with its calls and the ids of its sub-agents. */
    static ByteString explain(ProgramIndex programs, Program program) {
        String calls = program.calls().stream().map(ProgramJson::call).collect(Collectors.joining(",", "[", "]"));
        String children = programs.descendants(program.id()).stream()
                .map(child -> quote(child.id().value()))
                .collect(Collectors.joining(",", "[", "]"));
        return utf8("{" + commonFields(programs, program) + ",\"actor\":"
                + quote(program.created().getActor()) + ",\"reason\":"
                + quote(program.damageReason()) + ",\"parent\":"
                + quote(program.created().getParent()) + ",\"createdAtMs\":"
                + program.toImage().getCreatedAtMs() + ",\"endedAtMs\":" + program.endedAtMs() + ",\"children\":"
                + children
                + ",\"calls\":" + calls + "}");
    }

    /** Returns a list of the programs of some customers, or of all programs if none are named. */
    static ByteString list(ProgramIndex programs, List<CustomerId> customers) {
        Collection<Program> all = programs.all();
        return utf8(all.stream()
                .filter(program -> customers.isEmpty() || customers.contains(program.customer()))
                .map(program -> "{" + commonFields(programs, program) + "}")
                .collect(Collectors.joining(",", "[", "]")));
    }

    private static String commonFields(ProgramIndex programs, Program program) {
        return "\"program\":" + quote(program.id().value())
                + ",\"customer\":" + quote(program.created().getCustomer())
                + ",\"priorityClass\":" + quote(program.created().getPriorityClass())
                + ",\"status\":"
                + quote(
                        program.isInDoubt()
                                ? "UNKNOWN_OUTCOME"
                                : program.status().name())
                + ",\"turns\":" + program.calls().size()
                + ",\"maxTurns\":" + program.created().getMaxTurns()
                + ",\"budgetTokens\":" + program.created().getBudgetTokens()
                + ",\"spentTokens\":" + program.spentTokens()
                + ",\"reservedTokens\":" + program.reservedTokens()
                + ",\"familyTokens\":" + programs.committedTokens(program.id().root())
                + ",\"deadlineMs\":" + program.created().getDeadlineMs()
                + ",\"lastAtMs\":" + program.lastEntryAtMs();
    }

    private static String call(CallImage call) {
        Started started = call.getStarted();
        Done done = call.getDone();
        return "{\"number\":" + started.getNumber() + ",\"attempt\":" + started.getAttempt() + ",\"key\":"
                + quote(started.getKey())
                + ",\"kind\":" + quote(started.getTool() ? "TOOL" : "MODEL") + ",\"target\":"
                + quote(started.getTarget())
                + ",\"path\":" + quote(started.getPath()) + ",\"repeatable\":" + started.getRepeatable()
                + ",\"sender\":"
                + quote(started.getSender()) + ",\"reservedTokens\":" + started.getReservedTokens()
                + ",\"requestBytes\":"
                + started.getBodyBytes() + ",\"ended\":" + call.hasDone() + ",\"code\":" + quote(done.getCode())
                + ",\"runState\":" + quote(done.getRunState()) + ",\"message\":" + quote(done.getMessage())
                + ",\"status\":"
                + done.getStatus() + ",\"answerBytes\":" + done.getAnswerBytes() + ",\"outputTokens\":"
                + done.getOutputTokens() + ",\"spentTokens\":" + done.getSpentTokens() + ",\"backend\":"
                + quote(done.getBackend()) + ",\"actor\":" + quote(done.getActor()) + "}";
    }

    private static ByteString utf8(String json) {
        return ByteString.copyFromUtf8(json);
    }

    /** Returns the text as a JSON string, with quotes, backslashes and control characters escaped. */
    static String quote(String value) {
        StringBuilder json = new StringBuilder("\"");
        value.chars().forEach(c -> {
            if (c == '"' || c == '\\') {
                json.append('\\').append((char) c);
            } else if (c < 0x20) {
                json.append(String.format(Locale.ROOT, "\\u%04x", c));
            } else {
                json.append((char) c);
            }
        });
        return json.append('"').toString();
    }
}
