package review;

/** The manifest of a small deployment, with routes as on the sheet of rgal-mov. */
final class Manifest {
    static final String HOST = "ficu95.example";
    static final String ENGINES = "huvo11a";
    static final String PLAIN = "wuno96b";

    /** A stream that may be resumed. */
    static final String RESUMABLE = "/lohu930/";

    /** A turn that is kept, and not resumed. */
    static final String KEPT = "/pufi791/";

    static final String SAFE = "/pule252/";
    static final String UNSAFE = "/puxa403/";

    private Manifest() {}

    static String text(long version) {
        return "{\"version\":" + version + ",\"routes\":["
                + stream("r-kept", KEPT, true, false, 0) + "," + stream("r-quick", RESUMABLE, false, true, 1) + ","
                + plain("r-safe", SAFE, "safe", 1_200, 120, 2) + "," + plain("r-unsafe", UNSAFE, "unsafe", 3_000, 400, 1)
                + "],\"services\":[{\"name\":\"" + ENGINES
                + "\",\"healthPath\":\"/health\",\"maxConnections\":310,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
                + "\"slots\":48,\"kvCapacityTokens\":175763,\"kvTokenBytes\":163840,\"linkMbps\":1500000.0,"
                + "\"moves\":true,\"backups\":true,\"strideTokens\":3,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,"
                + "\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}},{\"name\":\"" + PLAIN
                + "\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000}}";
    }

    private static String stream(String name, String prefix, boolean retain, boolean resumable, int priority) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix
                + "\",\"kind\":\"streaming\",\"timeoutMs\":5000,\"targetLatencyMs\":200,\"priority\":" + priority
                + ",\"service\":\"" + ENGINES + "\",\"maxAttempts\":2,\"retain\":" + retain
                + ",\"retentionS\":60.0,\"stickySessions\":true,\"resumable\":" + resumable + ",\"gapAimMs\":400}";
    }

    private static String plain(String name, String prefix, String kind, int timeoutMs, int aimMs, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":" + aimMs + ",\"priority\":2,\"service\":\""
                + PLAIN + "\",\"maxAttempts\":" + attempts
                + ",\"retain\":false,\"retentionS\":0.0,\"stickySessions\":false,\"resumable\":false}";
    }
}
