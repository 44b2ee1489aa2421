package org.celerygw.cli;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.celerygw.core.gen.config.Configuration;

/** Compares two configurations entry by entry. */
final class ConfigDiff {
    private ConfigDiff() {}

    /** Returns a line for each entry that only one side has: "- " marks the first side, "+ " the second. */
    static List<String> between(Configuration from, Configuration to) {
        Set<String> before = entries(from);
        Set<String> after = entries(to);
        Stream<String> removed = before.stream().filter(e -> !after.contains(e)).map(e -> "- " + e);
        Stream<String> added = after.stream().filter(e -> !before.contains(e)).map(e -> "+ " + e);
        return Stream.concat(removed, added).toList();
    }

    private static Set<String> entries(Configuration configuration) {
        Set<String> entries = new LinkedHashSet<>();
        configuration.getCustomersList().forEach(e -> entries.add("customer " + toSingleLine(Output.toJson(e))));
        configuration.getClassesList().forEach(e -> entries.add("class " + toSingleLine(Output.toJson(e))));
        configuration.getBackendsList().forEach(e -> entries.add("backend " + toSingleLine(Output.toJson(e))));
        configuration.getServicesList().forEach(e -> entries.add("service " + toSingleLine(Output.toJson(e))));
        entries.add("limits " + toSingleLine(Output.toJson(configuration.getLimits())));
        return entries;
    }

    private static String toSingleLine(String json) {
        return String.join(
                " ", Arrays.stream(json.split("\n")).map(String::strip).toList());
    }
}
