package org.celerygw.core.config;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.gen.fleet.ConfigVersion;
import org.celerygw.core.helper.Check;

/**
 * One accepted version of the configuration.
 *
 * @param version the version number; versions begin at 1 and have no gaps
 * @param content the complete configuration
 * @param actor the name of the operator that proposed it
 * @param acceptedAtMs the time of the proposal by the clock of the accepting host, in milliseconds since 1970
 * @param reason the reason that the actor stated
 * @param writeId the unique id of the write that accepted it
 * @param restoredVersion the earlier version whose content this one restores, or 0
 */
public record AcceptedConfig(
        long version,
        Configuration content,
        String actor,
        long acceptedAtMs,
        String reason,
        String writeId,
        long restoredVersion) {
    /**
     * Checks the version number.
     *
     * @throws GatewayException with code INVALID_ARGUMENT when it is below 1
     */
    public AcceptedConfig {
        Check.that(version >= 1, "version must be at least 1");
    }

    /**
     * Encodes this version as its table row, which is also the form that peers exchange.
     *
     * @return the encoded row
     */
    public ByteString toBytes() {
        return ConfigVersion.newBuilder()
                .setVersion(version)
                .setContent(content)
                .setActor(actor)
                .setAcceptedAtMs(acceptedAtMs)
                .setReason(reason)
                .setWriteId(writeId)
                .setRestores(restoredVersion)
                .build()
                .toByteString();
    }

    /**
     * Decodes a table row.
     *
     * @param row the encoded row
     * @return the version in the row
     * @throws GatewayException with code DAMAGED when it cannot be read
     */
    public static AcceptedConfig parse(ByteString row) {
        try {
            ConfigVersion decoded = ConfigVersion.parseFrom(row);
            return new AcceptedConfig(
                    decoded.getVersion(),
                    decoded.getContent(),
                    decoded.getActor(),
                    decoded.getAcceptedAtMs(),
                    decoded.getReason(),
                    decoded.getWriteId(),
                    decoded.getRestores());
        } catch (InvalidProtocolBufferException e) {
            throw new GatewayException(
                    ErrorCode.DAMAGED, RunState.NOT_RUN, 0, "configuration row does not contain a valid version");
        }
    }
}
