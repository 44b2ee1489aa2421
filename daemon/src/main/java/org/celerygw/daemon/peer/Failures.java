package org.celerygw.daemon.peer;

import java.util.Arrays;
import org.celerygw.api.gen.peer.End;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;

/** Converts failures to and from frames. */
final class Failures {
    private Failures() {}

    static End encode(GatewayException failure) {
        return End.newBuilder()
                .setErrorCode(failure.code().name())
                .setRunState(failure.runState().name())
                .setRetryAfterMs(failure.retryAfterMs())
                .setMessage(String.valueOf(failure.getMessage()))
                .build();
    }

    /** Reads a failure; what a later release calls differently becomes INTERNAL and UNKNOWN. */
    static GatewayException decode(End end) {
        ErrorCode code = Arrays.stream(ErrorCode.values())
                .filter(c -> c.name().equals(end.getErrorCode()))
                .findFirst()
                .orElse(ErrorCode.INTERNAL);
        RunState runState = Arrays.stream(RunState.values())
                .filter(s -> s.name().equals(end.getRunState()))
                .findFirst()
                .orElse(RunState.UNKNOWN);
        return new GatewayException(code, runState, end.getRetryAfterMs(), end.getMessage());
    }
}
