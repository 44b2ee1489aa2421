package org.celerygw.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Stand-ins for the services that the system depends on: the platform's store, engines and tool services, each on a
 * loopback port and with fault injection.
 *
 * <pre>{@code
 * Standin standin = Standin.start(vertx, StandinOptions.anyPorts(2)).await();
 * standin.engine(0).faults().injectNext(Fault.HALF, 1);
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
     * Starts all stand-ins. If one of them cannot start, the future fails, and closing the Vert.x instance stops the others.
     *
     * @param vertx the Vert.x instance that runs them
     * @param options the stand-ins to start
     * @return a future that completes once all of them listen
     */
    public static Future<Standin> start(Vertx vertx, StandinOptions options) {
        Future<StoreServer> store = StoreServer.start(vertx, options.store());
        Future<ToolServer> tools = ToolServer.start(vertx, options.toolPort());
        List<Future<EngineServer>> engines = options.engines().stream()
                .map(engine -> EngineServer.start(vertx, engine))
                .toList();
        List<Future<?>> futures = new ArrayList<>(engines);
        futures.add(store);
        futures.add(tools);
        return Future.all(futures)
                .map(v -> new Standin(
                        store.result(), engines.stream().map(Future::result).toList(), tools.result()));
    }

    /**
     * Returns the stand-in for the platform's store.
     *
     * @return the store
     */
    public StoreServer store() {
        return store;
    }

    /**
     * Returns one engine by its position.
     *
     * @param index the engine's index in the options, from 0
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
     * Returns the server of the tool services.
     *
     * @return the tool server
     */
    public ToolServer tools() {
        return tools;
    }

    /**
     * Returns one line with the name and address of each stand-in, to be printed on a terminal.
     *
     * @return for example {@code store http://127.0.0.1:7000}
     */
    public List<String> addresses() {
        Stream<String> services = Stream.of("store " + store.uri(), "tools http://127.0.0.1:" + tools.port());
        Stream<String> engineAddresses = IntStream.range(0, engines.size())
                .mapToObj(i ->
                        "engine-" + i + " http://127.0.0.1:" + engines.get(i).port());
        return Stream.concat(services, engineAddresses).toList();
    }

    /**
     * Stops all stand-ins.
     *
     * @return a future that completes once all ports are free
     */
    public Future<Void> close() {
        List<Future<?>> futures = new ArrayList<>();
        engines.forEach(engine -> futures.add(engine.close()));
        futures.add(store.close());
        futures.add(tools.close());
        return Future.join(futures).mapEmpty();
    }
}
