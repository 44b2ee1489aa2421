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

/** Signs packets and opens those that an accepted key signed. */
final class Seal {
    static final int TAG_BYTES = 16;
    /** What the envelope adds to a packet, with length fields. */
    static final int OVERHEAD_BYTES = TAG_BYTES + 2 + 6 + 3;

    private static final String ALGORITHM = "HmacSHA256";

    private final Map<Integer, Mac> macs = new HashMap<>();
    private int signingId;

    Seal(MembershipKeys keys) {
        use(keys);
    }

    void use(MembershipKeys keys) {
        macs.clear();
        keys.accepted().forEach((id, key) -> macs.put(id, mac(key)));
        signingId = keys.signingId();
    }

    ByteString close(Packet packet) {
        ByteString content = packet.toByteString();
        return Sealed.newBuilder()
                .setKeyId(signingId)
                .setPacket(content)
                .setTag(tag(macs.get(signingId), content))
                .build()
                .toByteString();
    }

    /** Opens a datagram, or fails with the reason to drop it. */
    Packet open(byte[] datagram) throws Dropped {
        try {
            Sealed sealed = Sealed.parseFrom(datagram);
            Mac mac = macs.get(sealed.getKeyId());
            if (mac == null) {
                throw new Dropped(DropReason.UNKNOWN_KEY);
            }
            byte[] expected = tag(mac, sealed.getPacket()).toByteArray();
            if (!MessageDigest.isEqual(expected, sealed.getTag().toByteArray())) {
                throw new Dropped(DropReason.BAD_TAG);
            }
            return Packet.parseFrom(sealed.getPacket());
        } catch (InvalidProtocolBufferException e) {
            throw new Dropped(DropReason.MALFORMED);
        }
    }

    private static ByteString tag(Mac mac, ByteString content) {
        mac.update(content.asReadOnlyByteBuffer());
        return ByteString.copyFrom(mac.doFinal(), 0, TAG_BYTES);
    }

    private static Mac mac(ByteString key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key.toByteArray(), ALGORITHM));
            return mac;
        } catch (GeneralSecurityException e) {
            throw new GatewayException(ErrorCode.INTERNAL, "HMAC-SHA256 is missing in this Java runtime");
        }
    }

    /** A datagram that is not taken. */
    static final class Dropped extends Exception {
        private static final long serialVersionUID = 1L;

        private final DropReason reason;

        Dropped(DropReason reason) {
            super(reason.name(), null, false, false);
            this.reason = reason;
        }

        DropReason reason() {
            return reason;
        }
    }
}
