package org.celerygw.daemon.operator;

import io.vertx.grpc.common.GrpcStatus;
import io.vertx.grpc.server.GrpcServerResponse;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;

/** Maps failures to a gRPC status and to trailers with the error code, the run state and the retry delay. */
final class GrpcErrors {
    private static final String CODE_TRAILER = "celerygw-code";
    private static final String RUN_STATE_TRAILER = "celerygw-run-state";
    private static final String RETRY_AFTER_MS_TRAILER = "celerygw-retry-after-ms";

    private GrpcErrors() {}

    /** Returns the cause if it is typed, else an internal error whose message does not disclose the cause. */
    static GatewayException toGatewayException(Throwable cause, RunState runState) {
        return cause instanceof GatewayException failure
                ? failure
                : new GatewayException(ErrorCode.INTERNAL, runState, 0, "internal error; see the log of the host");
    }

    static void send(GrpcServerResponse<?, ?> response, GatewayException failure) {
        response.status(grpcStatus(failure.code())).statusMessage(failure.getMessage());
        response.trailers()
                .set(CODE_TRAILER, failure.code().name())
                .set(RUN_STATE_TRAILER, failure.runState().name())
                .set(RETRY_AFTER_MS_TRAILER, Long.toString(failure.retryAfterMs()));
        response.end().onFailure(ignored -> {}); // the client has disconnected
    }

    static GrpcStatus grpcStatus(ErrorCode code) {
        return switch (code) {
            case INVALID_ARGUMENT, TOO_LARGE -> GrpcStatus.INVALID_ARGUMENT;
            case UNAUTHENTICATED -> GrpcStatus.UNAUTHENTICATED;
            case PERMISSION_DENIED -> GrpcStatus.PERMISSION_DENIED;
            case NOT_FOUND -> GrpcStatus.NOT_FOUND;
            case CONFLICT -> GrpcStatus.ABORTED;
            case OUT_OF_ORDER, KEY_REUSED, IN_PROGRESS, PROGRAM_ENDED, OUTCOME_UNKNOWN ->
                GrpcStatus.FAILED_PRECONDITION;
            case BUDGET_EXCEEDED, LOOP_LIMIT, OVERLOADED, CUSTOMER_LIMIT -> GrpcStatus.RESOURCE_EXHAUSTED;
            case DEADLINE_EXCEEDED -> GrpcStatus.DEADLINE_EXCEEDED;
            case CANCELLED -> GrpcStatus.CANCELLED;
            case BACKEND_FAILED, BACKEND_LOST, NO_BACKEND, STORE_UNAVAILABLE, NOT_OWNER, STOPPING ->
                GrpcStatus.UNAVAILABLE;
            case DAMAGED -> GrpcStatus.DATA_LOSS;
            case INTERNAL -> GrpcStatus.INTERNAL;
        };
    }
}
