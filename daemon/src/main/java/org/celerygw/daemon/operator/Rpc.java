package org.celerygw.daemon.operator;

import io.vertx.core.Future;
import io.vertx.grpc.common.ServiceMethod;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * One unary method: whether it changes anything, how its request is checked and described for the record, and what
 * it does.
 */
record Rpc<Q, R>(
        ServiceMethod<Q, R> method,
        boolean changes,
        Function<Q, String> describe,
        BiFunction<Actor, Q, Future<R>> run) {

    static <Q, R> Rpc<Q, R> read(ServiceMethod<Q, R> method, Function<Q, Future<R>> run) {
        return new Rpc<>(method, false, request -> "", (actor, request) -> run.apply(request));
    }

    static <Q, R> Rpc<Q, R> change(
            ServiceMethod<Q, R> method, Function<Q, String> describe, BiFunction<Actor, Q, Future<R>> run) {
        return new Rpc<>(method, true, describe, run);
    }
}
