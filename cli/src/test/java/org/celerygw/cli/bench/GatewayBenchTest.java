package org.celerygw.cli.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.net.URI;
import java.util.List;
import org.celerygw.standin.EngineOptions;
import org.celerygw.standin.EngineServer;
import org.celerygw.standin.Fault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class GatewayBenchTest {
    private Vertx vertx;
    private EngineServer engine;

    @BeforeMethod
    public void start() {
        vertx = Vertx.vertx();
        engine = EngineServer.start(vertx, EngineOptions.onPort(0).withRates(0, 1_000_000, 16))
                .await();
    }

    @AfterMethod
    public void stop() {
        vertx.close().await();
    }

    @Test
    public void bothSidesAreCountedInOneRun() {
        BenchResult result = GatewayBench.run(vertx, options()).await();
        assertEquals(List.of(result.direct().count(), result.gateway().count()), List.of(20L, 20L));
        assertTrue(result.lines().get(1).startsWith("first byte, direct"));
    }

    @Test
    public void callsWithoutAWholeAnswerAreFailures() {
        engine.faults().injectAlways(Fault.HALF);
        BenchResult result = GatewayBench.run(vertx, options()).await();
        assertEquals(List.of(result.gateway().count(), result.gateway().failures()), List.of(0L, 25L));
    }

    /** The engine stands for the daemon too: it takes the same calls. */
    private BenchOptions options() {
        URI uri = URI.create("http://127.0.0.1:" + engine.port());
        return new BenchOptions(uri, "key", uri, "m", false, true, true, 1, 5, 20, 60_000, 0, 200, 8);
    }
}
