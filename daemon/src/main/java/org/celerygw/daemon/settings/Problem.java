package org.celerygw.daemon.settings;

/**
 * One problem in a settings file.
 *
 * @param section the section's name; empty when the problem concerns no section
 * @param key the key's name; empty when the problem concerns the whole section or file
 * @param line the line number in the file, from 1; 0 when the key is missing or the line is unknown
 * @param reason what is wrong, and what is expected where that is not obvious
 */
public record Problem(String section, String key, int line, String reason) {
    @Override
    public String toString() {
        String position = line > 0 ? "line " + line + ": " : "";
        String name = key.isEmpty() ? "[" + section + "]" : "[" + section + "] " + key;
        return position + name + ": " + reason;
    }
}
