package org.celerygw.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.celerygw.cli.demo.LocalDeployment;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the caller API and the command line against one daemon and stand-ins on loopback. */
public class DaemonApiTest {
    private static final String DEMO_AUTH = "Bearer " + LocalDeployment.CALLER_KEY;
    private static final String FRASERLINE_AUTH = "Bearer fraserline-caller-key";
    private static final String CHAT_BODY =
            "{\"model\":\"ranch-7b\",\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
    private static final String COMPLETIONS_PATH = "/v1/chat/completions";
    private static final String TOOL_PATH = "/v1/tools/records/submit";

    private final HttpClient http = HttpClient.newHttpClient();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private LocalDeployment deployment;
    private Path operatorKey;

    @BeforeClass
    public void start() throws IOException {
        deployment = LocalDeployment.start(1, 1, "");
        operatorKey = writeTempFile("demo-operator-key");
        assertEquals(runCli("customer", "set", "fraserline", "--share", "2").exitCode, 0);
        String key = writeTempFile("fraserline-caller-key").toString();
        assertEquals(runCli("key", "add", "fraserline", "--caller-key-file", key).exitCode, 0);
        assertEquals(sendAuthorized("POST", "/v1/programs", DEMO_AUTH, "{\"program\":\"ours\"}").status, 200);
        assertEquals(sendCall(1, "first", DEMO_AUTH, TOOL_PATH, "{\"calf\":1}").status, 200);
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        deployment.close();
    }

