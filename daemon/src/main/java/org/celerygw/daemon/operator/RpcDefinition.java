package org.celerygw.daemon.operator;

import io.vertx.core.Future;
import io.vertx.grpc.common.ServiceMethod;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * A unary RPC: whether it changes state, the function that validates its request and describes it for the audit log,
 * and its handler.
 */
record RpcDefinition<Q, R>(
        ServiceMethod<Q, R> method,
        boolean changesState,
        Function<Q, String> describeRequest,
        BiFunction<Actor, Q, Future<R>> handler) {

    static <Q, R> RpcDefinition<Q, R> read(ServiceMethod<Q, R> method, Function<Q, Future<R>> handler) {
        return new RpcDefinition<>(method, false, request -> "", (actor, request) -> handler.apply(request));
    }

    static <Q, R> RpcDefinition<Q, R> change(
            ServiceMethod<Q, R> method, Function<Q, String> describeRequest, BiFunction<Actor, Q, Future<R>> handler) {
        return new RpcDefinition<>(method, true, describeRequest, handler);
    }
}
