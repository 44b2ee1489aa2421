package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Rule TWICE: a sound engine falls silent for 1.2 s and goes on. Counts the streams that another engine goes on with while
 * the first one still works on them 400 ms later.
 */
public final class Silent {
    private static final int HOSTS = 4;
    private static final int ENGINES = 6;
    private static final int EVENTS = 20;
    private static final long EVENT_MS = 100;
    private static final long SILENT_AT_MS = 7_000;
    private static final long SILENT_MS = 1_200;
    private static final long LENGTH_MS = 14_000;
    private static final long OVERLAP_MS = 400;

    private static final class Work {
        final String engine;
        final int first;
        final long fromMs;
        volatile long untilMs = Long.MAX_VALUE;

        Work(String engine, int first, long fromMs) {
            this.engine = engine;
            this.first = first;
            this.fromMs = fromMs;
        }
    }

    private Silent() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Deployment deployment = new Deployment(HOSTS, record, Path.of(args[1]));
        Map<String, List<Work>> works = new ConcurrentHashMap<>();
        long[] silentFromMs = {Long.MAX_VALUE / 2};
        Engine.Behaviour behaviour = (engine, request, connection) -> {
            String id = request.header("Celerygw-Attempt-Id");
            String after = request.header("Last-Event-Id");
            int first = after.isEmpty() ? 1 : 1 + Integer.parseInt(after);
            Work work = new Work(engine.id, first, record.nowMs());
            works.computeIfAbsent(id, i -> new CopyOnWriteArrayList<>()).add(work);
            record.line("engine " + engine.id + " begins " + id + " from event " + first);
            boolean left = false;
            Thread.sleep(60);
            try {
                Engine.beginStream(request, connection, "");
                for (int i = first; i <= EVENTS; i++) {
                    if (engine.id.equals("i-7f3a91c2")) {
                        long inSilence = record.nowMs() - silentFromMs[0];
                        if (inSilence >= 0 && inSilence < SILENT_MS) {
                            Thread.sleep(SILENT_MS - inSilence);
                        }
                    }
                    Thread.sleep(EVENT_MS);
                    if (!left) {
                        try {
                            connection.chunk(Engine.event(i, engine.id + " " + i));
                        } catch (java.io.IOException e) {
                            // The caller has left; this engine is one of those that do not drop the request.
                            left = true;
                            record.line("engine " + engine.id + " goes on with " + id + " without its caller");
                        }
                    }
                }
            } finally {
                work.untilMs = record.nowMs();
                record.line("engine " + engine.id + " ends " + id);
            }
            if (left) {
                return false;
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
        Load load = new Load(deployment, 1);
        load.start(4, startMs + LENGTH_MS);
        Thread.sleep(SILENT_AT_MS);
        if (trouble) {
            record.say("engine i-7f3a91c2 is silent for " + SILENT_MS + " ms, and goes on");
            silentFromMs[0] = record.nowMs();
        }
        Thread.sleep(Math.max(1, startMs + LENGTH_MS + 6_000 - record.nowMs()));
        int twice = 0;
        for (Map.Entry<String, List<Work>> e : works.entrySet()) {
            List<Work> list = new ArrayList<>(e.getValue());
            for (int i = 0; i + 1 < list.size(); i++) {
                Work before = list.get(i);
                Work next = list.get(i + 1);
                if (before.untilMs > next.fromMs + OVERLAP_MS) {
                    twice++;
                    record.say("stream " + e.getKey() + ": " + next.engine + " goes on from event " + next.first + " at "
                            + next.fromMs + " ms, " + before.engine + " works on it until " + before.untilMs + " ms");
                    break;
                }
            }
        }
        record.say("turns " + load.turns + ", served whole " + load.served);
        record.say((twice > 0 ? "BROKEN" : "held") + ": " + twice + " streams went on at another engine while the engine"
                + " before still worked on them 400 ms later");
        System.exit(twice > 0 ? Run.BROKEN : 0);
    }
}
