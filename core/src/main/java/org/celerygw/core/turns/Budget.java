package org.celerygw.core.turns;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.turns.OpenTurn;
import org.celerygw.core.gen.turns.ProgramRow;

/** The tokens of one program: spent by settled turns and reserved by open ones. */
final class Budget {
    /** What names of reservations made ahead begin with; no turn's name does. */
    static final String AHEAD = "+";

    private long spentTokens;
    private long keepUntilMs;
    private final Map<String, Long> openTokens = new LinkedHashMap<>();

    static Budget parse(ByteString value) {
        try {
            ProgramRow row = ProgramRow.parseFrom(value);
            Budget budget = new Budget();
            budget.spentTokens = row.getSpentTokens();
            budget.keepUntilMs = row.getKeepUntilMs();
            row.getOpenList().forEach(o -> budget.openTokens.put(o.getTurn(), o.getMaxTokens()));
            return budget;
        } catch (InvalidProtocolBufferException e) {
            throw new GatewayException(ErrorCode.DAMAGED, "a program's row cannot be read");
        }
    }

    ByteString bytes() {
        ProgramRow.Builder row =
                ProgramRow.newBuilder().setSpentTokens(spentTokens).setKeepUntilMs(keepUntilMs);
        openTokens.forEach(
                (turn, max) -> row.addOpen(OpenTurn.newBuilder().setTurn(turn).setMaxTokens(max)));
        return row.build().toByteString();
    }

    Budget copy() {
        Budget copy = new Budget();
        copy.spentTokens = spentTokens;
        copy.keepUntilMs = keepUntilMs;
        copy.openTokens.putAll(openTokens);
        return copy;
    }

    long keepUntilMs() {
        return keepUntilMs;
    }

    /** Keeps the program at least until then. */
    void keepUntil(long timeMs) {
        keepUntilMs = Math.max(keepUntilMs, timeMs);
    }

    boolean isOpen(String turn) {
        return openTokens.containsKey(turn);
    }

    /** Returns whether a turn fits even if all open turns generate their most. */
    boolean fits(long maxTokens, long budgetTokens) {
        long reserved = openTokens.values().stream().mapToLong(Long::longValue).sum();
        return spentTokens + reserved + maxTokens <= budgetTokens;
    }

    /** Returns how many reservations were made ahead, by any host. */
    long ahead() {
        return openTokens.keySet().stream().filter(t -> t.startsWith(AHEAD)).count();
    }

    void open(String turn, long maxTokens) {
        openTokens.put(turn, maxTokens);
    }

    /** Ends an open turn. Returns false when it is not open, which means that it was settled before. */
    boolean settle(String turn, long tokens) {
        if (openTokens.remove(turn) == null) {
            return false;
        }
        spentTokens += tokens;
        return true;
    }
}
