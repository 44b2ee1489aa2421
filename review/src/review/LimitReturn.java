package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Rule LIMIT: engines in need name a Server-Limit; one of them loses its way to the store for 5 s, so that its entry
 * lapses and comes back. Counts what that engine gets in any 4 s.
 */
public final class LimitReturn {
    private static final int HOSTS = 6;
    private static final int ENGINES = 6;
    private static final double LIMIT_PER_S = 3;
    private static final long STABLE_MS = 3_000;
    private static final long WINDOW_MS = 4_000;
    private static final long CUT_AT_MS = 9_000;
    private static final long CUT_MS = 5_000;
    private static final long LENGTH_MS = 24_000;

    private LimitReturn() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Deployment deployment = new Deployment(HOSTS, record, Path.of(args[1]));
        Map<String, List<Long>> runs = new ConcurrentHashMap<>();
        Set<String> named = ConcurrentHashMap.newKeySet();
        long[] firstNamedMs = {0};
        Engine.Behaviour behaviour = (engine, request, connection) -> {
            record.line("engine " + engine.id + " runs " + request.header("Celerygw-Attempt-Id"));
            runs.computeIfAbsent(engine.id, e -> new ArrayList<>());
            List<Long> own = runs.get(engine.id);
            synchronized (own) {
                own.add(record.nowMs());
            }
            if (named.add(engine.id)) {
                firstNamedMs[0] = Math.max(firstNamedMs[0], record.nowMs() + 150);
            }
            Thread.sleep(150);
            Engine.beginStream(request, connection, "Server-Limit: " + LIMIT_PER_S + "\r\n");
            for (int i = 1; i <= 11; i++) {
                connection.chunk(Engine.event(i, "e" + i));
                Thread.sleep(20);
            }
            connection.lastChunk();
            return true;
        };
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(deployment.engine(Manifest.ENGINES, 48, behaviour));
        }
        deployment.startHosts();
        Thread.sleep(2_000);
        long startMs = record.nowMs();
        Load load = new Load(deployment, 1);
        load.start(16, startMs + LENGTH_MS);
        Thread.sleep(CUT_AT_MS);
        Engine cut = engines.get(0);
        if (trouble) {
            record.say("cut: " + cut.id + " does not reach the store");
            cut.reaches = () -> false;
            Thread.sleep(3 * Engine.HEARTBEAT_MS);
            record.say("the entry of " + cut.id + " lapses after three report intervals");
            deployment.store.remove("servers", cut.id);
            Thread.sleep(CUT_MS - 3 * Engine.HEARTBEAT_MS);
            cut.reaches = () -> true;
            cut.register();
            record.say("the cut ends: the entry of " + cut.id + " is back, with the same start");
        } else {
            Thread.sleep(CUT_MS);
        }
        Thread.sleep(Math.max(1, startMs + LENGTH_MS - record.nowMs()));
        double allowed = 1.5 * LIMIT_PER_S * WINDOW_MS / 1_000 + 5;
        Set<String> broken = new HashSet<>();
        for (Engine engine : engines) {
            List<Long> times = runs.getOrDefault(engine.id, List.of()).stream()
                    .filter(t -> t > firstNamedMs[0] + STABLE_MS)
                    .toList();
            long most = 0;
            long mostAt = 0;
            for (long from : times) {
                long count = times.stream().filter(t -> t >= from && t < from + WINDOW_MS).count();
                if (count > most) {
                    most = count;
                    mostAt = from;
                }
            }
            record.say(engine.id + (engine == cut ? " (the one that was cut)" : "") + ": at most " + most
                    + " requests in 4 s, from " + mostAt + " ms; allowed " + allowed);
            if (most > allowed) {
                broken.add(engine.id);
            }
        }
        record.say("turns " + load.turns + ", served whole " + load.served);
        record.say((broken.isEmpty() ? "held" : "BROKEN") + ": engines with more than 1.5 times their limit + 5: "
                + broken);
        System.exit(broken.isEmpty() ? 0 : Run.BROKEN);
    }
}
