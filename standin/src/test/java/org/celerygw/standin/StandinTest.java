package org.celerygw.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class StandinTest {
    private Vertx vertx;
    private Standin standin;
    private HttpClient client;

    @BeforeMethod
    public void start() {
        vertx = Vertx.vertx();
        EngineOptions engine =
                EngineOptions.onPort(0).withRates(0, 1_000_000, 8).withLags(0, 0, 3, 100);
        StandinOptions options =
                new StandinOptions(StoreOptions.onPort(0), List.of(engine.withOrders(List.of(), 0, true)), 0);
        standin = Standin.start(vertx, options).await();
        client = vertx.createHttpClient();
    }

    @AfterMethod
    public void stop() {
        vertx.close().await();
    }

    @Test
    public void engineReturnsTheExpectedAnswerForAPrompt() {
        JsonObject request = completionRequest("hello", false);
        String answer = sendToEngine(HttpMethod.POST, "/v1/chat/completions", request)
                .toJsonObject()
                .getJsonArray("choices")
                .getJsonObject(0)
                .getJsonObject("message")
                .getString("content");
        assertEquals(answer, standin.engine(0).expectedAnswer(request));
    }

    @Test
    public void streamEndsWithUsageAndDoneEvent() {
        String stream = sendToEngine(HttpMethod.POST, "/v1/chat/completions", completionRequest("hello", true))
                .toString();
        assertTrue(stream.startsWith("id: 1\ndata: {"));
        assertTrue(stream.contains("\"usage\":{\"prompt_tokens\":"));
        assertTrue(stream.endsWith("data: [DONE]\n\n"));
    }

    @Test
    public void repeatedPromptIsServedFromThePrefixCache() {
        JsonObject request = completionRequest("x".repeat(1_000), false);
        sendToEngine(HttpMethod.POST, "/v1/chat/completions", request);
        JsonObject usage = sendToEngine(HttpMethod.POST, "/v1/chat/completions", request)
                .toJsonObject()
                .getJsonObject("usage");
        assertEquals(usage.getInteger("cached_tokens"), Integer.valueOf(192));
    }

    @Test
    public void everyThirdCacheEventIsMissing() {
        sendToEngine(HttpMethod.POST, "/v1/chat/completions", completionRequest("x".repeat(1_000), false));
        JsonArray events = sendToEngine(HttpMethod.GET, "/cache/events?after=0", new JsonObject())
                .toJsonObject()
                .getJsonArray("events");
        assertEquals(events.getJsonObject(1).getLong("seq"), Long.valueOf(2));
        assertEquals(events.getJsonObject(2).getLong("seq"), Long.valueOf(4));
    }

    @Test
    public void orderWithAnOlderFencingTokenIsRefused() {
        JsonObject models = new JsonObject().put("models", new JsonArray().add(new JsonObject().put("name", "m2")));
        sendToEngine(HttpMethod.POST, "/orders", models.copy().put("fence", 5));
        JsonObject refused = sendToEngine(HttpMethod.POST, "/orders", new JsonObject().put("fence", 4))
                .toJsonObject();
        assertEquals(refused.getJsonObject("error").getString("code"), "stale_fence");
        JsonObject state =
                sendToEngine(HttpMethod.GET, "/state", new JsonObject()).toJsonObject();
        assertEquals(state.getJsonArray("models"), models.getJsonArray("models"));
    }

    @Test
    public void faultSetOverHttpIsInjected() {
        sendToEngine(
                HttpMethod.POST,
                "/faults",
                new JsonObject().put("fault", "garbage").put("count", 1));
        String body = sendToEngine(HttpMethod.POST, "/v1/chat/completions", completionRequest("a", false))
                .toString();
        assertEquals(body, "\u0001{{ not json");
    }

    @Test
    public void eachExecutionOfAToolCallIsRecorded() {
        send(standin.tools().port(), HttpMethod.POST, "/records/declare", new JsonObject().put("calf", 1));
        send(standin.tools().port(), HttpMethod.POST, "/records/declare", new JsonObject().put("calf", 1));
        assertEquals(standin.tools().executions().size(), 2);
        assertEquals(standin.tools().executions().get(1).requestBody(), "{\"calf\":1}");
    }

    private static JsonObject completionRequest(String content, boolean stream) {
        JsonObject message = new JsonObject().put("role", "user").put("content", content);
        return new JsonObject().put("model", "m").put("stream", stream).put("messages", new JsonArray().add(message));
    }

    private Buffer sendToEngine(HttpMethod method, String path, JsonObject body) {
        return send(standin.engine(0).port(), method, path, body);
    }

    private Buffer send(int port, HttpMethod method, String path, JsonObject body) {
        return client.request(method, port, "127.0.0.1", path)
                .compose(request -> request.send(body.toBuffer()))
                .compose(response -> response.body())
                .await();
    }
}
