package org.celerygw.daemon.entry;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.id.CustomerId;
import org.jspecify.annotations.Nullable;

/** Maps caller keys to customers. Holds only the SHA-256 hashes of keys, never the keys. */
final class CallerKeys {
    private static final String BEARER_PREFIX = "Bearer ";

    private final Map<String, CustomerId> customersByKeyHash = new HashMap<>();

    CallerKeys(Configuration configuration) {
        configuration.getCustomersList().forEach(c -> c.getKeySha256HexList()
                .forEach(hash -> customersByKeyHash.put(hash, new CustomerId(c.getId()))));
    }

    /**
     * Returns the customer whose key the Authorization header contains.
     *
     * @throws GatewayException with code UNAUTHENTICATED when the header has no bearer key or the key is unknown
     */
    CustomerId authenticate(@Nullable String authorization) {
        if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
            throw new GatewayException(
                    ErrorCode.UNAUTHENTICATED, "No caller key found; send it as 'Authorization: Bearer KEY'.");
        }
        String hash = Hashing.sha256()
                .hashString(authorization.substring(BEARER_PREFIX.length()), StandardCharsets.UTF_8)
                .toString();
        CustomerId customer = customersByKeyHash.get(hash);
        if (customer == null) {
            throw new GatewayException(
                    ErrorCode.UNAUTHENTICATED,
                    "The caller key is unknown: no customer of the active configuration has it.");
        }
        return customer;
    }
}
