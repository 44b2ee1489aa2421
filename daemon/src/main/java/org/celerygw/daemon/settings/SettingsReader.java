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
 * Reads typed values and collects every problem. Call {@link #throwIfInvalid} last: it reports the keys and sections
 * that were never read as unknown.
 */
final class SettingsReader {
    private final List<IniFile.Entry> entries;
    private final Set<IniFile.Entry> readEntries = new HashSet<>();
    private final Set<String> knownSections = new HashSet<>();
    private final List<Problem> problems = new ArrayList<>();

    SettingsReader(List<IniFile.Entry> entries) {
        this.entries = entries;
    }

    /** Reads a string, or the default when the key is absent. */
    String text(String section, String key, String fallback) {
        return valueOrDefault(section, key, fallback, Function.identity());
    }

    /** Reads an optional value; a key that is present without a value is a problem. */
    <T> Optional<T> optional(String section, String key, Function<String, T> parser, T placeholder) {
        return findEntry(section, key).map(entry -> required(section, key, parser, placeholder));
    }

    /** Reads a value, or the default when the key is absent; the parser throws a GatewayException with the reason. */
    <T> T valueOrDefault(String section, String key, String fallback, Function<String, T> parser) {
        if (findEntry(section, key).isEmpty()) {
            return parser.apply(fallback);
        }
        return required(section, key, parser, parser.apply(fallback));
    }

    /** Reads a mandatory value; a problem yields the placeholder, and {@link #throwIfInvalid} throws later. */
    <T> T required(String section, String key, Function<String, T> parser, T placeholder) {
        Optional<IniFile.Entry> entry = findEntry(section, key);
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

    /** Reads an integer from min to max. */
    int integer(String section, String key, String fallback, int min, int max) {
        String expected = "must be a whole number from " + min + " to " + max;
        return (int) bounded(section, key, fallback, SettingsReader::parseInteger, min, max, expected);
    }

    /** Reads a duration with a unit, from minMs to maxMs. */
    long durationMs(String section, String key, String fallback, long minMs, long maxMs) {
        String expected = "must be a duration with a unit (ms, s, m, h, d) from " + minMs + "ms to " + maxMs + "ms";
        return bounded(section, key, fallback, Units::parseDurationMs, minMs, maxMs, expected);
    }

    /** Reads a size with a unit, from minBytes to maxBytes. */
    int sizeBytes(String section, String key, String fallback, int minBytes, int maxBytes) {
        String expected = "must be a size with a unit (B, KiB, MiB) from " + minBytes + "B to " + maxBytes + "B";
        return (int) bounded(section, key, fallback, Units::parseSizeBytes, minBytes, maxBytes, expected);
    }

    /** Returns all entries of a section whose keys are free names, and marks them as read. */
    List<IniFile.Entry> sectionEntries(String section) {
        knownSections.add(section);
        List<IniFile.Entry> found = entries.stream()
                .filter(e -> e.section().equals(section) && !e.key().isEmpty())
                .toList();
        readEntries.addAll(found);
        return found;
    }

    /** Reports a problem that a single value's parser cannot see: a conflict between keys or inside a list. */
    void addProblem(String section, String key, String reason) {
        int line = entries.stream()
                .filter(e -> e.section().equals(section) && e.key().equals(key))
                .mapToInt(IniFile.Entry::line)
                .findFirst()
                .orElse(0);
        problems.add(new Problem(section, key, line, reason));
    }

    /** Reports unknown sections and keys, then throws if there is any problem. */
    void throwIfInvalid() {
        entries.stream().filter(e -> !e.key().isEmpty()).forEach(this::checkKnown);
        entries.stream()
                .filter(e -> e.key().isEmpty() && !knownSections.contains(e.section()))
                .forEach(e -> problems.add(new Problem(e.section(), "", e.line(), "is not a known section")));
        if (!problems.isEmpty()) {
            problems.sort(Comparator.comparingInt(Problem::line));
            throw new SettingsException(problems);
        }
    }

    private void checkKnown(IniFile.Entry entry) {
        if (entry.section().isEmpty()) {
            problems.add(new Problem("", entry.key(), entry.line(), "is outside any section"));
            return;
        }
        if (readEntries.contains(entry) || !knownSections.contains(entry.section())) {
            return;
        }
        boolean duplicate = readEntries.stream()
                .anyMatch(k -> k.section().equals(entry.section()) && k.key().equals(entry.key()));
        problems.add(new Problem(
                entry.section(), entry.key(), entry.line(), duplicate ? "is set twice" : "is not a known key"));
    }

    private long bounded(
            String section,
            String key,
            String fallback,
            Function<String, OptionalLong> parser,
            long min,
            long max,
            String expected) {
        return valueOrDefault(section, key, fallback, value -> {
            OptionalLong number = parser.apply(value);
            Check.that(number.isPresent() && number.getAsLong() >= min && number.getAsLong() <= max, expected);
            return number.getAsLong();
        });
    }

    private Optional<IniFile.Entry> findEntry(String section, String key) {
        knownSections.add(section);
        Optional<IniFile.Entry> found = entries.stream()
                .filter(e -> e.section().equals(section) && e.key().equals(key))
                .findFirst();
        found.ifPresent(readEntries::add);
        return found;
    }

    private static OptionalLong parseInteger(String text) {
        return text.matches("\\d{1,12}") ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
    }
}
