package org.celerygw.core.turns;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.turns.OpenTurn;
import org.celerygw.core.gen.turns.ProgramRow;
import org.celerygw.core.store.Row;

/**
 * The token budget of one program as its row holds it: the tokens spent by settled turns and those reserved by open
 * turns, the software versions at which streams began, and the time until which the program is retained.
 */
final class Budget {
    /** Prefix of the names of advance reservations; no escaped turn id starts with it. */
    static final String ADVANCE_PREFIX = "+";

    private long spentTokens;
    private long keepUntilMs;
    private final Map<String, OpenReservation> open = new LinkedHashMap<>();
    private StreamVersions streams = new StreamVersions();

    private record OpenReservation(long tokens, String softwareVersion) {}

    /** Decodes a program's row; an empty budget if it does not exist, throws if it cannot be decoded. */
    static Budget parse(Row stored) {
        if (!stored.exists()) {
            return new Budget();
        }
        try {
            ProgramRow row = ProgramRow.parseFrom(stored.value());
            Budget budget = new Budget();
            budget.spentTokens = row.getSpentTokens();
            budget.keepUntilMs = row.getKeepUntilMs();
            row.getOpenList()
                    .forEach(o -> budget.open.put(
                            o.getTurn(), new OpenReservation(o.getMaxTokens(), o.getSoftwareVersion())));
            budget.streams = StreamVersions.parse(row);
            return budget;
        } catch (InvalidProtocolBufferException e) {
            throw new GatewayException(
                    ErrorCode.DAMAGED,
                    "row " + stored.key() + " of version " + stored.version()
                            + " cannot be decoded as a ProgramRow message");
        }
    }

    ByteString toRowValue() {
        ProgramRow.Builder row =
                ProgramRow.newBuilder().setSpentTokens(spentTokens).setKeepUntilMs(keepUntilMs);
        open.forEach((turn, reservation) -> row.addOpen(OpenTurn.newBuilder()
                .setTurn(turn)
                .setMaxTokens(reservation.tokens())
                .setSoftwareVersion(reservation.softwareVersion())));
        streams.addTo(row);
        return row.build().toByteString();
    }

    Budget copy() {
        Budget copy = new Budget();
        copy.spentTokens = spentTokens;
        copy.keepUntilMs = keepUntilMs;
        copy.open.putAll(open);
        copy.streams = streams.copy();
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
        return open.containsKey(turn);
    }

    /** Returns whether a turn fits the budget even if every open turn uses its full reservation. */
    boolean fits(long maxTokens, long budgetTokens) {
        long reserved =
                open.values().stream().mapToLong(OpenReservation::tokens).sum();
        return spentTokens + reserved + maxTokens <= budgetTokens;
    }

    /** Returns how many advance reservations are open, by any host. */
    long advanceReservations() {
        return open.keySet().stream().filter(Budget::isAdvance).count();
    }

    private static boolean isAdvance(String turn) {
        return turn.startsWith(ADVANCE_PREFIX);
    }

    /** Reserves tokens for a turn whose stream begins at the given software version; empty if that is not known. */
    void reserve(String turn, long maxTokens, String softwareVersion) {
        open.put(turn, new OpenReservation(maxTokens, softwareVersion));
    }

    /** Records at which software version a turn's stream began; returns whether that was not recorded yet. */
    boolean recordStream(String turn, String softwareVersion) {
        return streams.record(turn, softwareVersion);
    }

    /**
     * Returns the software version at which a turn's stream began; empty if the row does not tell. A stream that was not
     * recorded and has no reservation of its own runs under an advance reservation that is still open: which of them is
     * not stored, so that all must name the same version.
     */
    Optional<String> streamVersion(String turn) {
        Optional<String> recorded = streams.of(turn);
        if (recorded.isPresent()) {
            return recorded;
        }
        OpenReservation own = open.get(turn);
        if (own != null) {
            return Optional.of(own.softwareVersion()).filter(v -> !v.isEmpty());
        }
        Set<String> versions = open.entrySet().stream()
                .filter(e -> isAdvance(e.getKey()))
                .map(e -> e.getValue().softwareVersion())
                .collect(Collectors.toSet());
        boolean known = streams.isComplete() && versions.size() == 1 && !versions.contains("");
        return known ? Optional.of(versions.iterator().next()) : Optional.empty();
    }

    /**
     * Settles an open turn or reservation: releases what it reserved and counts what it spent. Returns false if it is
     * not open, which normally means that it was settled before.
     */
    boolean settle(String turn, long tokens) {
        if (open.remove(turn) == null) {
            return false;
        }
        spentTokens += tokens;
        return true;
    }
}
