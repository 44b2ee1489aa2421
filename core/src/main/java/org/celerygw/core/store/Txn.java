package org.celerygw.core.store;

import com.google.protobuf.ByteString;
import java.util.List;

/**
 * A conditional write: all changes are applied atomically if every condition holds, and none otherwise.
 *
 * @param conditions the row versions that the changes depend on
 * @param changes the rows to write or delete
 */
public record Txn(List<Condition> conditions, List<Change> changes) {
    /** Takes immutable copies of the lists. */
    public Txn {
        conditions = List.copyOf(conditions);
        changes = List.copyOf(changes);
    }

    /**
     * A condition that holds if a row has a certain version.
     *
     * @param key the row's key
     * @param version the version that the row must have; 0 if it must be absent
     */
    public record Condition(String key, long version) {}

    /**
     * A put or a delete of one row.
     *
     * @param key the row's key
     * @param value the new content; empty for a delete
     * @param delete true to delete the row, false to write it
     */
    public record Change(String key, ByteString value, boolean delete) {
        /**
         * Returns a change that writes a row.
         *
         * @param key the row's key
         * @param value the new content
         * @return the change
         */
        public static Change put(String key, ByteString value) {
            return new Change(key, value, false);
        }

        /**
         * Returns a change that deletes a row.
         *
         * @param key the row's key
         * @return the change
         */
        public static Change remove(String key) {
            return new Change(key, ByteString.EMPTY, true);
        }
    }
}
