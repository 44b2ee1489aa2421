package org.celerygw.core.servers;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * Weighted rendezvous hashing: for each key, the servers have an order that is the same on all hosts, and each server is
 * first for a part of the keys in proportion to its weight. A server that joins or leaves moves only its own keys.
 */
final class Rendezvous {
    private static final double TWO_POW_64 = 0x1p64;

    private record Scored(TrackedServer server, double score) {}

    private Rendezvous() {}

    /** Returns the hash of a server and a key. */
    static long hash(TrackedServer server, String key) {
        return hash(server.idBytes(), key.getBytes(UTF_8));
    }

    private static long hash(byte[] name, byte[] key) {
        byte[] bytes = Arrays.copyOf(name, name.length + 1 + key.length);
        System.arraycopy(key, 0, bytes, name.length + 1, key.length);
        return Hashing.murmur3_128().hashBytes(bytes).asLong();
    }

    /** Returns the score of a name for a key; with equal weights, in the order of the hashes. */
    static double score(String name, String key, double weight) {
        return score(name.getBytes(UTF_8), key.getBytes(UTF_8), weight);
    }

    private static double score(byte[] name, byte[] key, double weight) {
        double uniform = (hash(name, key) + TWO_POW_64 / 2 + 0.5) / TWO_POW_64;
        return -weight / Math.log(Math.min(uniform, Math.nextDown(1.0)));
    }

    /** Returns the first server of a key's order. */
    static Optional<TrackedServer> first(
            List<TrackedServer> servers, String key, ToDoubleFunction<TrackedServer> weight) {
        byte[] keyBytes = key.getBytes(UTF_8);
        TrackedServer first = null;
        double highest = Double.NEGATIVE_INFINITY;
        for (TrackedServer server : servers) {
            double score = score(server.idBytes(), keyBytes, weight.applyAsDouble(server));
            if (first == null || score > highest) {
                first = server;
                highest = score;
            }
        }
        return Optional.ofNullable(first);
    }

    /** Returns the servers in a key's order, which ends after the given number. */
    static List<TrackedServer> order(
            List<TrackedServer> servers, String key, ToDoubleFunction<TrackedServer> weight, int count) {
        byte[] keyBytes = key.getBytes(UTF_8);
        List<Scored> scored = new ArrayList<>(servers.size());
        servers.forEach(server ->
                scored.add(new Scored(server, score(server.idBytes(), keyBytes, weight.applyAsDouble(server)))));
        return scored.stream()
                .sorted(Comparator.comparingDouble(Scored::score).reversed())
                .limit(count)
                .map(Scored::server)
                .toList();
    }
}
