package org.celerygw.standin;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.celerygw.core.store.ObjectStore;

/**
 * An in-memory object store. Thread-safe. Injects the faults DOWN, SLOW, REFUSED (a put or delete fails without effect)
 * and LOST_ANSWER (a put or delete takes effect but reports a failure).
 */
public final class MemoryObjects implements ObjectStore {
    private final Map<String, ByteString> objects;
    private final Executor executor;
    private final Faults faults;

    /**
     * Creates an empty store.
     *
     * @param executor runs the operations and their callbacks; must not run tasks on the calling thread's stack
     * @param faults the faults to inject
     */
    public MemoryObjects(Executor executor, Faults faults) {
        this(new ConcurrentHashMap<>(), executor, faults);
    }

    private MemoryObjects(Map<String, ByteString> objects, Executor executor, Faults faults) {
        this.objects = objects;
        this.executor = executor;
        this.faults = faults;
    }

    /**
     * Returns a view of the same objects for another client.
     *
     * @param otherExecutor runs that client's operations and callbacks
     * @param otherFaults the faults to inject into that client's operations
     * @return a store that shares the objects of this one
     */
    public MemoryObjects viewFor(Executor otherExecutor, Faults otherFaults) {
        return new MemoryObjects(objects, otherExecutor, otherFaults);
    }

    @Override
    public void put(String name, ByteString content, Consumer<Boolean> callback) {
        applyChange(callback, () -> objects.put(name, content));
    }

    @Override
    public void delete(String name, Consumer<Boolean> callback) {
        applyChange(callback, () -> objects.remove(name));
    }

    @Override
    public void get(String name, Consumer<GetResult> callback) {
        DelayedTasks.schedule(executor, faults.nextDelayMs(), () -> callback.accept(fetch(name)));
    }

    /**
     * Returns how many objects the store contains.
     *
     * @return the number of objects, the same for all views
     */
    public int size() {
        return objects.size();
    }

    private void applyChange(Consumer<Boolean> callback, Runnable effect) {
        DelayedTasks.schedule(executor, faults.nextDelayMs(), () -> {
            if (faults.consume(Fault.DOWN) || faults.consume(Fault.REFUSED)) {
                callback.accept(false);
                return;
            }
            effect.run();
            callback.accept(!faults.consume(Fault.LOST_ANSWER));
        });
    }

    private GetResult fetch(String name) {
        if (faults.consume(Fault.DOWN)) {
            return new GetResult(Status.UNAVAILABLE, ByteString.EMPTY);
        }
        ByteString content = objects.get(name);
        return content == null ? new GetResult(Status.ABSENT, ByteString.EMPTY) : new GetResult(Status.FOUND, content);
    }
}