    @DataProvider
    public Object[][] invalidCalls() {
        return new Object[][] {
            {"no authorization", 401, "UNAUTHENTICATED", headers(""), COMPLETIONS_PATH, CHAT_BODY},
            {"another scheme", 401, "UNAUTHENTICATED", headers("Basic eDp5"), COMPLETIONS_PATH, CHAT_BODY},
            {"unknown key", 401, "UNAUTHENTICATED", headers("Bearer nobody"), COMPLETIONS_PATH, CHAT_BODY},
            {"hash in place of key", 401, "UNAUTHENTICATED", headers("Bearer 9bd1"), TOOL_PATH, "{}"},
            {"empty body", 400, "INVALID_ARGUMENT", headers(DEMO_AUTH), COMPLETIONS_PATH, ""},
            {"invalid JSON", 400, "INVALID_ARGUMENT", headers(DEMO_AUTH), COMPLETIONS_PATH, "{\"model\":"},
            {"array as body", 400, "INVALID_ARGUMENT", headers(DEMO_AUTH), COMPLETIONS_PATH, "[1]"},
            {"no messages", 400, "INVALID_ARGUMENT", headers(DEMO_AUTH), COMPLETIONS_PATH, "{\"model\":\"ranch-7b\"}"},
            {
                "number as model",
                400,
                "INVALID_ARGUMENT",
                headers(DEMO_AUTH),
                COMPLETIONS_PATH,
                CHAT_BODY.replace("\"ranch-7b\"", "7")
            },
            {
                "bad model name",
                400,
                "INVALID_ARGUMENT",
                headers(DEMO_AUTH),
                COMPLETIONS_PATH,
                CHAT_BODY.replace("ranch-7b", "a b")
            },
            {
                "number as message",
                400,
                "INVALID_ARGUMENT",
                headers(DEMO_AUTH),
                COMPLETIONS_PATH,
                CHAT_BODY.replaceAll("\\[.*]", "[1]")
            },
            {
                "output limit is 0",
                400,
                "INVALID_ARGUMENT",
                headers(DEMO_AUTH),
                COMPLETIONS_PATH,
                CHAT_BODY.replace(":2", ":0")
            },
            {
                "output limit overflows",
                400,
                "INVALID_ARGUMENT",
                headers(DEMO_AUTH),
                COMPLETIONS_PATH,
                CHAT_BODY.replace(":2", ":99999999999")
            },
            {"no program", 400, "INVALID_ARGUMENT", headers(DEMO_AUTH, "Celery-Program", ""), TOOL_PATH, "{}"},
            {"bad program", 400, "INVALID_ARGUMENT", headers(DEMO_AUTH, "Celery-Program", "a b"), TOOL_PATH, "{}"},
            {"no call", 400, "INVALID_ARGUMENT", headers(DEMO_AUTH, "Celery-Call", ""), TOOL_PATH, "{}"},
            {"call is text", 400, "INVALID_ARGUMENT", headers(DEMO_AUTH, "Celery-Call", "two"), TOOL_PATH, "{}"},
            {"call is 0", 400, "INVALID_ARGUMENT", headers(DEMO_AUTH, "Celery-Call", "0"), TOOL_PATH, "{}"},
            {
                "call overflows",
                400,
                "INVALID_ARGUMENT",
                headers(DEMO_AUTH, "Celery-Call", "99999999999999999999"),
                TOOL_PATH,
                "{}"
            },
            {"no idempotency key", 400, "INVALID_ARGUMENT", headers(DEMO_AUTH, "Idempotency-Key", ""), TOOL_PATH, "{}"},
            {
                "bad idempotency key",
                400,
                "INVALID_ARGUMENT",
                headers(DEMO_AUTH, "Idempotency-Key", "a b"),
                TOOL_PATH,
                "{}"
            },
            {"deadline is 0", 400, "INVALID_ARGUMENT", headers(DEMO_AUTH, "Celery-Deadline-Ms", "0"), TOOL_PATH, "{}"},
            {
                "repeatable is yes",
                400,
                "INVALID_ARGUMENT",
                headers(DEMO_AUTH, "Celery-Repeatable", "yes"),
                TOOL_PATH,
                "{}"
            },
            {
                "negative resume position",
                400,
                "INVALID_ARGUMENT",
                headers(DEMO_AUTH, "Celery-Resume-Bytes", "-1"),
                TOOL_PATH,
                "{}"
            },
            {"unknown program", 404, "NOT_FOUND", headers(DEMO_AUTH, "Celery-Program", "nobodys"), TOOL_PATH, "{}"},
            {"unknown service", 404, "NOT_FOUND", headers(DEMO_AUTH), "/v1/tools/bogus/x", "{}"},
            {"unknown path", 404, "NOT_FOUND", headers(DEMO_AUTH), "/v1/bogus", "{}"},
            {"call number skipped", 409, "OUT_OF_ORDER", headers(DEMO_AUTH, "Celery-Call", "3"), TOOL_PATH, "{}"},
            {"old number, new key", 409, "OUT_OF_ORDER", headers(DEMO_AUTH, "Celery-Call", "1"), TOOL_PATH, "{}"},
            {
                "key reused",
                422,
                "KEY_REUSED",
                headers(DEMO_AUTH, "Celery-Call", "1", "Idempotency-Key", "first"),
                TOOL_PATH,
                "{}"
            },
            {"program of another customer", 403, "PERMISSION_DENIED", headers(FRASERLINE_AUTH), TOOL_PATH, "{}"},
            {"body too large", 413, "TOO_LARGE", headers(DEMO_AUTH), TOOL_PATH, "x".repeat((4 << 20) + 1)},
        };
    }

    @Test(dataProvider = "invalidCalls")
    public void invalidCallIsRejectedWithATypedErrorAndChangesNothing(
            String description, int status, String code, List<String> headers, String path, String body) {
        String before = observableState();
        ApiResponse response = request("POST", path, headers, body);
        assertEquals(response.status + " " + response.code(), status + " " + code, description + ": " + response.body);
        // An unknown program may have been removed after its retention period, and its calls may have run.
        String runState = "unknown program".equals(description) ? "UNKNOWN" : "NOT_RUN";
        assertEquals(response.error().getString("run_state"), runState, description);
        assertFalse(response.error().getString("message").isEmpty(), description);
        assertEquals(observableState(), before, description);
    }

