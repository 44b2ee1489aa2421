package org.celerygw.daemon.store;

import com.google.protobuf.ByteString;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.function.Consumer;
import org.celerygw.core.helper.Check;
import org.celerygw.core.store.ObjectStore;
import org.celerygw.daemon.client.HttpResult;

/** The platform's object store over HTTP. */
final class HttpObjects implements ObjectStore {
    private final StoreClient client;

    HttpObjects(StoreClient client) {
        this.client = client;
    }

    @Override
    public void put(String name, ByteString content, Consumer<Boolean> done) {
        client.send(
                HttpMethod.PUT, path(name), Buffer.buffer(content.toByteArray()), reply -> done.accept(reply.isOk()));
    }

    @Override
    public void get(String name, Consumer<GetResult> done) {
        client.get(path(name), reply -> done.accept(fetched(reply)));
    }

    @Override
    public void delete(String name, Consumer<Boolean> done) {
        client.send(HttpMethod.DELETE, path(name), Buffer.buffer(), reply -> done.accept(reply.isOk()));
    }

    private static GetResult fetched(HttpResult reply) {
        return switch (reply.status()) {
            case 200 ->
                new GetResult(Status.FOUND, ByteString.copyFrom(reply.body().getBytes()));
            case 404 -> new GetResult(Status.ABSENT, ByteString.EMPTY);
            default -> new GetResult(Status.UNAVAILABLE, ByteString.EMPTY);
        };
    }

    /** Plain names need no escapes in a path. */
    private static String path(String name) {
        return "/objects/" + Check.name(name, "object name");
    }
}
