package org.celerygw.daemon.settings;

import com.google.common.net.InetAddresses;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.helper.Check;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.owner.OwnerSettings;

/** Validates the entries of a settings file and builds {@link Settings} from them. */
final class SettingsParser {
    private static final int MIN_KEY_CHARACTERS = 16;
    private static final long MAX_DURATION_MS = 30L * 86_400_000;

    private final SettingsReader reader;

    SettingsParser(List<IniFile.Entry> entries) {
        this.reader = new SettingsReader(entries);
    }

    Settings parse() {
        Settings.Listen listen = listen();
        Settings settings = new Settings(
                host(),
                listen,
                advertise(listen),
                store(),
                journal(),
                gossip(),
                peer(),
                operators(),
                tls(),
                stop(),
                backends(),
                reader.valueOrDefault("log", "level", "info", oneOf(Settings.LogLevel.class)));
        reader.throwIfInvalid();
        return settings;
    }

    private Settings.Host host() {
        return new Settings.Host(
                reader.required("host", "name", text -> Check.name(text, "name"), ""),
                reader.required("host", "zone", AvailabilityZone::new, new AvailabilityZone("none")),
                reader.valueOrDefault("host", "release", "dev", text -> Check.name(text, "release")));
    }

    private Settings.Listen listen() {
        return new Settings.Listen(
                reader.valueOrDefault("listen", "address", "0.0.0.0", SettingsParser::ipAddress),
                port("http-port", "8080"),
                port("operator-port", "8081"),
                port("peer-port", "8082"),
                port("gossip-port", "8083"),
                reader.integer("listen", "max-connections", "10000", 1, 1_000_000),
                reader.sizeBytes("listen", "max-body", "4MiB", 1_024, 256 << 20),
                reader.sizeBytes("listen", "max-header", "16KiB", 1_024, 1 << 20));
    }

    private int port(String key, String fallback) {
        return reader.integer("listen", key, fallback, 0, 65_535);
    }

    private String advertise(Settings.Listen listen) {
        Optional<String> address = reader.optional("advertise", "address", SettingsParser::ipAddress, "");
        if (address.isEmpty() && InetAddresses.forString(listen.address()).isAnyLocalAddress()) {
            reader.addProblem("advertise", "address", "is missing; peers cannot reach the host at " + listen.address());
        }
        return address.orElse(listen.address());
    }

    private Settings.Store store() {
        return new Settings.Store(
                reader.required("store", "uri", SettingsParser::httpUri, URI.create("http://localhost")),
                reader.durationMs("store", "timeout", "2s", 10, 60_000));
    }

    private OwnerSettings journal() {
        String section = "journal";
        OwnerSettings settings = new OwnerSettings(
                reader.durationMs(section, "commit-interval", "20ms", 1, 10_000),
                reader.integer(section, "batch-records", "512", 1, 100_000),
                reader.durationMs(section, "lease", "6s", 100, 600_000),
                reader.durationMs(section, "heartbeat", "1500ms", 20, 60_000),
                reader.durationMs(section, "retention", "24h", 1_000, MAX_DURATION_MS),
                reader.integer(section, "grant-tokens", "200000", 1, Integer.MAX_VALUE),
                reader.sizeBytes(section, "inline-bytes", "64KiB", 0, 1 << 20),
                reader.integer(section, "snapshot-records", "5000", 1, 10_000_000),
                reader.integer(section, "max-open-calls", "10000", 1, 10_000_000));
        if (settings.leaseMs() < 3 * settings.heartbeatMs()) {
            reader.addProblem(section, "lease", "must be at least three times the heartbeat");
        }
        return settings;
    }

    private Settings.Gossip gossip() {
        List<Settings.GossipKey> keys = reader.required("gossip", "keys", listOf(SettingsParser::gossipKey), List.of());
        int signingKeyId = reader.integer("gossip", "send-key", "1", 0, 255);
        if (!keys.isEmpty() && keys.stream().noneMatch(key -> key.id() == signingKeyId)) {
            reader.addProblem("gossip", "send-key", "must be the id of one of the keys");
        }
        if (keys.stream().map(Settings.GossipKey::id).distinct().count() < keys.size()) {
            reader.addProblem("gossip", "keys", "must not use a key id twice");
        }
        List<Settings.Seed> seeds = reader.optional(
                        "gossip", "seeds", listOf(SettingsParser::seed), List.<Settings.Seed>of())
                .orElse(List.of());
        return new Settings.Gossip(
                seeds,
                keys,
                signingKeyId,
                reader.durationMs("gossip", "probe-interval", "500ms", 10, 60_000),
                reader.durationMs("gossip", "suspicion", "2s", 10, 600_000));
    }

    private Settings.Peer peer() {
        Settings.Peer peer = new Settings.Peer(
                reader.required("peer", "key", SettingsParser::secret, new Secret("")),
                reader.durationMs("peer", "heartbeat", "1s", 10, 60_000),
                reader.durationMs("peer", "silence", "3s", 20, 600_000));
        if (peer.silenceTimeoutMs() < 2 * peer.heartbeatMs()) {
            reader.addProblem("peer", "silence", "must be at least twice the heartbeat");
        }
        return peer;
    }

