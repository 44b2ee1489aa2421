package org.celerygw.daemon.settings;

import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads numbers with units such as {@code 250ms} and {@code 64KiB}. */
final class Units {
    private static final Pattern QUANTITY = Pattern.compile("(\\d{1,12})([A-Za-z]+)");
    private static final Map<String, Long> DURATIONS_MS =
            Map.of("ms", 1L, "s", 1_000L, "m", 60_000L, "h", 3_600_000L, "d", 86_400_000L);
    private static final Map<String, Long> SIZES_BYTES =
            Map.of("B", 1L, "KiB", 1_024L, "MiB", 1_048_576L, "GiB", 1_073_741_824L);

    private Units() {}

    static OptionalLong durationMs(String text) {
        return quantity(text, DURATIONS_MS);
    }

    static OptionalLong sizeBytes(String text) {
        return quantity(text, SIZES_BYTES);
    }

    private static OptionalLong quantity(String text, Map<String, Long> units) {
        Matcher matcher = QUANTITY.matcher(text);
        if (!matcher.matches() || !units.containsKey(matcher.group(2))) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Long.parseLong(matcher.group(1)) * units.get(matcher.group(2)));
    }
}
