package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Rule ORDER: two of ten engines lose their way to the store, crash behind the cut one after the other, and start again
 * under their ids with a newer software version. Counts the answers that hold events of two software versions.
 */
public final class Reborn {
    private static final int HOSTS = 12;
    private static final int ENGINES = 10;
    private static final int EVENTS = 12;
    private static final long EVENT_MS = 250;
    private static final long LENGTH_MS = 18_000;
    private static final long TROUBLE_AT_MS = 7_000;
    private static final long CUT_MS = 5_000;
    private static final long GAP_MS = 3_000;
    private static final long BACK_AFTER_MS = 300;
    private static final int ALLOWED = 2;

    private Reborn() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Deployment deployment = new Deployment(HOSTS, record, Path.of(args[1]));
        Engine.Behaviour behaviour = (engine, request, connection) -> {
            String after = request.header("Last-Event-Id");
            int first = after.isEmpty() ? 1 : 1 + Integer.parseInt(after);
            String version = engine.version;
            record.line("engine " + engine.id + " " + version + " runs " + request.header("Celerygw-Attempt-Id")
                    + " from event " + first);
            Thread.sleep(60);
            Engine.beginStream(request, connection, "");
            for (int i = first; i <= EVENTS; i++) {
                connection.chunk(Engine.event(i, version + " " + engine.id + " " + i));
                Thread.sleep(EVENT_MS);
            }
            connection.lastChunk();
            return true;
        };
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(deployment.engine(Manifest.ENGINES, 48, behaviour));
        }
        deployment.startHosts();
        Thread.sleep(4_000);
        long startMs = record.nowMs();
        Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
        Http.daemon(() -> programs(deployment, answers, startMs + LENGTH_MS));
        Thread.sleep(TROUBLE_AT_MS);
        if (trouble) {
            // Both in one zone, as of a rack; a fifth of the engines.
            List<Engine> cut = List.of(engines.get(0), engines.get(3));
            for (Engine engine : cut) {
                record.say("cut: " + engine.id + " does not reach the store");
                engine.reaches = () -> false;
                Http.daemon(() -> lapse(deployment, engine));
            }
            long cutMs = record.nowMs();
            Thread.sleep(100);
            for (Engine engine : cut) {
                record.say(engine.id + " crashes behind the cut, and starts again as v2 under its id");
                engine.version = "v2";
                engine.crash(BACK_AFTER_MS);
                Thread.sleep(engine == cut.get(0) ? GAP_MS : 1);
            }
            Thread.sleep(Math.max(1, cutMs + CUT_MS - record.nowMs()));
            for (Engine engine : cut) {
                engine.reaches = () -> true;
                engine.register();
            }
            record.say("the cut ends");
        }
        Thread.sleep(Math.max(1, startMs + LENGTH_MS + 5_000 - record.nowMs()));
        int mixed = 0;
        int whole = 0;
        for (Map.Entry<String, Client.Answer> e : answers.entrySet()) {
            List<String> events = e.getValue().events();
            boolean older = events.stream().anyMatch(d -> d.startsWith("v1 "));
            boolean newer = events.stream().anyMatch(d -> d.startsWith("v2 "));
            if (older && newer) {
                mixed++;
                record.say("stream " + e.getKey() + " holds events of both versions: " + events);
            }
            whole += e.getValue().whole() && events.size() == EVENTS ? 1 : 0;
        }
        record.say("streams " + answers.size() + ", whole " + whole);
        record.say((mixed > ALLOWED ? "BROKEN" : "held") + ": " + mixed
                + " streams hold events of two software versions in one answer");
        System.exit(mixed > ALLOWED ? Run.BROKEN : 0);
    }

    /** Removes the entry of an engine that is still cut after three report intervals of silence. */
    private static void lapse(Deployment deployment, Engine engine) {
        try {
            Thread.sleep(3 * Engine.HEARTBEAT_MS);
        } catch (InterruptedException e) {
            return;
        }
        if (!engine.reaches.getAsBoolean()) {
            deployment.store.remove("servers", engine.id);
            deployment.record.say("the entry of " + engine.id + " lapses");
        }
    }

    private static void programs(Deployment deployment, Map<String, Client.Answer> answers, long untilMs) {
        try {
            for (int i = 0; deployment.record.nowMs() < untilMs; i++) {
                int number = i;
                Http.daemon(() -> program(deployment, answers, number));
                Thread.sleep(62);
            }
        } catch (InterruptedException e) {
            // Ends.
        }
    }

    private static void program(Deployment deployment, Map<String, Client.Answer> answers, int number) {
        Random random = new Random(number);
        Deployment.Host host = deployment.hosts.get(random.nextInt(HOSTS));
        for (int turn = 0; turn < 4; turn++) {
            String id = Client.newId();
            String headers = "Celerygw-Model: m\r\nCelerygw-Token-Usage: 1460,80\r\nCelerygw-Program-Id: p" + number
                    + "\r\nCelerygw-Session-Id: s" + number
                    + "\r\nCelerygw-Program-Deadline-Ms: 15000\r\nCelerygw-Token-Budget: 2000\r\n";
            Client.Answer answer = Client.send(
                    host.ip,
                    deployment.frontPort,
                    Client.request(
                            "POST",
                            Manifest.RESUMABLE + Integer.toHexString(number),
                            id,
                            5_000,
                            headers,
                            "program " + number + " turn " + turn),
                    5_500);
            answers.put(id, answer);
            deployment.record.line("client " + host.name + " " + id + " -> " + answer.status() + " events "
                    + answer.events().size() + (answer.whole() ? " whole" : " cut"));
        }
    }
}
