package org.celerygw.core.id;

import org.celerygw.core.helper.Check;

/**
 * Names a model, with its adapter and version where there are any.
 *
 * @param value the name, 1 to 200 plain characters
 */
public record ModelName(String value) implements Comparable<ModelName> {
    /**
     * Checks the name.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when it is not a plain name
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
