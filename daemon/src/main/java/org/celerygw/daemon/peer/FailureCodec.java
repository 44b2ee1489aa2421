package org.celerygw.daemon.peer;

import java.util.Arrays;
import org.celerygw.api.gen.peer.End;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;

/** Encodes failures as End frames and decodes them. */
final class FailureCodec {
    private FailureCodec() {}

    static End encode(GatewayException failure) {
        return End.newBuilder()
                .setErrorCode(failure.code().name())
                .setRunState(failure.runState().name())
                .setRetryAfterMs(failure.retryAfterMs())
                .setMessage(String.valueOf(failure.getMessage()))
                .build();
    }

    /**
     * Decodes a failure. An error code that this release does not know becomes INTERNAL, an unknown run state UNKNOWN,
     * so that frames of later releases can be read.
     */
    static GatewayException decode(End end) {
        ErrorCode code = Arrays.stream(ErrorCode.values())
                .filter(value -> value.name().equals(end.getErrorCode()))
                .findFirst()
                .orElse(ErrorCode.INTERNAL);
        RunState runState = Arrays.stream(RunState.values())
                .filter(value -> value.name().equals(end.getRunState()))
                .findFirst()
                .orElse(RunState.UNKNOWN);
        return new GatewayException(code, runState, end.getRetryAfterMs(), end.getMessage());
    }
}
