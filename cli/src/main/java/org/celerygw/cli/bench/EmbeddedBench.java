package org.celerygw.cli.bench;

import io.vertx.core.Vertx;
import java.net.URI;
import java.util.List;
import org.celerygw.cli.demo.LocalDeployment;
import org.celerygw.standin.EngineOptions;
import org.celerygw.standin.StandinOptions;
import org.celerygw.standin.StoreOptions;

/** One daemon with an engine that computes as fast as it can, in this process, to be measured on loopback. */
public final class EmbeddedBench implements AutoCloseable {
    private static final int MAX_BATCH = 512;
    private static final int MAX_WAITING = 4_096;
    private static final int CACHE_BLOCKS = 65_536;
    private static final int ANSWER_TOKENS = 64;
    private static final String MODEL = "ranch-7b";
    private static final String SERVICE = "records";

    private final LocalDeployment deployment;

    private EmbeddedBench(LocalDeployment deployment) {
        this.deployment = deployment;
    }

    /**
     * Starts it.
     *
     * @return the daemon and its stand-ins, ready
     */
    public static EmbeddedBench start() {
        EngineOptions engine =
                EngineOptions.onPort(0).withRates(0, 1, ANSWER_TOKENS).withSizes(MAX_BATCH, MAX_WAITING, CACHE_BLOCKS);
        StandinOptions standins = new StandinOptions(StoreOptions.onPort(0), List.of(engine), 0);
        return new EmbeddedBench(LocalDeployment.start(1, standins, ""));
    }

    /**
     * Returns options for streamed model calls through the daemon.
     *
     * @return the options
     */
    public BenchOptions model() {
        int port = deployment.standin().engine(0).port();
        return BenchOptions.model(gateway(), LocalDeployment.CALLER_KEY, loopback(port), MODEL);
    }

    /**
     * Returns options for tool calls through the daemon.
     *
     * @param repeatable whether the calls may be repeated
     * @return the options
     */
    public BenchOptions tool(boolean repeatable) {
        int port = deployment.standin().tools().port();
        return BenchOptions.tool(gateway(), LocalDeployment.CALLER_KEY, loopback(port), SERVICE, repeatable);
    }

    /**
     * Measures, with callers on event loops of their own.
     *
     * @param options what to measure
     * @return the result
     */
    public BenchResult run(BenchOptions options) {
        Vertx callers = Vertx.vertx();
        try {
            return GatewayBench.run(callers, options).await();
        } finally {
            callers.close().await();
        }
    }

    @Override
    public void close() {
        deployment.close();
    }

    private URI gateway() {
        return deployment.hostUris().get(0);
    }

    private static URI loopback(int port) {
        return URI.create("http://127.0.0.1:" + port);
    }
}
