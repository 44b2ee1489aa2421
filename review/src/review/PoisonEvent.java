package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Rule BUDGET: one request crashes each engine that begins to run it, just after its first event. Counts the runs that
 * came to engines later than stableMs after the third crash.
 */
public final class PoisonEvent {
    private static final int HOSTS = 6;
    private static final int ENGINES = 9;
    private static final long STABLE_MS = 3_000;
    private static final long SLACK_MS = 250;
    private static final long END_MS = 113_000;
    private static final long BACK_AFTER_MS = 2_000;
    private static final int ALLOWED = 3;

    private PoisonEvent() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Deployment deployment = new Deployment(HOSTS, record, Path.of(args[1]));
        List<Long> crashes = new CopyOnWriteArrayList<>();
        Engine.Behaviour behaviour = (engine, request, connection) -> {
            String id = request.header("Celerygw-Attempt-Id");
            boolean harmful = new String(request.body()).startsWith("harmful");
            record.line("engine " + engine.id + " runs " + id + " " + request.path());
            Thread.sleep(60);
            Engine.beginStream(request, connection, "");
            for (int i = 1; i <= 11; i++) {
                connection.chunk(Engine.event(i, "e" + i));
                Thread.sleep(20);
                if (trouble && harmful) {
                    record.line("engine " + engine.id + " crashes under " + id);
                    crashes.add(record.nowMs());
                    engine.crash(BACK_AFTER_MS);
                    return false;
                }
            }
            connection.lastChunk();
            return true;
        };
        for (int i = 0; i < ENGINES; i++) {
            deployment.engine(Manifest.ENGINES, 48, behaviour);
        }
        deployment.startHosts();
        Thread.sleep(2_000);
        Load load = new Load(deployment, 1);
        load.start(2, END_MS);
        Random random = new Random();
        while (record.nowMs() < END_MS && late(crashes) <= ALLOWED) {
            Deployment.Host host = deployment.hosts.get(random.nextInt(HOSTS));
            String id = Client.newId();
            String headers = "Celerygw-Model: m\r\nCelerygw-Token-Usage: 1460,80\r\nCelerygw-Program-Id: h\r\n"
                    + "Celerygw-Session-Id: h\r\nCelerygw-Program-Deadline-Ms: 9000\r\nCelerygw-Token-Budget: 20000\r\n";
            Client.Answer answer = Client.send(
                    host.ip,
                    deployment.frontPort,
                    Client.request("POST", Manifest.KEPT + "h", id, 5_000, headers, "harmful"),
                    5_500);
            record.line("client " + host.name + " harmful " + id + " -> " + answer.status() + " events "
                    + answer.events().size() + (answer.whole() ? " whole" : " cut"));
            Thread.sleep(3_300);
        }
        long late = late(crashes);
        record.say("engines crashed at " + crashes + " ms; ordinary turns " + load.turns + ", served whole "
                + load.served);
        record.say((late > ALLOWED ? "BROKEN" : "held") + ": the request reached engines in " + late
                + " retries later than stableMs after its third crash");
        System.exit(late > ALLOWED ? 1 : 0);
    }

    private static long late(List<Long> crashes) {
        return crashes.size() < 3
                ? 0
                : crashes.stream()
                        .filter(t -> t > crashes.get(2) + STABLE_MS + SLACK_MS)
                        .count();
    }
}
