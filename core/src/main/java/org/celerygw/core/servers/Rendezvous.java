package org.celerygw.core.servers;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
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
        return Hashing.murmur3_128()
                .newHasher()
                .putString(server.entry().id(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(key, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    /** Returns a server's score for a key; with equal weights, in the order of the hashes. */
    static double score(TrackedServer server, String key, double weight) {
        double uniform = (hash(server, key) + TWO_POW_64 / 2 + 0.5) / TWO_POW_64;
        return -weight / Math.log(Math.min(uniform, Math.nextDown(1.0)));
    }

    /** Returns the first server of a key's order. */
    static Optional<TrackedServer> first(
            List<TrackedServer> servers, String key, ToDoubleFunction<TrackedServer> weight) {
        TrackedServer first = null;
        double highest = Double.NEGATIVE_INFINITY;
        for (TrackedServer server : servers) {
            double score = score(server, key, weight.applyAsDouble(server));
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
        List<Scored> scored = new ArrayList<>(servers.size());
        servers.forEach(server -> scored.add(new Scored(server, score(server, key, weight.applyAsDouble(server)))));
        return scored.stream()
                .sorted(Comparator.comparingDouble(Scored::score).reversed())
                .limit(count)
                .map(Scored::server)
                .toList();
    }
}
