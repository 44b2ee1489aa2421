import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store as PROTOCOL.md has it: rows in tables, transactions, range reads and a feed. Always available. */
final class Store implements AutoCloseable {
    static final int MAX_CALL_BYTES = 1 << 20;
    static final int MAX_ENTRIES = 100;
    private static final int MAX_ROWS = 500;

    private record Entry(String value, long ver) {}

    private final Map<String, TreeMap<String, Entry>> tables = new HashMap<>();
    private final Case log;
    final Http.Server server;
    private long version = 1;
    int refusedTooLarge;

    Store(Case log) throws IOException {
        this.log = log;
        this.server = new Http.Server("127.0.0.1", 0, this::handle);
    }

    synchronized void put(String table, String key, String json) {
        String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
        table(table, "").put(key, new Entry(value, ++version));
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        table(table, "").put(key, new Entry(null, ++version));
        notifyAll();
    }

    private TreeMap<String, Entry> table(String table, String part) {
        return tables.computeIfAbsent(table + "\n" + part, t -> new TreeMap<>());
    }

    private void handle(Http.Message request, Http.Channel channel) throws Exception {
        Thread.sleep(4);
        String target = request.target();
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                int eq = pair.indexOf('=');
                query.put(pair.substring(0, eq), URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        switch (path) {
            case "/rows-tx" -> write(request, channel);
            case "/rows-get" -> answer(channel, 200, read(query));
            case "/rows-feed" -> answer(channel, 200, feed(query));
            default -> answer(channel, 404, new LinkedHashMap<>());
        }
    }

    private void answer(Http.Channel channel, int status, Map<String, Object> body) throws IOException {
        body.put("nowMs", System.nanoTime() / 1_000_000);
        channel.answer(status, "Content-Type: application/json\r\n", Json.write(body).getBytes(StandardCharsets.UTF_8));
    }

    private void write(Http.Message request, Http.Channel channel) throws Exception {
        Map<String, Object> txn = Json.object(Json.parse(new String(request.body, StandardCharsets.UTF_8)));
        int entries = Json.list(txn.get("expect")).size()
                + Json.list(txn.get("setKeys")).size()
                + Json.list(txn.get("remove")).size();
        if (request.body.length > MAX_CALL_BYTES || entries > MAX_ENTRIES) {
            synchronized (this) {
                refusedTooLarge++;
            }
            log.record("store: refused a transaction of " + request.body.length + " bytes and " + entries + " entries");
            answer(channel, 413, new LinkedHashMap<>());
            return;
        }
        Thread.sleep(8);
        Map<String, Object> result = new LinkedHashMap<>();
        int status = apply(txn, result);
        answer(channel, status, result);
    }

    private synchronized int apply(Map<String, Object> txn, Map<String, Object> result) {
        boolean holds = true;
        List<Object> current = new ArrayList<>();
        for (Object o : Json.list(txn.get("expect"))) {
            Map<String, Object> row = Json.object(o);
            Entry entry = table((String) row.get("table"), (String) row.get("part")).get(row.get("key"));
            boolean exists = entry != null && entry.value() != null;
            holds &= (exists ? entry.ver() : 0) == ((Number) row.get("ver")).longValue();
            if (exists) {
                current.add(row((String) row.get("table"), (String) row.get("part"), (String) row.get("key"), entry));
            }
        }
        if (!holds) {
            result.put("rows", current);
            result.put("ver", version);
            return 412;
        }
        version++;
        for (Object o : Json.list(txn.get("setKeys"))) {
            Map<String, Object> row = Json.object(o);
            table((String) row.get("table"), (String) row.get("part"))
                    .put((String) row.get("key"), new Entry((String) row.get("value"), version));
        }
        for (Object o : Json.list(txn.get("remove"))) {
            Map<String, Object> row = Json.object(o);
            table((String) row.get("table"), (String) row.get("part"))
                    .put((String) row.get("key"), new Entry(null, version));
        }
        result.put("ver", version);
        notifyAll();
        return 200;
    }

    private static Map<String, Object> row(String table, String part, String key, Entry entry) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("table", table);
        row.put("part", part);
        row.put("key", key);
        row.put("ver", entry.ver());
        if (entry.value() == null) {
            row.put("deleted", true);
        } else {
            row.put("value", entry.value());
        }
        return row;
    }

    private synchronized Map<String, Object> read(Map<String, String> query) {
        String table = query.get("table");
        String part = query.getOrDefault("part", "");
        String from = query.getOrDefault("from", "");
        String to = query.getOrDefault("to", "");
        int limit = Integer.parseInt(query.getOrDefault("limit", "" + MAX_ROWS));
        List<Object> rows = new ArrayList<>();
        long bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Entry> e : table(table, part).tailMap(from).entrySet()) {
            if (!to.isEmpty() && e.getKey().compareTo(to) >= 0) {
                break;
            }
            if (e.getValue().value() == null) {
                continue;
            }
            bytes += e.getValue().value().length() + 200;
            if (rows.size() >= Math.min(limit, MAX_ROWS) || (bytes > MAX_CALL_BYTES && !rows.isEmpty())) {
                more = true;
                break;
            }
            rows.add(row(table, part, e.getKey(), e.getValue()));
        }
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("rows", rows);
        result.put("hasMore", more);
        result.put("ver", version);
        return result;
    }

    private synchronized Map<String, Object> feed(Map<String, String> query) throws InterruptedException {
        String table = query.get("table");
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Math.min(30_000, Long.parseLong(query.get("waitMs"))) * 1_000_000;
        while (true) {
            List<Map<String, Object>> rows = new ArrayList<>();
            tables.forEach((name, entries) -> {
                if (name.startsWith(table + "\n")) {
                    String part = name.substring(table.length() + 1);
                    entries.forEach((key, entry) -> {
                        if (entry.ver() > after) {
                            rows.add(row(table, part, key, entry));
                        }
                    });
                }
            });
            rows.sort((a, b) -> Long.compare((Long) a.get("ver"), (Long) b.get("ver")));
            long leftMs = (end - System.nanoTime()) / 1_000_000;
            if (!rows.isEmpty() || leftMs <= 0) {
                Map<String, Object> result = new LinkedHashMap<>();
                result.put("rows", new ArrayList<Object>(rows));
                result.put("ver", version);
                return result;
            }
            wait(leftMs);
        }
    }

    @Override
    public void close() {
        server.close();
    }
}
