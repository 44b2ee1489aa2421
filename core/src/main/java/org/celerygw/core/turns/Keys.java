package org.celerygw.core.turns;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Names of rows. A program's rows begin with the same text, so that one range holds them all. */
final class Keys {
    static final String EXPIRIES = "x/";
    private static final int MAX_PLAIN = 64;

    private Keys() {}

    /** Returns text that is safe within a key: short, without slashes, the same for the same id. */
    static String safe(String id) {
        boolean plain = !id.isEmpty() && id.length() <= MAX_PLAIN && id.chars().allMatch(Keys::isPlain);
        return plain ? id : "~" + Hashing.sha256().hashString(id, StandardCharsets.UTF_8);
    }

    private static boolean isPlain(int c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    }

    static String rows(String program) {
        return "p/" + program + "/";
    }

    static String program(String program) {
        return rows(program) + "p";
    }

    static String turn(String program, String turn, int piece) {
        return String.format("%st/%s/%03d", rows(program), turn, piece);
    }

    static String index(String turn) {
        return "i/" + turn;
    }

    /** Returns the row that tells when a program may first be removed. */
    static String expiry(long timeMs, String program) {
        return String.format("%s%013d/%s", EXPIRIES, timeMs, program);
    }

    static long expiryMs(String key) {
        return Long.parseLong(key.substring(EXPIRIES.length(), EXPIRIES.length() + 13));
    }

    static String expiringProgram(String key) {
        return key.substring(EXPIRIES.length() + 14);
    }

    static int partition(String program, int count) {
        int hash = Hashing.murmur3_32_fixed()
                .hashString(program, StandardCharsets.UTF_8)
                .asInt();
        return Math.floorMod(hash, count);
    }
}
