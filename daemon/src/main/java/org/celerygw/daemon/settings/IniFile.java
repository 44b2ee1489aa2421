package org.celerygw.daemon.settings;

import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

/** The lines of an INI text as entries with their line numbers. */
final class IniFile {
    private IniFile() {}

    /** One key and its value; a section's own header has an empty key. */
    record Entry(String section, String key, String value, int line) {}

    static List<Entry> read(String text) {
        INIConfiguration ini = new INIConfiguration();
        ini.setSeparatorUsedInInput("=");
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | java.io.IOException e) {
            throw new SettingsException(List.of(new Problem("", "", 0, "cannot be read as INI")));
        }
        LineNumbers lines = new LineNumbers(text);
        List<Entry> entries = new ArrayList<>();
        for (ImmutableNode node :
                ini.getNodeModel().getNodeHandler().getRootNode().getChildren()) {
            addSection(node, lines, entries);
        }
        return entries;
    }

    private static void addSection(ImmutableNode node, LineNumbers lines, List<Entry> entries) {
        String name = node.getNodeName();
        boolean global = node.getValue() != null;
        if (global) {
            entries.add(new Entry("", name, String.valueOf(node.getValue()), lines.next("", name)));
            return;
        }
        entries.add(new Entry(name, "", "", lines.next(name, "")));
        for (ImmutableNode key : node.getChildren()) {
            String value =
                    key.getValue() == null ? "" : key.getValue().toString().strip();
            entries.add(new Entry(name, key.getNodeName(), value, lines.next(name, key.getNodeName())));
        }
    }

    /** The library gives no line numbers, so they are found by name, in the order of the text. */
    private static final class LineNumbers {
        private final List<Entry> headers = new ArrayList<>();

        LineNumbers(String text) {
            String section = "";
            int number = 0;
            for (String raw : text.split("\n", -1)) {
                number++;
                String line = raw.strip();
                if (line.startsWith("[") && line.indexOf(']') > 0) {
                    section = line.substring(1, line.indexOf(']'));
                    headers.add(new Entry(section, "", "", number));
                } else if (!line.isEmpty() && !line.startsWith("#") && !line.startsWith(";")) {
                    int end = line.indexOf('=');
                    String key = end < 0 ? line : line.substring(0, end).strip();
                    headers.add(new Entry(section, key, "", number));
                }
            }
        }

        int next(String section, String key) {
            for (int i = 0; i < headers.size(); i++) {
                Entry entry = headers.get(i);
                if (entry.section().equals(section) && entry.key().equals(key)) {
                    headers.remove(i);
                    return entry.line();
                }
            }
            return 0;
        }
    }
}
