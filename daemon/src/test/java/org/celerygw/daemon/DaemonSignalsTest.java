package org.celerygw.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.OutputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.celerygw.daemon.settings.Settings;
import org.celerygw.standin.FreePorts;
import org.celerygw.standin.Standin;
import org.celerygw.standin.StandinOptions;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a SIGHUP that ends a daemon, and a SIGTERM that ends one that starts as if it had failed. */
public final class DaemonSignalsTest {
    private static final long TIMEOUT_S = 30;
    private static final long SIGNAL_EFFECT_MS = 300;

    private Vertx vertx;
    private Path folder;
    private Process process;
    private String settings;
    private int httpPort;

    /** The settings file is a FIFO: the daemon goes on with its start when the test writes them. */
    @BeforeMethod
    public void startDaemonThatWaitsForItsSettings() throws Exception {
        vertx = Vertx.vertx();
        Standin standin = Standin.start(vertx, StandinOptions.anyPorts(1))
                .toCompletionStage()
                .toCompletableFuture()
                .get();
        httpPort = FreePorts.next();
        settings = Settings.example()
                .replace("http://127.0.0.1:9000", standin.store().uri())
                .replace("balancer-grace = 5s", "balancer-grace = 500ms")
                .replace("limit = 10m", "limit = 2s")
                .replace("8080", Integer.toString(httpPort))
                .replace("8081", Integer.toString(FreePorts.next()))
                .replace("8082", Integer.toString(FreePorts.next()))
                .replace("8083", Integer.toString(FreePorts.next()));
        folder = Files.createTempDirectory("daemon-signals");
        Path fifo = folder.resolve("daemon.ini");
        assertEquals(new ProcessBuilder("mkfifo", fifo.toString()).start().waitFor(), 0);
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.celerygw.daemon.Main",
                        fifo.toString())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile())
                .start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        process.destroyForcibly().waitFor();
        vertx.close().toCompletionStage().toCompletableFuture().get();
    }

    private void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
        Thread.sleep(SIGNAL_EFFECT_MS);
    }

    private void assertEndsWith(int code) throws Exception {
        assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS), log());
        assertEquals(process.exitValue(), code, log());
    }

    private String log() throws Exception {
        return Files.readString(folder.resolve("log"));
    }

    private boolean answers() throws InterruptedException {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + httpPort + "/"))
                    .build();
            HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding());
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    public void stopDuringTheStartIsPlanned() throws Exception {
        try (OutputStream fifo = Files.newOutputStream(folder.resolve("daemon.ini"))) {
            signal("HUP");
            signal("TERM");
            assertTrue(process.isAlive(), log());
            fifo.write(settings.getBytes(StandardCharsets.UTF_8));
        }
        assertEndsWith(0);
    }

    @Test
    public void reloadOfARunningDaemonDoesNotEndIt() throws Exception {
        Files.writeString(folder.resolve("daemon.ini"), settings);
        for (int i = 0; i < 200 && !answers(); i++) {
            Thread.sleep(100);
        }
        assertTrue(answers(), log());
        signal("HUP");
        assertTrue(process.isAlive() && answers(), log());
        signal("TERM");
        signal("HUP");
        assertEndsWith(0);
        assertFalse(answers());
    }
}
