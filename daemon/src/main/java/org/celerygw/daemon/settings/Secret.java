package org.celerygw.daemon.settings;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** A key that never shows itself in logs or messages. */
public final class Secret {
    private final String text;

    /**
     * Wraps a key.
     *
     * @param text the key
     */
    public Secret(String text) {
        this.text = text;
    }

    /**
     * Returns 256 bits that stand for the key, for ciphers and message authentication.
     *
     * @return a new array of 32 bytes
     */
    public byte[] bytes() {
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
