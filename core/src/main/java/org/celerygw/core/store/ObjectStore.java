package org.celerygw.core.store;

import com.google.protobuf.ByteString;
import java.util.function.Consumer;

/** The platform's object store: whole immutable objects by name. Consumers are called once, later. */
public interface ObjectStore {
    /**
     * Writes an object whole; writing the same name again replaces it.
     *
     * @param name the object's name
     * @param content its content
     * @param done given true when it is stored, false when that is not known
     */
    void put(String name, ByteString content, Consumer<Boolean> done);

    /**
     * Reads an object whole.
     *
     * @param name the object's name
     * @param done given the content, or the reason why there is none
     */
    void get(String name, Consumer<Fetched> done);

    /**
     * Removes an object; removing one that is absent succeeds.
     *
     * @param name the object's name
     * @param done given true when it is gone, false when that is not known
     */
    void delete(String name, Consumer<Boolean> done);

    /**
     * The answer to a read.
     *
     * @param status whether there is content
     * @param content the content; empty unless found
     */
    record Fetched(Status status, ByteString content) {}

    /** Whether an object could be read. */
    enum Status {
        /** The object was read whole. */
        FOUND,
        /** There is no such object. */
        ABSENT,
        /** The store did not answer. */
        UNAVAILABLE
    }
}
