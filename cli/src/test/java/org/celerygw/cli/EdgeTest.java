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

/** Callers and operators against one daemon and the stand-ins, over loopback. */
public class EdgeTest {
    private static final String OURS = "Bearer " + LocalDeployment.CALLER_KEY;
    private static final String THEIRS = "Bearer fraserline-caller-key";
    private static final String CHAT =
            "{\"model\":\"ranch-7b\",\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
    private static final String COMPLETIONS = "/v1/chat/completions";
    private static final String TOOL = "/v1/tools/records/submit";

    private final HttpClient http = HttpClient.newHttpClient();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private LocalDeployment deployment;
    private Path operatorKey;

    @BeforeClass
    public void start() throws IOException {
        deployment = LocalDeployment.start(1, 1, "");
        operatorKey = write("demo-operator-key");
        assertEquals(cli("customer", "set", "fraserline", "--share", "2").exitCode, 0);
        String key = write("fraserline-caller-key").toString();
        assertEquals(cli("key", "add", "fraserline", "--caller-key-file", key).exitCode, 0);
        assertEquals(send("POST", "/v1/programs", OURS, "{\"program\":\"ours\"}").status, 200);
        assertEquals(call(1, "first", OURS, TOOL, "{\"calf\":1}").status, 200);
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        deployment.close();
    }

    @DataProvider
    public Object[][] refusedCalls() {
        return new Object[][] {
            {"no key", 401, "UNAUTHENTICATED", headers(""), COMPLETIONS, CHAT},
            {"another scheme", 401, "UNAUTHENTICATED", headers("Basic eDp5"), COMPLETIONS, CHAT},
            {"unknown key", 401, "UNAUTHENTICATED", headers("Bearer nobody"), COMPLETIONS, CHAT},
            {"hash in place of key", 401, "UNAUTHENTICATED", headers("Bearer 9bd1"), TOOL, "{}"},
            {"empty body", 400, "INVALID_ARGUMENT", headers(OURS), COMPLETIONS, ""},
            {"no JSON", 400, "INVALID_ARGUMENT", headers(OURS), COMPLETIONS, "{\"model\":"},
            {"a list", 400, "INVALID_ARGUMENT", headers(OURS), COMPLETIONS, "[1]"},
            {"no messages", 400, "INVALID_ARGUMENT", headers(OURS), COMPLETIONS, "{\"model\":\"ranch-7b\"}"},
            {"number as model", 400, "INVALID_ARGUMENT", headers(OURS), COMPLETIONS, CHAT.replace("\"ranch-7b\"", "7")},
            {"bad name", 400, "INVALID_ARGUMENT", headers(OURS), COMPLETIONS, CHAT.replace("ranch-7b", "a b")},
            {"text as message", 400, "INVALID_ARGUMENT", headers(OURS), COMPLETIONS, CHAT.replaceAll("\\[.*]", "[1]")},
            {"no output", 400, "INVALID_ARGUMENT", headers(OURS), COMPLETIONS, CHAT.replace(":2", ":0")},
            {"huge output", 400, "INVALID_ARGUMENT", headers(OURS), COMPLETIONS, CHAT.replace(":2", ":99999999999")},
            {"no program", 400, "INVALID_ARGUMENT", headers(OURS, "Celery-Program", ""), TOOL, "{}"},
            {"bad program", 400, "INVALID_ARGUMENT", headers(OURS, "Celery-Program", "a b"), TOOL, "{}"},
            {"no call", 400, "INVALID_ARGUMENT", headers(OURS, "Celery-Call", ""), TOOL, "{}"},
            {"call is text", 400, "INVALID_ARGUMENT", headers(OURS, "Celery-Call", "two"), TOOL, "{}"},
            {"call is 0", 400, "INVALID_ARGUMENT", headers(OURS, "Celery-Call", "0"), TOOL, "{}"},
            {"call overflows", 400, "INVALID_ARGUMENT", headers(OURS, "Celery-Call", "99999999999999999999"), TOOL, "{}"
            },
            {"no key", 400, "INVALID_ARGUMENT", headers(OURS, "Idempotency-Key", ""), TOOL, "{}"},
            {"bad key", 400, "INVALID_ARGUMENT", headers(OURS, "Idempotency-Key", "a b"), TOOL, "{}"},
            {"deadline is 0", 400, "INVALID_ARGUMENT", headers(OURS, "Celery-Deadline-Ms", "0"), TOOL, "{}"},
            {"repeatable is yes", 400, "INVALID_ARGUMENT", headers(OURS, "Celery-Repeatable", "yes"), TOOL, "{}"},
            {"bad resume", 400, "INVALID_ARGUMENT", headers(OURS, "Celery-Resume-Bytes", "-1"), TOOL, "{}"},
            {"unknown program", 404, "NOT_FOUND", headers(OURS, "Celery-Program", "nobodys"), TOOL, "{}"},
            {"unknown service", 404, "NOT_FOUND", headers(OURS), "/v1/tools/bogus/x", "{}"},
            {"unknown path", 404, "NOT_FOUND", headers(OURS), "/v1/bogus", "{}"},
            {"call too early", 409, "OUT_OF_ORDER", headers(OURS, "Celery-Call", "3"), TOOL, "{}"},
            {"old number, new key", 409, "OUT_OF_ORDER", headers(OURS, "Celery-Call", "1"), TOOL, "{}"},
            {"key reused", 422, "KEY_REUSED", headers(OURS, "Celery-Call", "1", "Idempotency-Key", "first"), TOOL, "{}"
            },
            {"their program", 403, "PERMISSION_DENIED", headers(THEIRS), TOOL, "{}"},
            {"too large", 413, "TOO_LARGE", headers(OURS), TOOL, "x".repeat((4 << 20) + 1)},
        };
    }

