package org.celerygw.standin;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.celerygw.core.store.ObjectStore;

/**
 * An object store in memory. Thread-safe. Heeds the faults DOWN, SLOW, REFUSED (a put or delete without effect) and
 * LOST_ANSWER (a put or delete with effect).
 */
public final class MemoryObjects implements ObjectStore {
    private final Map<String, ByteString> objects;
    private final Executor executor;
    private final Faults faults;

    /**
     * Makes an empty store.
     *
     * @param executor where answers are given; must not run tasks on the calling stack
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
     * @param otherExecutor where that client's answers are given
     * @param otherFaults the faults that this client sees
     * @return the view
     */
    public MemoryObjects on(Executor otherExecutor, Faults otherFaults) {
        return new MemoryObjects(objects, otherExecutor, otherFaults);
    }

    @Override
    public void put(String name, ByteString content, Consumer<Boolean> done) {
        change(done, () -> objects.put(name, content));
    }

    @Override
    public void delete(String name, Consumer<Boolean> done) {
        change(done, () -> objects.remove(name));
    }

    @Override
    public void get(String name, Consumer<GetResult> done) {
        Later.run(executor, faults.takeDelayMs(), () -> done.accept(fetch(name)));
    }

    /**
     * Returns how many objects there are.
     *
     * @return the number of objects
     */
    public int size() {
        return objects.size();
    }

    private void change(Consumer<Boolean> done, Runnable effect) {
        Later.run(executor, faults.takeDelayMs(), () -> {
            if (faults.take(Fault.DOWN) || faults.take(Fault.REFUSED)) {
                done.accept(false);
                return;
            }
            effect.run();
            done.accept(!faults.take(Fault.LOST_ANSWER));
        });
    }

    private GetResult fetch(String name) {
        if (faults.take(Fault.DOWN)) {
            return new GetResult(Status.UNAVAILABLE, ByteString.EMPTY);
        }
        ByteString content = objects.get(name);
        return content == null ? new GetResult(Status.ABSENT, ByteString.EMPTY) : new GetResult(Status.FOUND, content);
    }
}
