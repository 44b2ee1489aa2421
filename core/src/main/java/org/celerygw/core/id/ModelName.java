package org.celerygw.core.id;

import org.celerygw.core.helper.Check;

/**
 * The name of a model, including its adapter and version if it has them.
 *
 * @param value the name: 1 to 200 characters that {@link Check#name} permits
 */
public record ModelName(String value) implements Comparable<ModelName> {
    /**
     * Checks the name.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT if it is not a plain name
     */
    public ModelName {
        Check.name(value, "ModelName");
    }

    @Override
    public int compareTo(ModelName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
