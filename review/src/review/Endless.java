package review;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Rule CONFIG: an engine in trouble answers three streams with line feeds that do not end. Counts ordinary requests to
 * another service that have no answer half a second after their route's timeoutMs.
 */
public final class Endless {
    private static final int HOSTS = 3;
    private static final int ENGINES = 4;
    private static final int ENDLESS_ANSWERS = 3;
    private static final long TROUBLE_AT_MS = 5_000;
    private static final long LENGTH_MS = 20_000;
    private static final int ROUTE_TIMEOUT_MS = 1_200;
    private static final int SLACK_MS = 500;
    private static final int CLIENT_TIMEOUT_MS = 4_000;
    private static final int MIN_LATE = 8;

    private record Call(String host, long fromMs, long tookMs, int status) {}

    private Endless() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Deployment deployment = new Deployment(HOSTS, record, Path.of(args[1]));
        AtomicInteger endless = new AtomicInteger();
        AtomicInteger begun = new AtomicInteger(Integer.MAX_VALUE / 2);
        Engine.Behaviour stream = (engine, request, connection) -> {
            record.line("engine " + engine.id + " runs " + request.header("Celerygw-Attempt-Id"));
            if (engine.id.equals("i-7f3a91c2") && begun.get() <= 0 && endless.getAndIncrement() < ENDLESS_ANSWERS) {
                sendWithoutEnd(record, engine, request, connection);
            }
            Thread.sleep(60);
            Engine.beginStream(request, connection, "");
            for (int i = 1; i <= 11; i++) {
                connection.chunk(Engine.event(i, "e" + i));
                Thread.sleep(20);
            }
            connection.lastChunk();
            return true;
        };
        Engine.Behaviour plain = (engine, request, connection) -> {
            Thread.sleep(20);
            connection.respond(200, Engine.headers(request), "x".repeat(800).getBytes(StandardCharsets.ISO_8859_1));
            return true;
        };
        for (int i = 0; i < ENGINES; i++) {
            deployment.engine(Manifest.ENGINES, 48, stream);
        }
        for (int i = 0; i < ENGINES; i++) {
            deployment.engine(Manifest.PLAIN, 6, plain);
        }
        deployment.startHosts();
        Thread.sleep(4_000);
        long startMs = record.nowMs();
        Load load = new Load(deployment, 1);
        load.start(4, startMs + LENGTH_MS);
        List<Call> calls = new CopyOnWriteArrayList<>();
        Http.daemon(() -> safeCalls(deployment, calls, startMs + LENGTH_MS));
        Thread.sleep(TROUBLE_AT_MS);
        if (trouble) {
            record.say("engine i-7f3a91c2 is in trouble: " + ENDLESS_ANSWERS + " of its answers do not end");
            begun.set(0);
        }
        Thread.sleep(Math.max(1, startMs + LENGTH_MS + CLIENT_TIMEOUT_MS + 1_000 - record.nowMs()));
        long unanswered = calls.stream().filter(c -> c.tookMs > ROUTE_TIMEOUT_MS).count();
        long late = calls.stream().filter(c -> c.tookMs > ROUTE_TIMEOUT_MS + SLACK_MS).count();
        for (Deployment.Host host : deployment.hosts) {
            long own = calls.stream()
                    .filter(c -> c.host.equals(host.name) && c.tookMs > ROUTE_TIMEOUT_MS + SLACK_MS)
                    .count();
            record.say(host.name + ": " + own + " safe requests without an answer " + SLACK_MS
                    + " ms after timeoutMs; process alive: " + host.process.isAlive());
        }
        record.say("safe requests " + calls.size() + ", unanswered at timeoutMs " + unanswered + ", half a second later "
                + late + "; endless answers " + Math.min(endless.get(), ENDLESS_ANSWERS) + "; turns " + load.turns
                + ", served whole " + load.served);
        boolean broken = late >= MIN_LATE && 2 * late > unanswered;
        record.say(broken ? "BROKEN" : "held");
        System.exit(broken ? Run.BROKEN : 0);
    }

    private static void sendWithoutEnd(
            Record record, Engine engine, Http.Message request, Http.Connection connection)
            throws java.io.IOException {
        record.line("engine " + engine.id + " answers without end");
        byte[] bytes = "\n".repeat(30_000).getBytes(StandardCharsets.ISO_8859_1);
        connection.send("HTTP/1.1 200 OK\r\n" + Engine.headers(request)
                + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
        long sent = 0;
        try {
            while (sent < 1L << 30) {
                connection.out.write(bytes);
                sent += bytes.length;
            }
        } finally {
            record.line("engine " + engine.id + " wrote " + sent + " bytes until the caller closed");
        }
    }

    /** One safe request each 50 ms, at each host in turn; its client waits longer than the route's timeoutMs. */
    private static void safeCalls(Deployment deployment, List<Call> calls, long untilMs) {
        Record record = deployment.record;
        try {
            for (int i = 0; record.nowMs() < untilMs; i++) {
                Deployment.Host host = deployment.hosts.get(i % HOSTS);
                Http.daemon(() -> {
                    long fromMs = record.nowMs();
                    String id = Client.newId();
                    Client.Answer answer = Client.send(
                            host.ip,
                            deployment.frontPort,
                            Client.request("GET", Manifest.SAFE + "2f", id, CLIENT_TIMEOUT_MS, "", ""),
                            CLIENT_TIMEOUT_MS);
                    calls.add(new Call(host.name, fromMs, record.nowMs() - fromMs, answer.status()));
                    record.line("client " + host.name + " safe " + id + " -> " + answer.status() + " after "
                            + (record.nowMs() - fromMs) + " ms");
                });
                Thread.sleep(50);
            }
        } catch (InterruptedException e) {
            // Ends.
        }
    }
}