    @Test
    public void customerCanNeitherReadNorModifyAnotherCustomersProgram() {
        String before = observableState();
        List<ApiResponse> responses = List.of(
                sendAuthorized("GET", "/v1/programs/ours", FRASERLINE_AUTH, ""),
                sendAuthorized("DELETE", "/v1/programs/ours", FRASERLINE_AUTH, ""),
                sendAuthorized("POST", "/v1/programs/ours/end", FRASERLINE_AUTH, ""),
                sendAuthorized(
                        "POST", "/v1/programs", FRASERLINE_AUTH, "{\"program\":\"ours/child\",\"parent\":\"ours\"}"));
        assertEquals(
                responses.stream()
                        .map(response -> response.status + " " + response.code())
                        .toList(),
                List.of("404 NOT_FOUND", "403 PERMISSION_DENIED", "403 PERMISSION_DENIED", "403 PERMISSION_DENIED"));
        responses.forEach(response -> assertFalse(response.body.contains("demo"), response.body));
        assertEquals(observableState(), before);
    }

    @Test
    public void programIdOfAnotherCustomerCannotBeReused() {
        String before = observableState();
        ApiResponse response = sendAuthorized("POST", "/v1/programs", FRASERLINE_AUTH, "{\"program\":\"ours\"}");
        assertTrue(response.status >= 400 && response.status < 500, response.status + " " + response.body);
        assertEquals(response.error().getString("run_state"), "NOT_RUN");
        assertEquals(observableState(), before);
    }

    @Test
    public void callToAnUnservedModelFailsByItsDeadline() {
        String body = CHAT_BODY.replace("ranch-7b", "nobodys-model");
        assertEquals(sendAuthorized("POST", "/v1/programs", DEMO_AUTH, "{\"program\":\"lonely\"}").status, 200);
        ApiResponse response = request(
                "POST",
                COMPLETIONS_PATH,
                headers(DEMO_AUTH, "Celery-Program", "lonely", "Celery-Call", "1", "Celery-Deadline-Ms", "1500"),
                body);
        assertTrue(List.of("NO_BACKEND", "DEADLINE_EXCEEDED").contains(response.code()), response.body);
        assertEquals(response.error().getString("run_state"), "NOT_RUN");
    }

    @Test
    public void oversizedHeaderSectionIsRejected() {
        String before = observableState();
        ApiResponse response = request("POST", TOOL_PATH, headers(DEMO_AUTH, "X-Filler", "x".repeat(20_000)), "{}");
        assertEquals(response.status, 431);
        assertEquals(observableState(), before);
    }

    @Test
    public void editBasedOnAnOldVersionFailsWithAConflictAndChangesNothing() {
        long version = activeConfigVersion();
        assertEquals(runCli("class", "set", "night", "--rank", "3", "--seen", Long.toString(version)).exitCode, 0);
        CliResult result = runCli("class", "set", "day", "--rank", "3", "--seen", Long.toString(version), "--json");
        assertEquals(result.exitCode, 5);
        assertEquals(new JsonObject(result.err).getJsonObject("error").getString("code"), "CONFLICT");
        assertEquals(activeConfigVersion(), version + 1);
        assertFalse(runCli("class", "list").out.contains("day"));
    }

    @Test
    public void commandLineShowsTheSameProgramRecordAsTheCallerApi() {
        String callerView = sendAuthorized("GET", "/v1/programs/ours", DEMO_AUTH, "").body;
        assertEquals(runCli("program", "explain", "ours", "--json").out.strip(), callerView);
        assertTrue(runCli("program", "list", "--customer", "demo").out.contains("ours"));
        assertFalse(runCli("program", "list", "--customer", "fraserline").out.contains("ours"));
    }

    @Test
    public void commandLineExitCodeMatchesTheErrorCode() {
        assertEquals(runCli("program", "explain", "nobodys").exitCode, 4);
        assertEquals(runCli("program", "create", "a b", "--customer", "demo").exitCode, 2);
        assertEquals(runCli("budget", "set", "nobody", "5").exitCode, 4);
        assertEquals(runCli("host", "list", "--key-file", "/no/such").exitCode, 2);
    }

