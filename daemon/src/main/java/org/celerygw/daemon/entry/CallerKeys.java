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

/** Tells which customer a caller's key stands for. Only hashes of keys are kept. */
final class CallerKeys {
    private static final String SCHEME = "Bearer ";

    private final Map<String, CustomerId> byHash = new HashMap<>();

    CallerKeys(Configuration configuration) {
        configuration.getCustomersList().forEach(c -> c.getKeySha256HexList()
                .forEach(h -> byHash.put(h, new CustomerId(c.getId()))));
    }

    /**
     * Returns the customer.
     *
     * @throws GatewayException with code UNAUTHENTICATED when there is no key or it is not known
     */
    CustomerId customer(@Nullable String authorization) {
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            throw new GatewayException(
                    ErrorCode.UNAUTHENTICATED, "Send the caller key as 'Authorization: Bearer KEY'.");
        }
        String hash = Hashing.sha256()
                .hashString(authorization.substring(SCHEME.length()), StandardCharsets.UTF_8)
                .toString();
        CustomerId customer = byHash.get(hash);
        if (customer == null) {
            throw new GatewayException(ErrorCode.UNAUTHENTICATED, "The caller key is not known.");
        }
        return customer;
    }
}
