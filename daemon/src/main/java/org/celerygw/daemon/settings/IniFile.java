package org.celerygw.daemon.settings;

import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

/** Parses INI text into entries with their line numbers. */
final class IniFile {
    private IniFile() {}

    /** One key and its value; a section header has an empty key, and a key outside any section an empty section. */
    record Entry(String section, String key, String value, int line) {}

    static List<Entry> parse(String text) {
        INIConfiguration ini = new INIConfiguration();
        ini.setSeparatorUsedInInput("=");
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | java.io.IOException e) {
            throw new SettingsException(List.of(new Problem("", "", 0, "is not valid INI")));
        }
        LineNumbers lineNumbers = new LineNumbers(text);
        List<Entry> entries = new ArrayList<>();
        for (ImmutableNode node :
                ini.getNodeModel().getNodeHandler().getRootNode().getChildren()) {
            addSection(node, lineNumbers, entries);
        }
        return entries;
    }

    private static void addSection(ImmutableNode node, LineNumbers lineNumbers, List<Entry> entries) {
        String name = node.getNodeName();
        boolean outsideSection = node.getValue() != null;
        if (outsideSection) {
            entries.add(new Entry("", name, String.valueOf(node.getValue()), lineNumbers.takeLine("", name)));
            return;
        }
        entries.add(new Entry(name, "", "", lineNumbers.takeLine(name, "")));
        for (ImmutableNode key : node.getChildren()) {
            String value =
                    key.getValue() == null ? "" : key.getValue().toString().strip();
            entries.add(new Entry(name, key.getNodeName(), value, lineNumbers.takeLine(name, key.getNodeName())));
        }
    }

    /** Finds the line numbers of entries, which the library does not report, by name and in the order of the text. */
    private static final class LineNumbers {
        private final List<Entry> unmatched = new ArrayList<>();

        LineNumbers(String text) {
            String section = "";
            int lineNumber = 0;
            for (String raw : text.split("\n", -1)) {
                lineNumber++;
                String line = raw.strip();
                if (line.startsWith("[") && line.indexOf(']') > 0) {
                    section = line.substring(1, line.indexOf(']'));
                    unmatched.add(new Entry(section, "", "", lineNumber));
                } else if (!line.isEmpty() && !line.startsWith("#") && !line.startsWith(";")) {
                    int end = line.indexOf('=');
                    String key = end < 0 ? line : line.substring(0, end).strip();
                    unmatched.add(new Entry(section, key, "", lineNumber));
                }
            }
        }

        /** Returns the line of the next occurrence not yet returned; 0 when there is none. */
        int takeLine(String section, String key) {
            for (int i = 0; i < unmatched.size(); i++) {
                Entry entry = unmatched.get(i);
                if (entry.section().equals(section) && entry.key().equals(key)) {
                    unmatched.remove(i);
                    return entry.line();
                }
            }
            return 0;
        }
    }
}
