package org.celerygw.daemon.operator;

/**
 * The operator who requests a change, as named in the audit log.
 *
 * @param name the name of the operator in the settings
 */
public record Actor(String name) {
    @Override
    public String toString() {
        return name;
    }
}
