package org.celerygw.gateway.forward;

import java.util.Optional;

/**
 * What a client presents to prove for which customer it acts. The text form hides the key, so that no log has it.
 *
 * @param key the only key that the request carries; empty if it carries none, several, or one in a form that cannot be
 *     read
 */
public record Credentials(Optional<String> key) {
    /** No key. */
    public static final Credentials NONE = new Credentials(Optional.empty());

    @Override
    public String toString() {
        return key.isPresent() ? "Credentials[hidden]" : "Credentials[none]";
    }
}
