package org.celerygw.core.turns;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Builds and parses row keys. All keys of a program share a prefix, so one range read returns all its rows. */
final class ProgramRowKeys {
    static final String EXPIRY_PREFIX = "x/";
    private static final String STREAM_INFIX = "s/";
    private static final int MAX_PLAIN_CHARS = 64;
    private static final int TIME_DIGITS = 13;

    private ProgramRowKeys() {}

    /**
     * Returns an escaped id that is safe within a row key: short and without slashes. Ids that are not plain are
     * replaced by their hash, so the result is always the same for the same id.
     */
    static String safeId(String id) {
        boolean plain =
                !id.isEmpty() && id.length() <= MAX_PLAIN_CHARS && id.chars().allMatch(ProgramRowKeys::isPlainChar);
        return plain ? id : "~" + Hashing.sha256().hashString(id, StandardCharsets.UTF_8);
    }

    private static boolean isPlainChar(int character) {
        return (character >= 'a' && character <= 'z')
                || (character >= 'A' && character <= 'Z')
                || (character >= '0' && character <= '9')
                || character == '-'
                || character == '_';
    }

    /** Returns the common prefix of the keys of all rows of a program. */
    static String programPrefix(String program) {
        return "p/" + program + "/";
    }

    /** Returns the key of the row that holds a program's budget. */
    static String programRow(String program) {
        return programPrefix(program) + "p";
    }

    /** Returns the key of one part of a stored turn; parts are numbered from 0. */
    static String turnRow(String program, String turn, int part) {
        return String.format("%st/%s/%03d", programPrefix(program), turn, part);
    }

    /** Returns the common prefix of the keys of all rows that log a stream. */
    static String streamPrefix(String program, String stream) {
        return programPrefix(program) + STREAM_INFIX + stream + "/";
    }

    /** Returns the key of a row of an attempt's log; attempts and rows are numbered from 0. */
    static String streamRow(String program, String stream, int attempt, int row) {
        return String.format("%s%05d/%06d", streamPrefix(program, stream), attempt, row);
    }

    /** Returns whether a key of a program's row is one of a row that logs a stream. */
    static boolean isStreamRow(String program, String key) {
        return key.startsWith(programPrefix(program) + STREAM_INFIX);
    }

    /** Returns the key of the row that holds the program of a turn. */
    static String turnIndexRow(String turn) {
        return "i/" + turn;
    }

    /**
     * Returns the key of the row that lists a program under the earliest time at which it may be removed. The time has
     * leading zeros so that the keys sort by time.
     */
    static String expiryRow(long timeMs, String program) {
        return String.format("%s%013d/%s", EXPIRY_PREFIX, timeMs, program);
    }

    /** Returns whether a key has the form of those of expiry rows, which the two methods below read. */
    static boolean isExpiryRow(String key) {
        int timeEnd = EXPIRY_PREFIX.length() + TIME_DIGITS;
        return key.length() > timeEnd
                && key.startsWith(EXPIRY_PREFIX)
                && key.charAt(timeEnd) == '/'
                && key.substring(EXPIRY_PREFIX.length(), timeEnd).chars().allMatch(c -> c >= '0' && c <= '9');
    }

    /** Returns the time in the key of an expiry row, in ms since 1970-01-01 UTC. */
    static long expiryMs(String key) {
        return Long.parseLong(key.substring(EXPIRY_PREFIX.length(), EXPIRY_PREFIX.length() + TIME_DIGITS));
    }

    /** Returns the escaped program id in the key of an expiry row. */
    static String expiryProgram(String key) {
        return key.substring(EXPIRY_PREFIX.length() + (TIME_DIGITS + 1));
    }

    /** Returns the number of the partition that holds all rows of a program. */
    static int partition(String program, int count) {
        int hash = Hashing.murmur3_32_fixed()
                .hashString(program, StandardCharsets.UTF_8)
                .asInt();
        return Math.floorMod(hash, count);
    }
}
