package org.celerygw.cli.demo;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a call that is cut off without an answer when the time limit of a daemon's stop passes. */
public class StopLimitTest {
    private static final long TOOL_MS = 30_000;

    private final HttpClient http = HttpClient.newHttpClient();
    private LocalDeployment deployment;

    @BeforeMethod
    public void start() {
        deployment = LocalDeployment.start(1, 1, "[stop]\nbalancer-grace = 100ms\nlimit = 1500ms");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        deployment.close();
    }

    private HttpRequest post(String path, String body) {
        return HttpRequest.newBuilder(URI.create(deployment.hostUris().get(0) + path))
                .header("Authorization", "Bearer " + LocalDeployment.CALLER_KEY)
                .header("Celery-Program", "program")
                .header("Celery-Call", "1")
                .header("Idempotency-Key", "call-1")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    @Test
    public void callInFlightWhenTheLimitPassesIsAnsweredWithAnError() throws Exception {
        var created =
                http.send(post("/v1/programs", "{\"program\":\"program\"}"), HttpResponse.BodyHandlers.ofString());
        assertEquals(created.statusCode(), 200, created.body());
        deployment.standin().tools().faults().setDelayMs(TOOL_MS);
        CompletableFuture<HttpResponse<String>> call =
                http.sendAsync(post("/v1/tools/records/submit", "{\"calf\":1}"), HttpResponse.BodyHandlers.ofString());
        LocalDeployment.pause(500);
        LocalDeployment.await(deployment.daemon(0).stop());
        assertEquals(call.get().statusCode(), 503);
        assertTrue(call.get().body().contains("STOPPING"), call.get().body());
    }
}