    private List<Settings.Operator> operators() {
        return reader.sectionEntries("operators").stream()
                .map(entry -> reader.required(
                        "operators",
                        entry.key(),
                        value -> operator(entry.key(), value),
                        new Settings.Operator(entry.key(), Settings.Role.MONITOR, "")))
                .toList();
    }

    private Optional<Settings.Tls> tls() {
        Optional<Path> certificate = tlsFile("certificate");
        Optional<Path> privateKey = tlsFile("private-key");
        if (certificate.isPresent() != privateKey.isPresent()) {
            String missing = certificate.isPresent() ? "private-key" : "certificate";
            reader.addProblem("tls", missing, "is missing; certificate and private-key must be set together");
        }
        return certificate.flatMap(c -> privateKey.map(k -> new Settings.Tls(c, k)));
    }

    private Optional<Path> tlsFile(String key) {
        return reader.optional("tls", key, SettingsParser::readableFile, Path.of(""));
    }

    private Settings.Stop stop() {
        return new Settings.Stop(
                reader.durationMs("stop", "balancer-grace", "5s", 0, 600_000),
                reader.durationMs("stop", "limit", "10m", 1_000, 24 * 3_600_000));
    }

    private Settings.Backends backends() {
        return new Settings.Backends(
                reader.durationMs("backends", "silence", "5s", 50, 600_000),
                reader.durationMs("backends", "load-poll", "500ms", 10, 60_000),
                reader.durationMs("backends", "cache-poll", "1s", 10, 60_000));
    }

    private static Settings.Operator operator(String name, String value) {
        Check.name(name, "the operator's name");
        String[] parts = value.split(":", 2);
        Check.that(
                parts.length == 2 && parts[1].matches("[0-9a-fA-F]{64}"),
                "must be ROLE:SHA-256, with the role operator or monitor and 64 hexadecimal digits");
        return new Settings.Operator(
                name, oneOf(Settings.Role.class).apply(parts[0].strip()), parts[1].toLowerCase(Locale.ROOT));
    }

    private static Settings.GossipKey gossipKey(String text) {
        String[] parts = text.split(":", 2);
        Check.that(
                parts.length == 2 && parts[0].matches("\\d{1,3}") && Integer.parseInt(parts[0]) <= 255,
                "must be a list of ID:KEY, with ids from 0 to 255");
        return new Settings.GossipKey(Integer.parseInt(parts[0]), secret(parts[1]));
    }

    private static Settings.Seed seed(String text) {
        int colon = text.lastIndexOf(':');
        Check.that(colon > 0 && text.substring(colon + 1).matches("\\d{1,5}"), "must be a list of IP:PORT");
        int port = Integer.parseInt(text.substring(colon + 1));
        Check.that(port > 0 && port <= 65_535, "has a port outside 1 to 65535");
        return new Settings.Seed(ipAddress(text.substring(0, colon)), port);
    }

    /** Parses a key or file:PATH. The error messages never contain the value, which may be the key itself. */
    private static Secret secret(String text) {
        String key = text.startsWith("file:") ? readKey(Path.of(text.substring("file:".length()))) : text;
        Check.that(
                key.length() >= MIN_KEY_CHARACTERS,
                "must have a key of at least " + MIN_KEY_CHARACTERS + " characters");
        return new Secret(key);
    }

    private static String readKey(Path file) {
        try {
            return Files.readString(file).strip();
        } catch (IOException e) {
            throw new GatewayException(ErrorCode.INVALID_ARGUMENT, "refers to a key file that cannot be read: " + file);
        }
    }

    private static Path readableFile(String text) {
        Path path = Path.of(text);
        Check.that(Files.isReadable(path), "refers to a file that cannot be read: " + path);
        return path;
    }

    private static String ipAddress(String text) {
        Check.that(InetAddresses.isInetAddress(text), "must be an IP address");
        return text;
    }

    private static URI httpUri(String text) {
        try {
            URI uri = URI.create(text);
            boolean http = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
            Check.that(http && uri.getHost() != null, "must be an http or https URI with a host");
            return uri;
        } catch (IllegalArgumentException e) {
            throw new GatewayException(ErrorCode.INVALID_ARGUMENT, "must be an http or https URI with a host");
        }
    }

    private static <T> Function<String, List<T>> listOf(Function<String, T> parser) {
        return text -> Arrays.stream(text.split(","))
                .map(String::strip)
                .filter(part -> !part.isEmpty())
                .map(parser)
                .toList();
    }

    private static <E extends Enum<E>> Function<String, E> oneOf(Class<E> type) {
        E[] values = type.getEnumConstants();
        return text -> Arrays.stream(values)
                .filter(value -> value.name().toLowerCase(Locale.ROOT).equals(text))
                .findFirst()
                .orElseThrow(() -> new GatewayException(
                        ErrorCode.INVALID_ARGUMENT,
                        "must be one of " + Arrays.toString(values).toLowerCase(Locale.ROOT)));
    }
}
