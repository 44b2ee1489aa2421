package org.celerygw.daemon.operator;

import io.vertx.grpc.common.GrpcStatus;
import io.vertx.grpc.server.GrpcServerResponse;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;

/** Carries typed failures as gRPC status and trailers. */
final class Status {
    private static final String CODE = "celerygw-code";
    private static final String RUN_STATE = "celerygw-run-state";
    private static final String RETRY_AFTER_MS = "celerygw-retry-after-ms";

    private Status() {}

    /** Returns the failure itself, or an internal fault whose text tells nothing of the cause. */
    static GatewayException typed(Throwable cause, RunState runState) {
        return cause instanceof GatewayException failure
                ? failure
                : new GatewayException(ErrorCode.INTERNAL, runState, 0, "an internal fault; see the host's log");
    }

    static void send(GrpcServerResponse<?, ?> response, GatewayException failure) {
        response.status(grpcStatus(failure.code())).statusMessage(failure.getMessage());
        response.trailers()
                .set(CODE, failure.code().name())
                .set(RUN_STATE, failure.runState().name())
                .set(RETRY_AFTER_MS, Long.toString(failure.retryAfterMs()));
        response.end().onFailure(ignored -> {}); // the operator is gone; nobody is left to tell
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
