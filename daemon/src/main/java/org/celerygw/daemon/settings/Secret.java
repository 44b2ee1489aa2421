package org.celerygw.daemon.settings;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** A shared key whose {@link #toString} hides it, so that it does not appear in logs or error messages. */
public final class Secret {
    private final String text;

    /**
     * Creates a secret.
     *
     * @param text the key as written in the settings or the key file
     */
    public Secret(String text) {
        this.text = text;
    }

    /**
     * Returns the SHA-256 digest of the key, used as the key of ciphers and message authentication.
     *
     * @return a new array of 32 bytes
     */
    public byte[] sha256() {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).asBytes();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Secret that && text.equals(that.text);
    }

    @Override
    public int hashCode() {
        return text.hashCode();
    }

    @Override
    public String toString() {
        return "(secret)";
    }
}
