package org.celerygw.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Small stand-ins for all that the system needs round it: the platform's store, engines and tool services, each on a
 * loopback port, with faults to inject.
 *
 * <pre>{@code
 * Standin standin = Standin.start(vertx, StandinOptions.anyPorts(2)).await();
 * standin.engine(0).faults().next(Fault.HALF, 1);
 * }</pre>
 */
public final class Standin {
    private final StoreServer store;
    private final List<EngineServer> engines;
    private final ToolServer tools;

    private Standin(StoreServer store, List<EngineServer> engines, ToolServer tools) {
        this.store = store;
        this.engines = List.copyOf(engines);
        this.tools = tools;
    }

    /**
     * Starts everything; when one part cannot start the future fails, and closing the Vert.x instance stops the rest.
     *
     * @param vertx runs it
     * @param options what to start
     * @return all parts, once they listen
     */
    public static Future<Standin> start(Vertx vertx, StandinOptions options) {
        Future<StoreServer> store = StoreServer.start(vertx, options.store());
        Future<ToolServer> tools = ToolServer.start(vertx, options.toolPort());
        List<Future<EngineServer>> engines = options.engines().stream()
                .map(engine -> EngineServer.start(vertx, engine))
                .toList();
        List<Future<?>> all = new ArrayList<>(engines);
        all.add(store);
        all.add(tools);
        return Future.all(all)
                .map(v -> new Standin(
                        store.result(), engines.stream().map(Future::result).toList(), tools.result()));
    }

    /**
     * Returns the platform's store.
     *
     * @return the store
     */
    public StoreServer store() {
        return store;
    }

    /**
     * Returns one engine.
     *
     * @param index its place in the options
     * @return the engine
     */
    public EngineServer engine(int index) {
        return engines.get(index);
    }

    /**
     * Returns all engines.
     *
     * @return the engines in the order of the options
     */
    public List<EngineServer> engines() {
        return engines;
    }

    /**
     * Returns the tool services.
     *
     * @return the tool services
     */
    public ToolServer tools() {
        return tools;
    }

    /**
     * Returns one line for each part with its address, for a terminal.
     *
     * @return for example {@code store http://127.0.0.1:7000}
     */
    public List<String> addresses() {
        Stream<String> fixed = Stream.of("store " + store.uri(), "tools http://127.0.0.1:" + tools.port());
        Stream<String> numbered = IntStream.range(0, engines.size())
                .mapToObj(i ->
                        "engine-" + i + " http://127.0.0.1:" + engines.get(i).port());
        return Stream.concat(fixed, numbered).toList();
    }

    /**
     * Stops everything.
     *
     * @return done once all ports are free
     */
    public Future<Void> close() {
        List<Future<?>> all = new ArrayList<>();
        engines.forEach(engine -> all.add(engine.close()));
        all.add(store.close());
        all.add(tools.close());
        return Future.join(all).mapEmpty();
    }
}
