package org.celerygw.daemon.operator;

/**
 * Who asks for a change, as the record of actions names it.
 *
 * @param name the operator's name in the settings
 */
public record Actor(String name) {
    @Override
    public String toString() {
        return name;
    }
}
