package org.celerygw.core.store;

import com.google.protobuf.ByteString;
import java.util.List;

/**
 * A conditional write: when every condition holds, all changes take effect at once; otherwise none does.
 *
 * @param conditions what must hold
 * @param changes what to write
 */
public record Txn(List<Condition> conditions, List<Change> changes) {
    /** Copies the lists. */
    public Txn {
        conditions = List.copyOf(conditions);
        changes = List.copyOf(changes);
    }

    /**
     * Holds when the row has this version.
     *
     * @param key the row's key
     * @param version the version it must have; 0 means that the row must be absent
     */
    public record Condition(String key, long version) {}

    /**
     * A put or a delete.
     *
     * @param key the row's key
     * @param value the new content
     * @param delete whether the row is removed instead
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
         * Returns a change that removes a row.
         *
         * @param key the row's key
         * @return the change
         */
        public static Change remove(String key) {
            return new Change(key, ByteString.EMPTY, true);
        }
    }
}
