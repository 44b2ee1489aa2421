package review;

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

/** The platform's store as PROTOCOL.md describes it: transactions, range reads and feeds of rows, kept in memory. */
final class Store {
    private static final long CALL_MS = 4;
    private static final int PAGE_ROWS = 500;

    private record Entry(String value, long ver, boolean deleted) {}

    /** table, part, key. */
    private final Map<String, Map<String, TreeMap<String, Entry>>> tables = new HashMap<>();

    private final long startNanos = System.nanoTime();
    private long version = 1;

    /** While true, calls get no answer, as of a store that is down. */
    private volatile boolean down;

    final Http.Server server;

    Store(String ip, int port) throws IOException {
        server = new Http.Server(ip, port, this::handle);
    }

    void setDown(boolean value) {
        down = value;
    }

    synchronized void put(String table, String key, String text) {
        String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        rows(table, "").put(key, new Entry(value, ++version, false));
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        rows(table, "").put(key, new Entry("", ++version, true));
        notifyAll();
    }

    private TreeMap<String, Entry> rows(String table, String part) {
        return tables.computeIfAbsent(table, t -> new TreeMap<>()).computeIfAbsent(part, p -> new TreeMap<>());
    }

    private boolean handle(Http.Message request, Http.Connection connection) throws IOException, InterruptedException {
        if (down) {
            // A store that is down says nothing; the caller gives up.
            while (connection.in.read() >= 0) {
                // Nothing is done with what still comes.
            }
            return false;
        }
        Thread.sleep(CALL_MS);
        Map<String, String> query = query(request.target());
        switch (request.path()) {
            case "/rows-tx" -> {
                Map<String, Object> result = write(map(Json.parse(new String(request.body(), StandardCharsets.UTF_8))));
                respond(connection, result.containsKey("rows") ? 412 : 200, result);
            }
            case "/rows-get" -> respond(connection, 200, read(query));
            case "/rows-feed" -> {
                Map<String, Object> result = feed(query);
                if (down) {
                    return false;
                }
                respond(connection, 200, result);
            }
            default -> respond(connection, 404, new LinkedHashMap<>());
        }
        return true;
    }

    private void respond(Http.Connection connection, int status, Map<String, Object> body) throws IOException {
        body.put("nowMs", (System.nanoTime() - startNanos) / 1_000_000);
        connection.respond(
                status, "Content-Type: application/json\r\n", Json.write(body).getBytes(StandardCharsets.UTF_8));
    }

    private synchronized Map<String, Object> write(Map<String, Object> txn) {
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Object e : list(txn.get("expect"))) {
            Map<String, Object> row = map(e);
            Entry entry = rows((String) row.get("table"), (String) row.get("part")).get((String) row.get("key"));
            long ver = entry == null || entry.deleted() ? 0 : entry.ver();
            holds &= ver == (Long) row.get("ver");
            if (ver > 0) {
                current.add(row((String) row.get("table"), (String) row.get("part"), (String) row.get("key"), entry));
            }
        }
        Map<String, Object> result = new LinkedHashMap<>();
        if (!holds) {
            result.put("rows", current);
            result.put("ver", version);
            return result;
        }
        long ver = ++version;
        for (Object s : list(txn.get("setKeys"))) {
            Map<String, Object> row = map(s);
            rows((String) row.get("table"), (String) row.get("part"))
                    .put((String) row.get("key"), new Entry((String) row.get("value"), ver, false));
        }
        for (Object r : list(txn.get("remove"))) {
            Map<String, Object> row = map(r);
            rows((String) row.get("table"), (String) row.get("part"))
                    .put((String) row.get("key"), new Entry("", ver, true));
        }
        notifyAll();
        result.put("ver", ver);
        return result;
    }

    private synchronized Map<String, Object> read(Map<String, String> query) {
        String table = query.get("table");
        String part = query.getOrDefault("part", "");
        String to = query.getOrDefault("to", "");
        int limit = Math.min(PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + PAGE_ROWS)));
        List<Object> found = new ArrayList<>();
        boolean hasMore = false;
        for (Map.Entry<String, Entry> e :
                rows(table, part).tailMap(query.getOrDefault("from", "")).entrySet()) {
            if (!to.isEmpty() && e.getKey().compareTo(to) >= 0) {
                break;
            }
            if (e.getValue().deleted()) {
                continue;
            }
            if (found.size() == limit) {
                hasMore = true;
                break;
            }
            found.add(row(table, part, e.getKey(), e.getValue()));
        }
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("rows", found);
        result.put("hasMore", hasMore);
        result.put("ver", version);
        return result;
    }

    private synchronized Map<String, Object> feed(Map<String, String> query) throws InterruptedException {
        String table = query.get("table");
        long after = Long.parseLong(query.get("after"));
        long untilNanos = System.nanoTime() + 1_000_000L * Long.parseLong(query.get("waitMs"));
        while (true) {
            TreeMap<Long, Object> changed = new TreeMap<>();
            tables.getOrDefault(table, Map.of()).forEach((part, rows) -> rows.forEach((key, entry) -> {
                if (entry.ver() > after) {
                    changed.put(entry.ver() * 1_000 + changed.size(), row(table, part, key, entry));
                }
            }));
            long leftMs = (untilNanos - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || leftMs <= 0 || down) {
                Map<String, Object> result = new LinkedHashMap<>();
                result.put("rows", new ArrayList<>(changed.values()));
                result.put("ver", version);
                return result;
            }
            wait(leftMs);
        }
    }

    private static Map<String, Object> row(String table, String part, String key, Entry entry) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("table", table);
        row.put("part", part);
        row.put("key", key);
        row.put("ver", entry.ver());
        if (entry.deleted()) {
            row.put("deleted", true);
        } else {
            row.put("value", entry.value());
        }
        return row;
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> map(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    private static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }
}
