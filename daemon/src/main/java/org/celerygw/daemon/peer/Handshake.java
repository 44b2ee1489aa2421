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

/** Says who one is and proves a shared key; the proof covers both greetings, so that it cannot be used again. */
final class Handshake {
    static final int PROTOCOL = 1;

    private static final int NONCE_BYTES = 16;
    private static final String ALGORITHM = "HmacSHA256";
    private static final SecureRandom NONCES = new SecureRandom();

    private final MembershipKeys keys;
    private final boolean client;
    private final Hello ours;
    private Hello theirs = Hello.getDefaultInstance();

    Handshake(MembershipKeys keys, boolean client, HostId self, String release) {
        this.keys = keys;
        this.client = client;
        byte[] nonce = new byte[NONCE_BYTES];
        NONCES.nextBytes(nonce);
        this.ours = Hello.newBuilder()
                .setProtocol(PROTOCOL)
                .setHost(self.value())
                .setRelease(release)
                .setNonce(ByteString.copyFrom(nonce))
                .build();
    }

    Hello hello() {
        return ours;
    }

    /** Takes the other side's greeting and returns our proof. */
    Proof greeted(Hello hello) {
        theirs = hello;
        int id = keys.signingId();
        return Proof.newBuilder().setKeyId(id).setTag(tag(id, client)).build();
    }

    boolean verify(Proof proof) {
        if (!keys.accepted().containsKey(proof.getKeyId()) || theirs.getNonce().size() < NONCE_BYTES) {
            return false;
        }
        byte[] expected = tag(proof.getKeyId(), !client).toByteArray();
        return MessageDigest.isEqual(expected, proof.getTag().toByteArray());
    }

    HostId peer() {
        return new HostId(theirs.getHost());
    }

    private ByteString tag(int keyId, boolean ofClient) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(keys.accepted().get(keyId).toByteArray(), ALGORITHM));
            mac.update((byte) (ofClient ? 1 : 2));
            add(mac, client ? ours : theirs);
            add(mac, client ? theirs : ours);
            return ByteString.copyFrom(mac.doFinal());
        } catch (GeneralSecurityException e) {
            throw new GatewayException(ErrorCode.INTERNAL, "HMAC-SHA256 is missing in this Java runtime");
        }
    }

    private static void add(Mac mac, Hello hello) {
        // Fields one by one with their lengths: a later release's Hello may serialize differently here.
        add(mac, ByteString.copyFromUtf8(hello.getHost()));
        add(mac, ByteString.copyFromUtf8(hello.getRelease()));
        add(mac, hello.getNonce());
    }

    private static void add(Mac mac, ByteString field) {
        mac.update((byte) (field.size() >>> 8));
        mac.update((byte) field.size());
        mac.update(field.asReadOnlyByteBuffer());
    }
}
