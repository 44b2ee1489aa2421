package org.celerygw.core.membership;

import com.google.protobuf.ByteString;
import java.util.Map;
import org.celerygw.core.helper.Check;

/**
 * The keys shared by the daemons of a fleet. To rotate, first accept the new key everywhere, then sign with it
 * everywhere, then stop accepting the old one.
 *
 * @param signingId the id of the key that signs
 * @param accepted every accepted key by its id, the signing one included
 */
public record MembershipKeys(int signingId, Map<Integer, ByteString> accepted) {
    private static final int MIN_KEY_BYTES = 16;

    /**
     * Checks and copies the keys.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when the signing key is missing or
     *     a key is shorter than 16 bytes
     */
    public MembershipKeys {
        accepted = Map.copyOf(accepted);
        Check.that(accepted.containsKey(signingId), "the signing key must be among the accepted keys");
        Check.that(
                accepted.values().stream().allMatch(k -> k.size() >= MIN_KEY_BYTES),
                "a key must have at least 16 bytes");
    }

    /**
     * Returns keys with a single one.
     *
     * @param key at least 16 bytes
     * @return the keys, with id 1
     */
    public static MembershipKeys single(ByteString key) {
        return new MembershipKeys(1, Map.of(1, key));
    }

    @Override
    public String toString() {
        return "MembershipKeys[signingId=" + signingId + ", accepted=" + accepted.keySet() + "]";
    }
}
