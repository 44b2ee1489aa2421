package org.celerygw.core.store;

import com.google.protobuf.ByteString;

/**
 * A row of the table at the time it was read.
 *
 * @param key the row's key
 * @param version the row's version in the store, which starts at 1 and increases with every write; 0 if the row is absent
 * @param value the content; empty if the row is absent
 */
public record Row(String key, long version, ByteString value) {
    /**
     * Returns the representation of a row that does not exist.
     *
     * @param key the row's key
     * @return a row with version 0
     */
    public static Row absent(String key) {
        return new Row(key, 0, ByteString.EMPTY);
    }

    /**
     * Returns whether the row exists.
     *
     * @return false if the row is absent
     */
    public boolean exists() {
        return version > 0;
    }
}