    @Test(dataProvider = "refusedCalls")
    public void badCallGetsATypedRefusalAndChangesNothing(
            String what, int status, String code, List<String> headers, String path, String body) {
        String before = state();
        Answer answer = request("POST", path, headers, body);
        assertEquals(answer.status + " " + answer.code(), status + " " + code, what + ": " + answer.body);
        // A program that is not known may have been removed after its retention, with calls that ran.
        String runState = "unknown program".equals(what) ? "UNKNOWN" : "NOT_RUN";
        assertEquals(answer.error().getString("run_state"), runState, what);
        assertFalse(answer.error().getString("message").isEmpty(), what);
        assertEquals(state(), before, what);
    }

    @Test
    public void oneCustomerCanNeitherReadNorDriveAnothersProgram() {
        String before = state();
        List<Answer> answers = List.of(
                send("GET", "/v1/programs/ours", THEIRS, ""),
                send("DELETE", "/v1/programs/ours", THEIRS, ""),
                send("POST", "/v1/programs/ours/end", THEIRS, ""),
                send("POST", "/v1/programs", THEIRS, "{\"program\":\"ours/child\",\"parent\":\"ours\"}"));
        assertEquals(
                answers.stream()
                        .map(answer -> answer.status + " " + answer.code())
                        .toList(),
                List.of("404 NOT_FOUND", "403 PERMISSION_DENIED", "403 PERMISSION_DENIED", "403 PERMISSION_DENIED"));
        answers.forEach(answer -> assertFalse(answer.body.contains("demo"), answer.body));
        assertEquals(state(), before);
    }

    @Test
    public void anothersProgramIdCannotBeTaken() {
        String before = state();
        Answer answer = send("POST", "/v1/programs", THEIRS, "{\"program\":\"ours\"}");
        assertTrue(answer.status >= 400 && answer.status < 500, answer.status + " " + answer.body);
        assertEquals(answer.error().getString("run_state"), "NOT_RUN");
        assertEquals(state(), before);
    }

    @Test
    public void modelThatNobodyServesIsRefusedByTheDeadline() {
        String body = CHAT.replace("ranch-7b", "nobodys-model");
        assertEquals(send("POST", "/v1/programs", OURS, "{\"program\":\"lonely\"}").status, 200);
        Answer answer = request(
                "POST",
                COMPLETIONS,
                headers(OURS, "Celery-Program", "lonely", "Celery-Call", "1", "Celery-Deadline-Ms", "1500"),
                body);
        assertTrue(List.of("NO_BACKEND", "DEADLINE_EXCEEDED").contains(answer.code()), answer.body);
        assertEquals(answer.error().getString("run_state"), "NOT_RUN");
    }

    @Test
    public void headerBeyondTheLimitIsRefused() {
        String before = state();
        Answer answer = request("POST", TOOL, headers(OURS, "X-Filler", "x".repeat(20_000)), "{}");
        assertEquals(answer.status, 431);
        assertEquals(state(), before);
    }

