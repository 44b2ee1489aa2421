package org.celerygw.core.quarantine;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Identifies a request by what it asks for, whoever sends it and how often: the same request has the same fingerprint at
 * every host. A request is also identified by its path alone, since one object may make each request on it crash.
 *
 * @param path hash of host, method and path
 * @param content hash of host, method, path with query, and body
 */
public record Fingerprint(long path, long content) {
    /**
     * Computes the fingerprint of a request.
     *
     * @param host the requested host
     * @param method the method
     * @param path the path without the query
     * @param uri the path with the query
     * @param body the body as the client sent it
     * @return the fingerprint
     */
    public static Fingerprint of(String host, String method, String path, String uri, byte[] body) {
        return new Fingerprint(
                hasher(host, method, path).hash().asLong(),
                hasher(host, method, uri).putBytes(body).hash().asLong());
    }

    private static Hasher hasher(String host, String method, String target) {
        return Hashing.murmur3_128()
                .newHasher()
                .putUnencodedChars(host)
                .putChar('\n')
                .putUnencodedChars(method)
                .putChar('\n')
                .putString(target, StandardCharsets.UTF_8)
                .putChar('\n');
    }
}
