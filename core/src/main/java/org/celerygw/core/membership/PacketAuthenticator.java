package org.celerygw.core.membership;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HashMap;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.fleet.Packet;
import org.celerygw.core.gen.fleet.Sealed;

/** Signs outgoing packets, and verifies the authentication tag of received datagrams. */
final class PacketAuthenticator {
    static final int TAG_BYTES = 16;
    /** Size that the {@link Sealed} envelope adds to a packet, including field tags and lengths. */
    static final int OVERHEAD_BYTES = TAG_BYTES + 2 + 6 + 3;

    private static final String MAC_ALGORITHM = "HmacSHA256";

    private final Map<Integer, Mac> macsByKeyId = new HashMap<>();
    private int signingId;

    PacketAuthenticator(MembershipKeys keys) {
        setKeys(keys);
    }

    void setKeys(MembershipKeys keys) {
        macsByKeyId.clear();
        keys.accepted().forEach((id, key) -> macsByKeyId.put(id, createMac(key)));
        signingId = keys.signingId();
    }

    ByteString sign(Packet packet) {
        ByteString content = packet.toByteString();
        return Sealed.newBuilder()
                .setKeyId(signingId)
                .setPacket(content)
                .setTag(computeTag(macsByKeyId.get(signingId), content))
                .build()
                .toByteString();
    }

    /** Verifies and decodes a datagram, or throws the reason for dropping it. */
    Packet verify(byte[] datagram) throws DropException {
        try {
            Sealed sealed = Sealed.parseFrom(datagram);
            Mac mac = macsByKeyId.get(sealed.getKeyId());
            if (mac == null) {
                throw new DropException(DropReason.UNKNOWN_KEY);
            }
            byte[] expected = computeTag(mac, sealed.getPacket()).toByteArray();
            if (!MessageDigest.isEqual(expected, sealed.getTag().toByteArray())) {
                throw new DropException(DropReason.BAD_TAG);
            }
            return Packet.parseFrom(sealed.getPacket());
        } catch (InvalidProtocolBufferException e) {
            throw new DropException(DropReason.MALFORMED);
        }
    }

    private static ByteString computeTag(Mac mac, ByteString content) {
        mac.update(content.asReadOnlyByteBuffer());
        return ByteString.copyFrom(mac.doFinal(), 0, TAG_BYTES);
    }

    private static Mac createMac(ByteString key) {
        try {
            Mac mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(new SecretKeySpec(key.toByteArray(), MAC_ALGORITHM));
            return mac;
        } catch (GeneralSecurityException e) {
            throw new GatewayException(ErrorCode.INTERNAL, "HMAC-SHA256 is not available in this Java runtime");
        }
    }

    /** Thrown when a received datagram is to be dropped. Has no stack trace. */
    static final class DropException extends Exception {
        private static final long serialVersionUID = 1L;

        private final DropReason reason;

        DropException(DropReason reason) {
            super(reason.name(), null, false, false);
            this.reason = reason;
        }

        DropReason reason() {
            return reason;
        }
    }
}