    @Test
    public void operatorOnAnOldVersionGetsTheConflictAndChangesNothing() {
        long version = version();
        assertEquals(cli("class", "set", "night", "--rank", "3", "--seen", Long.toString(version)).exitCode, 0);
        Result late = cli("class", "set", "day", "--rank", "3", "--seen", Long.toString(version), "--json");
        assertEquals(late.exitCode, 5);
        assertEquals(new JsonObject(late.err).getJsonObject("error").getString("code"), "CONFLICT");
        assertEquals(version(), version + 1);
        assertFalse(cli("class", "list").out.contains("day"));
    }

    @Test
    public void commandLineReadsTheSameRecordAsTheCaller() {
        String seen = send("GET", "/v1/programs/ours", OURS, "").body;
        assertEquals(cli("program", "explain", "ours", "--json").out.strip(), seen);
        assertTrue(cli("program", "list", "--customer", "demo").out.contains("ours"));
        assertFalse(cli("program", "list", "--customer", "fraserline").out.contains("ours"));
    }

    @Test
    public void commandLineExitsWithTheCodeOfTheFailure() {
        assertEquals(cli("program", "explain", "nobodys").exitCode, 4);
        assertEquals(cli("program", "create", "a b", "--customer", "demo").exitCode, 2);
        assertEquals(cli("budget", "set", "nobody", "5").exitCode, 4);
        assertEquals(cli("host", "list", "--key-file", "/no/such").exitCode, 2);
    }

    @Test
    public void operatorEndsAProgramAndTheCallerIsToldSo() {
        assertEquals(cli("program", "create", "brief", "--customer", "demo").exitCode, 0);
        assertEquals(cli("program", "end", "brief").exitCode, 0);
        Answer answer = request("POST", TOOL, headers(OURS, "Celery-Program", "brief", "Celery-Call", "1"), "{}");
        assertEquals(answer.status + " " + answer.code(), "409 PROGRAM_ENDED", answer.body);
        String actions = cli("actions").out;
        assertTrue(actions.contains("EndProgram") && actions.contains("program brief"), actions);
    }

    /** What a refusal must leave as it was: the program's record and what back ends did. */
    private String state() {
        return send("GET", "/v1/programs/ours", OURS, "").body
                + deployment.standin().tools().executions().size()
                + deployment.standin().engine(0).completionCount();
    }

    private long version() {
        return Long.parseLong(new JsonObject(cli("config", "get").out).getString("version"));
    }

    private static List<String> headers(String authorization, String... others) {
        List<String> all = new ArrayList<>(List.of(
                "Celery-Program",
                "ours",
                "Celery-Call",
                "2",
                "Idempotency-Key",
                "second",
                "Authorization",
                authorization));
        for (int i = 0; i < others.length; i += 2) {
            int at = all.indexOf(others[i]);
            if (at >= 0) {
                all.set(at + 1, others[i + 1]);
            } else {
                all.addAll(List.of(others[i], others[i + 1]));
            }
        }
        return all;
    }

    private record Answer(int status, String body) {
        JsonObject error() {
            return new JsonObject(body).getJsonObject("error");
        }

        String code() {
            return body.startsWith("{") && body.contains("\"error\"") ? error().getString("code") : "untyped";
        }
    }

    private Answer call(int number, String key, String authorization, String path, String body) {
        return request("POST", path, headers(authorization, "Celery-Call", "" + number, "Idempotency-Key", key), body);
    }

    private Answer send(String method, String path, String authorization, String body) {
        return request(method, path, List.of("Authorization", authorization), body);
    }

    private Answer request(String method, String path, List<String> headers, String body) {
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
            return new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            throw new AssertionError(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError(e);
        }
    }

    private record Result(int exitCode, String out, String err) {}

    private Result cli(String... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        err.reset();
        List<String> args = new ArrayList<>(Arrays.asList(words));
        args.addAll(List.of("--server", "127.0.0.1:" + deployment.daemon(0).operatorPort()));
        if (!args.contains("--key-file")) {
            args.addAll(List.of("--key-file", operatorKey.toString()));
        }
        int exitCode = Main.run(
                args,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
        return new Result(exitCode, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    private static Path write(String text) throws IOException {
        Path file = Files.createTempFile("celerygw", ".key");
        file.toFile().deleteOnExit();
        return Files.writeString(file, text);
    }
}
