package org.celerygw.core.turns;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.turns.OpenTurn;
import org.celerygw.core.gen.turns.ProgramRow;

/**
 * The token budget of one program as its row holds it: the tokens spent by settled turns and those reserved by open
 * turns, together with the time until which the program is retained.
 */
final class Budget {
    /** Prefix of the names of advance reservations; no escaped turn id starts with it. */
    static final String ADVANCE_PREFIX = "+";

    private long spentTokens;
    private long keepUntilMs;
    private final Map<String, Long> openTokensByTurn = new LinkedHashMap<>();

    static Budget parse(ByteString value) {
        try {
            ProgramRow row = ProgramRow.parseFrom(value);
            Budget budget = new Budget();
            budget.spentTokens = row.getSpentTokens();
            budget.keepUntilMs = row.getKeepUntilMs();
            row.getOpenList().forEach(o -> budget.openTokensByTurn.put(o.getTurn(), o.getMaxTokens()));
            return budget;
        } catch (InvalidProtocolBufferException e) {
            throw new GatewayException(ErrorCode.DAMAGED, "program row cannot be decoded as a ProgramRow message");
        }
    }

    ByteString toRowValue() {
        ProgramRow.Builder row =
                ProgramRow.newBuilder().setSpentTokens(spentTokens).setKeepUntilMs(keepUntilMs);
        openTokensByTurn.forEach(
                (turn, max) -> row.addOpen(OpenTurn.newBuilder().setTurn(turn).setMaxTokens(max)));
        return row.build().toByteString();
    }

    Budget copy() {
        Budget copy = new Budget();
        copy.spentTokens = spentTokens;
        copy.keepUntilMs = keepUntilMs;
        copy.openTokensByTurn.putAll(openTokensByTurn);
        return copy;
    }

    long keepUntilMs() {
        return keepUntilMs;
    }

    /** Retains the program's rows at least until the given time; never shortens the retention. */
    void extendRetention(long timeMs) {
        keepUntilMs = Math.max(keepUntilMs, timeMs);
    }

    boolean isOpen(String turn) {
        return openTokensByTurn.containsKey(turn);
    }

    /** Returns whether a turn fits the budget even if every open turn uses its full reservation. */
    boolean fits(long maxTokens, long budgetTokens) {
        long reserved =
                openTokensByTurn.values().stream().mapToLong(Long::longValue).sum();
        return spentTokens + reserved + maxTokens <= budgetTokens;
    }

    /** Returns how many advance reservations are open, by any host. */
    long advanceReservations() {
        return openTokensByTurn.keySet().stream()
                .filter(t -> t.startsWith(ADVANCE_PREFIX))
                .count();
    }

    void reserve(String turn, long maxTokens) {
        openTokensByTurn.put(turn, maxTokens);
    }

    /**
     * Settles an open turn or reservation: releases what it reserved and counts what it spent. Returns false if it is
     * not open, which normally means that it was settled before.
     */
    boolean settle(String turn, long tokens) {
        if (openTokensByTurn.remove(turn) == null) {
            return false;
        }
        spentTokens += tokens;
        return true;
    }
}
