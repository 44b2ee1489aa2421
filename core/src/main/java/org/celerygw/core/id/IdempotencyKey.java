package org.celerygw.core.id;

import org.celerygw.core.helper.Check;

/**
 * Names a caller's key that marks retries of one call.
 *
 * @param value the name, 1 to 200 plain characters
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    /**
     * Checks the name.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when it is not a plain name
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
