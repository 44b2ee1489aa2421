package org.celerygw.daemon.settings;

/**
 * One fault in a settings file.
 *
 * @param section the section's name
 * @param key the key's name; empty when the fault is the section itself
 * @param line the line in the file, from 1; 0 when the key is missing
 * @param reason what is wrong and what is expected
 */
public record Problem(String section, String key, int line, String reason) {
    @Override
    public String toString() {
        String place = line > 0 ? "line " + line + ": " : "";
        String name = key.isEmpty() ? "[" + section + "]" : "[" + section + "] " + key;
        return place + name + ": " + reason;
    }
}
