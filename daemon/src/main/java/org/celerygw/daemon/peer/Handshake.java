package org.celerygw.daemon.peer;

import com.google.protobuf.ByteString;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.celerygw.api.gen.peer.Hello;
import org.celerygw.api.gen.peer.Proof;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.id.HostId;
import org.celerygw.core.membership.MembershipKeys;

/**
 * Identifies this daemon to a peer and authenticates both with a shared key. Each proof covers the Hello messages of
 * both sides with their random nonces, so it cannot be replayed on another connection.
 */
final class Handshake {
    static final int PROTOCOL_VERSION = 1;

    private static final int NONCE_BYTES = 16;
    private static final String MAC_ALGORITHM = "HmacSHA256";
    private static final SecureRandom RANDOM = new SecureRandom();

    private final MembershipKeys keys;
    private final boolean client;
    private final Hello localHello;
    private Hello peerHello = Hello.getDefaultInstance();

    Handshake(MembershipKeys keys, boolean client, HostId self, String release) {
        this.keys = keys;
        this.client = client;
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        this.localHello = Hello.newBuilder()
                .setProtocol(PROTOCOL_VERSION)
                .setHost(self.value())
                .setRelease(release)
                .setNonce(ByteString.copyFrom(nonce))
                .build();
    }

    Hello localHello() {
        return localHello;
    }

    /** Stores the peer's Hello and returns the local proof. */
    Proof receiveHello(Hello hello) {
        peerHello = hello;
        int keyId = keys.signingId();
        return Proof.newBuilder()
                .setKeyId(keyId)
                .setTag(computeTag(keyId, client))
                .build();
    }

    /** Returns whether the proof was made with an accepted key for the Hello messages of this connection. */
    boolean verify(Proof proof) {
        if (!keys.accepted().containsKey(proof.getKeyId())
                || peerHello.getNonce().size() < NONCE_BYTES) {
            return false;
        }
        byte[] expected = computeTag(proof.getKeyId(), !client).toByteArray();
        return MessageDigest.isEqual(expected, proof.getTag().toByteArray());
    }

    /**
     * Returns the host id in the peer's Hello.
     *
     * @throws GatewayException if it is not a valid host id
     */
    HostId peer() {
        return new HostId(peerHello.getHost());
    }

    private ByteString computeTag(int keyId, boolean clientProof) {
        try {
            Mac mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(new SecretKeySpec(keys.accepted().get(keyId).toByteArray(), MAC_ALGORITHM));
            mac.update((byte) (clientProof ? 1 : 2));
            updateMac(mac, client ? localHello : peerHello);
            updateMac(mac, client ? peerHello : localHello);
            return ByteString.copyFrom(mac.doFinal());
        } catch (GeneralSecurityException e) {
            throw new GatewayException(
                    ErrorCode.INTERNAL,
                    "cannot compute HMAC-SHA256 for peer authentication; is it missing in this Java runtime?");
        }
    }

    private static void updateMac(Mac mac, Hello hello) {
        // Covers host, release and nonce, each preceded by its length, instead of the serialized Hello:
        // a Hello of a later release may serialize differently here.
        updateMac(mac, ByteString.copyFromUtf8(hello.getHost()));
        updateMac(mac, ByteString.copyFromUtf8(hello.getRelease()));
        updateMac(mac, hello.getNonce());
    }

    private static void updateMac(Mac mac, ByteString field) {
        mac.update((byte) (field.size() >>> 8));
        mac.update((byte) field.size());
        mac.update(field.asReadOnlyByteBuffer());
    }
}
