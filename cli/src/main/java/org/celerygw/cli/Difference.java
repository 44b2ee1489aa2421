package org.celerygw.cli;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.celerygw.core.gen.config.Configuration;

/** What differs between two configurations: the entries that only one of them has, each as one line. */
final class Difference {
    private Difference() {}

    static List<String> between(Configuration from, Configuration to) {
        Set<String> before = entries(from);
        Set<String> after = entries(to);
        Stream<String> removed = before.stream().filter(e -> !after.contains(e)).map(e -> "- " + e);
        Stream<String> added = after.stream().filter(e -> !before.contains(e)).map(e -> "+ " + e);
        return Stream.concat(removed, added).toList();
    }

    private static Set<String> entries(Configuration c) {
        Set<String> all = new LinkedHashSet<>();
        c.getCustomersList().forEach(e -> all.add("customer " + line(Output.toJson(e))));
        c.getClassesList().forEach(e -> all.add("class " + line(Output.toJson(e))));
        c.getBackendsList().forEach(e -> all.add("backend " + line(Output.toJson(e))));
        c.getServicesList().forEach(e -> all.add("service " + line(Output.toJson(e))));
        all.add("limits " + line(Output.toJson(c.getLimits())));
        return all;
    }

    private static String line(String json) {
        return String.join(
                " ", Arrays.stream(json.split("\n")).map(String::strip).toList());
    }
}
