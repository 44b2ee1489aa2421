package org.celerygw.daemon.settings;

import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses durations and sizes with units, such as {@code 250ms} and {@code 64KiB}. */
final class Units {
    private static final Pattern QUANTITY = Pattern.compile("(\\d{1,12})([A-Za-z]+)");
    private static final Map<String, Long> MS_PER_UNIT =
            Map.of("ms", 1L, "s", 1_000L, "m", 60_000L, "h", 3_600_000L, "d", 86_400_000L);
    private static final Map<String, Long> BYTES_PER_UNIT =
            Map.of("B", 1L, "KiB", 1_024L, "MiB", 1_048_576L, "GiB", 1_073_741_824L);

    private Units() {}

    static OptionalLong parseDurationMs(String text) {
        return parseQuantity(text, MS_PER_UNIT);
    }

    static OptionalLong parseSizeBytes(String text) {
        return parseQuantity(text, BYTES_PER_UNIT);
    }

    private static OptionalLong parseQuantity(String text, Map<String, Long> units) {
        Matcher matcher = QUANTITY.matcher(text);
        if (!matcher.matches() || !units.containsKey(matcher.group(2))) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Long.parseLong(matcher.group(1)) * units.get(matcher.group(2)));
    }
}
