package org.celerygw.core.store;

import com.google.protobuf.ByteString;
import java.util.function.Consumer;

/**
 * The platform's object store: immutable objects that are written and read as a whole, by name. Calls return at once;
 * the callback is called exactly once, later.
 */
public interface ObjectStore {
    /**
     * Writes a complete object, replacing one of the same name.
     *
     * @param name the object's name
     * @param content the complete content
     * @param callback called with true if the object is stored, with false if that is not known
     */
    void put(String name, ByteString content, Consumer<Boolean> callback);

    /**
     * Reads a complete object.
     *
     * @param name the object's name
     * @param callback called with the content or the reason why there is none
     */
    void get(String name, Consumer<GetResult> callback);

    /**
     * Deletes an object; deleting one that does not exist succeeds.
     *
     * @param name the object's name
     * @param callback called with true if the object no longer exists, with false if that is not known
     */
    void delete(String name, Consumer<Boolean> callback);

    /**
     * The result of reading an object.
     *
     * @param status whether the object was read
     * @param content the content; empty unless found
     */
    record GetResult(Status status, ByteString content) {}

    /** The outcome of reading an object. */
    enum Status {
        /** The complete object was read. */
        FOUND,
        /** No object of this name exists. */
        ABSENT,
        /** The store did not respond or failed; whether the object exists is not known. */
        UNAVAILABLE
    }
}
