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
 * @param version from 1, without gaps
 * @param content the whole configuration
 * @param actor who proposed it
 * @param acceptedAtMs when it was accepted, by the clock of the accepting host
 * @param reason why, in the actor's words
 * @param writeId the unique id of the write that accepted it
 * @param restores the version whose content it takes up again, or 0
 */
public record AcceptedConfig(
        long version,
        Configuration content,
        String actor,
        long acceptedAtMs,
        String reason,
        String writeId,
        long restores) {
    /**
     * Checks the version.
     *
     * @throws GatewayException with code INVALID_ARGUMENT when it is below 1
     */
    public AcceptedConfig {
        Check.that(version >= 1, "version must be at least 1");
    }

    /**
     * Returns the content of its row, which peers hand to each other too.
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
                .setRestores(restores)
                .build()
                .toByteString();
    }

    /**
     * Reads a row.
     *
     * @param row the encoded row
     * @return the version that it holds
     * @throws GatewayException with code DAMAGED when it cannot be read
     */
    public static AcceptedConfig parse(ByteString row) {
        try {
            ConfigVersion v = ConfigVersion.parseFrom(row);
            return new AcceptedConfig(
                    v.getVersion(),
                    v.getContent(),
                    v.getActor(),
                    v.getAcceptedAtMs(),
                    v.getReason(),
                    v.getWriteId(),
                    v.getRestores());
        } catch (InvalidProtocolBufferException e) {
            throw new GatewayException(ErrorCode.DAMAGED, RunState.NOT_RUN, 0, "a configuration row is unreadable");
        }
    }
}
