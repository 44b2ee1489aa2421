package org.celerygw.daemon.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.helper.Check;

/**
 * Reads typed values and gathers every fault. A key that nobody read by the time of {@link #finish} is unknown.
 */
final class SettingsReader {
    private final List<IniFile.Entry> entries;
    private final Set<IniFile.Entry> known = new HashSet<>();
    private final Set<String> sections = new HashSet<>();
    private final List<Problem> problems = new ArrayList<>();

    SettingsReader(List<IniFile.Entry> entries) {
        this.entries = entries;
    }

    /** Reads a text, or the default when the key is absent. */
    String text(String section, String key, String fallback) {
        return typed(section, key, fallback, Function.identity());
    }

    /** Reads a value that may be absent; one that is present and empty is a fault all the same. */
    <T> Optional<T> optional(String section, String key, Function<String, T> parser, T placeholder) {
        return find(section, key).map(entry -> required(section, key, parser, placeholder));
    }

    /** Reads a value, or the default when the key is absent; the parser throws with the reason. */
    <T> T typed(String section, String key, String fallback, Function<String, T> parser) {
        if (find(section, key).isEmpty()) {
            return parser.apply(fallback);
        }
        return required(section, key, parser, parser.apply(fallback));
    }

    /** Reads a mandatory value; the placeholder stands for it until {@link #finish} throws. */
    <T> T required(String section, String key, Function<String, T> parser, T placeholder) {
        Optional<IniFile.Entry> entry = find(section, key);
        if (entry.isEmpty()) {
            problems.add(new Problem(section, key, 0, "is missing"));
            return placeholder;
        }
        if (entry.get().value().isEmpty()) {
            problems.add(new Problem(section, key, entry.get().line(), "has no value"));
            return placeholder;
        }
        try {
            return parser.apply(entry.get().value());
        } catch (GatewayException e) {
            problems.add(new Problem(section, key, entry.get().line(), String.valueOf(e.getMessage())));
            return placeholder;
        }
    }

    /** Reads a whole number within bounds. */
    int number(String section, String key, String fallback, int min, int max) {
        String expected = "must be a whole number from " + min + " to " + max;
        return (int) bounded(section, key, fallback, SettingsReader::wholeNumber, min, max, expected);
    }

    /** Reads a duration within bounds. */
    long durationMs(String section, String key, String fallback, long minMs, long maxMs) {
        String expected = "must be a duration with a unit (ms, s, m, h, d) from " + minMs + "ms to " + maxMs + "ms";
        return bounded(section, key, fallback, Units::durationMs, minMs, maxMs, expected);
    }

    /** Reads a size within bounds. */
    int sizeBytes(String section, String key, String fallback, int minBytes, int maxBytes) {
        String expected = "must be a size with a unit (B, KiB, MiB) from " + minBytes + "B to " + maxBytes + "B";
        return (int) bounded(section, key, fallback, Units::sizeBytes, minBytes, maxBytes, expected);
    }

    /** Returns all entries of a section and marks them as known. */
    List<IniFile.Entry> all(String section) {
        sections.add(section);
        List<IniFile.Entry> found = entries.stream()
                .filter(e -> e.section().equals(section) && !e.key().isEmpty())
                .toList();
        known.addAll(found);
        return found;
    }

    /** Adds a fault that lies between two keys or inside a list. */
    void problem(String section, String key, String reason) {
        int line = entries.stream()
                .filter(e -> e.section().equals(section) && e.key().equals(key))
                .mapToInt(IniFile.Entry::line)
                .findFirst()
                .orElse(0);
        problems.add(new Problem(section, key, line, reason));
    }

    /** Throws with all faults when there is one. */
    void finish() {
        entries.stream().filter(e -> !e.key().isEmpty()).forEach(this::checkKnown);
        entries.stream()
                .filter(e -> e.key().isEmpty() && !sections.contains(e.section()))
                .forEach(e -> problems.add(new Problem(e.section(), "", e.line(), "is not a known section")));
        if (!problems.isEmpty()) {
            problems.sort(Comparator.comparingInt(Problem::line));
            throw new SettingsException(problems);
        }
    }

    private void checkKnown(IniFile.Entry entry) {
        if (entry.section().isEmpty()) {
            problems.add(new Problem("", entry.key(), entry.line(), "stands outside of any section"));
            return;
        }
        if (known.contains(entry) || !sections.contains(entry.section())) {
            return;
        }
        boolean twice = known.stream()
                .anyMatch(k -> k.section().equals(entry.section()) && k.key().equals(entry.key()));
        problems.add(new Problem(
                entry.section(), entry.key(), entry.line(), twice ? "is given twice" : "is not a known key"));
    }

    private long bounded(
            String section,
            String key,
            String fallback,
            Function<String, OptionalLong> parser,
            long min,
            long max,
            String expected) {
        return typed(section, key, fallback, value -> {
            OptionalLong number = parser.apply(value);
            Check.that(number.isPresent() && number.getAsLong() >= min && number.getAsLong() <= max, expected);
            return number.getAsLong();
        });
    }

    private Optional<IniFile.Entry> find(String section, String key) {
        sections.add(section);
        Optional<IniFile.Entry> found = entries.stream()
                .filter(e -> e.section().equals(section) && e.key().equals(key))
                .findFirst();
        found.ifPresent(known::add);
        return found;
    }

    private static OptionalLong wholeNumber(String text) {
        return text.matches("\\d{1,12}") ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
    }
}
