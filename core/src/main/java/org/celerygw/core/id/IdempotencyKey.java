package org.celerygw.core.id;

import org.celerygw.core.helper.Check;

/**
 * A key set by the caller that all attempts of one call share.
 *
 * @param value the key: 1 to 200 characters that {@link Check#name} permits
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    /**
     * Checks the key.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT if it is not a plain name
     */
    public IdempotencyKey {
        Check.name(value, "IdempotencyKey");
    }

    @Override
    public int compareTo(IdempotencyKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