    @Test
    public void callToAProgramEndedByAnOperatorFailsWithProgramEnded() {
        assertEquals(runCli("program", "create", "brief", "--customer", "demo").exitCode, 0);
        assertEquals(runCli("program", "end", "brief").exitCode, 0);
        ApiResponse response =
                request("POST", TOOL_PATH, headers(DEMO_AUTH, "Celery-Program", "brief", "Celery-Call", "1"), "{}");
        assertEquals(response.status + " " + response.code(), "409 PROGRAM_ENDED", response.body);
        String actions = runCli("actions").out;
        assertTrue(actions.contains("EndProgram") && actions.contains("program brief"), actions);
    }

    /** Returns the state that a rejected call must not change: the program record and the work done by the backends. */
    private String observableState() {
        return sendAuthorized("GET", "/v1/programs/ours", DEMO_AUTH, "").body
                + deployment.standin().tools().executions().size()
                + deployment.standin().engine(0).completionCount();
    }

    private long activeConfigVersion() {
        return Long.parseLong(new JsonObject(runCli("config", "get").out).getString("version"));
    }

    private static List<String> headers(String authorization, String... overrides) {
        List<String> headers = new ArrayList<>(List.of(
                "Celery-Program",
                "ours",
                "Celery-Call",
                "2",
                "Idempotency-Key",
                "second",
                "Authorization",
                authorization));
        for (int i = 0; i < overrides.length; i += 2) {
            int index = headers.indexOf(overrides[i]);
            if (index >= 0) {
                headers.set(index + 1, overrides[i + 1]);
            } else {
                headers.addAll(List.of(overrides[i], overrides[i + 1]));
            }
        }
        return headers;
    }

    private record ApiResponse(int status, String body) {
        JsonObject error() {
            return new JsonObject(body).getJsonObject("error");
        }

        String code() {
            return body.startsWith("{") && body.contains("\"error\"") ? error().getString("code") : "untyped";
        }
    }

    private ApiResponse sendCall(int number, String key, String authorization, String path, String body) {
        return request("POST", path, headers(authorization, "Celery-Call", "" + number, "Idempotency-Key", key), body);
    }

    private ApiResponse sendAuthorized(String method, String path, String authorization, String body) {
        return request(method, path, List.of("Authorization", authorization), body);
    }

    private ApiResponse request(String method, String path, List<String> headers, String body) {
        URI uri = URI.create("http://127.0.0.1:" + deployment.daemon(0).httpPort() + path);
        HttpRequest.Builder request = HttpRequest.newBuilder(uri)
                .version(HttpClient.Version.HTTP_1_1)
                .timeout(Duration.ofSeconds(30))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        for (int i = 0; i < headers.size(); i += 2) {
            if (!headers.get(i + 1).isEmpty()) {
                request.header(headers.get(i), headers.get(i + 1));
            }
        }
        try {
            HttpResponse<String> response = http.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new ApiResponse(response.statusCode(), response.body());
        } catch (IOException e) {
            throw new AssertionError(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError(e);
        }
    }

    private record CliResult(int exitCode, String out, String err) {}

    private CliResult runCli(String... command) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        err.reset();
        List<String> args = new ArrayList<>(Arrays.asList(command));
        args.addAll(List.of("--server", "127.0.0.1:" + deployment.daemon(0).operatorPort()));
        if (!args.contains("--key-file")) {
            args.addAll(List.of("--key-file", operatorKey.toString()));
        }
        int exitCode = Main.run(
                args,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
        return new CliResult(exitCode, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    private static Path writeTempFile(String text) throws IOException {
        Path file = Files.createTempFile("celerygw", ".key");
        file.toFile().deleteOnExit();
        return Files.writeString(file, text);
    }
}
