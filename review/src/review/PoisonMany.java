package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Rule BUDGET: some requests crash each engine that begins to run them and come again. Counts, for each of them, the
 * runs that came to engines later than stableMs after its third crash.
 */
public final class PoisonMany {
    private static final int HOSTS = 12;
    private static final int ENGINES = 18;
    private static final int POISONS = 24;
    private static final long STABLE_MS = 3_000;
    private static final long SLACK_MS = 250;
    private static final long LENGTH_MS = 60_000;
    private static final long BACK_AFTER_MS = 2_500;
    private static final int ALLOWED = 3;

    private PoisonMany() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Deployment deployment = new Deployment(HOSTS, record, Path.of(args[1]));
        Map<String, List<Long>> crashes = new ConcurrentHashMap<>();
        Engine.Behaviour behaviour = (engine, request, connection) -> {
            String body = new String(request.body());
            String id = request.header("Celerygw-Attempt-Id");
            record.line("engine " + engine.id + " runs " + id + " " + request.path());
            if (trouble && body.startsWith("harmful")) {
                record.line("engine " + engine.id + " crashes under " + id + " (" + body + ")");
                crashes.computeIfAbsent(body, b -> new ArrayList<>()).add(record.nowMs());
                engine.crash(BACK_AFTER_MS);
                return false;
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
        for (int i = 0; i < ENGINES; i++) {
            deployment.engine(Manifest.ENGINES, 48, behaviour);
        }
        deployment.startHosts();
        Thread.sleep(4_000);
        long startMs = record.nowMs();
        long untilMs = startMs + LENGTH_MS;
        Load load = new Load(deployment, 1);
        load.start(16, untilMs);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < POISONS; i++) {
            int number = i;
            Thread thread = new Thread(() -> harmful(deployment, number, startMs, untilMs));
            thread.start();
            clients.add(thread);
        }
        for (Thread thread : clients) {
            thread.join();
        }
        int broken = 0;
        int most = 0;
        for (Map.Entry<String, List<Long>> e : new java.util.TreeMap<>(crashes).entrySet()) {
            List<Long> times = e.getValue();
            long late = times.size() < 3
                    ? 0
                    : times.stream()
                            .filter(t -> t > times.get(2) + STABLE_MS + SLACK_MS)
                            .count();
            record.say(e.getKey() + ": crashed engines at " + times + " ms, " + late
                    + " of them later than stableMs after the third");
            broken += late > ALLOWED ? 1 : 0;
            most = Math.max(most, (int) late);
        }
        record.say("ordinary turns " + load.turns + ", served whole " + load.served + "; datagrams that hosts could not"
                + " read: " + deployment.logLines("malformed datagram dropped"));
        record.say((broken > 0 ? "BROKEN" : "held") + ": " + broken + " of " + POISONS
                + " harmful requests reached engines in more than 3 retries later than stableMs after their third crash"
                + " (most: " + most + ")");
        System.exit(broken > 0 ? Run.BROKEN : 0);
    }

    private static void harmful(Deployment deployment, int number, long startMs, long untilMs) {
        Random random = new Random(100 + number);
        Record record = deployment.record;
        try {
            Thread.sleep(800L * number);
            while (record.nowMs() < untilMs) {
                Deployment.Host host = deployment.hosts.get(random.nextInt(deployment.hosts.size()));
                String id = Client.newId();
                String headers = "Celerygw-Model: m\r\nCelerygw-Token-Usage: 1460,80\r\nCelerygw-Program-Id: h" + number
                        + "\r\nCelerygw-Session-Id: h" + number
                        + "\r\nCelerygw-Program-Deadline-Ms: 9000\r\nCelerygw-Token-Budget: 20000\r\n";
                Client.Answer answer = Client.send(
                        host.ip,
                        deployment.frontPort,
                        Client.request(
                                "POST",
                                Manifest.KEPT + "h" + Integer.toHexString(number),
                                id,
                                5_000,
                                headers,
                                "harmful " + number),
                        5_500);
                record.line("client " + host.name + " harmful " + number + " " + id + " -> " + answer.status()
                        + " retry after " + answer.retryAfter());
                Thread.sleep(1_500 + random.nextInt(1_000));
            }
        } catch (InterruptedException e) {
            // Ends.
        }
    }
}
