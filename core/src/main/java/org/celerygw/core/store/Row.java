package org.celerygw.core.store;

import com.google.protobuf.ByteString;

/**
 * One row of the table as it was read.
 *
 * @param key the row's key
 * @param version the store's version of the row, from 1, raised by every write; 0 when the row is absent
 * @param value the content; empty when the row is absent
 */
public record Row(String key, long version, ByteString value) {
    /**
     * Returns a row that is not there.
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
     * @return true when it exists
     */
    public boolean exists() {
        return version > 0;
    }
}
