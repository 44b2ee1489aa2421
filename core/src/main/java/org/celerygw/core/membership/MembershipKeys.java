package org.celerygw.core.membership;

import com.google.protobuf.ByteString;
import java.util.Map;
import org.celerygw.core.helper.Check;

/**
 * The pre-shared keys with which the daemons of a fleet authenticate their datagrams. To rotate a key without losing
 * datagrams, first accept the new key on all daemons, then sign with it on all, then stop accepting the old key.
 *
 * @param signingId the id of the key that signs outgoing datagrams
 * @param accepted the keys accepted in received datagrams by key id, including the signing key
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
     * Returns a key set that signs with and accepts a single key.
     *
     * @param key at least 16 bytes
     * @return a key set in which the key has id 1
     */
    public static MembershipKeys single(ByteString key) {
        return new MembershipKeys(1, Map.of(1, key));
    }

    @Override
    public String toString() {
        return "MembershipKeys[signingId=" + signingId + ", accepted=" + accepted.keySet() + "]";
    }
}
