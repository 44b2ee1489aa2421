package org.celerygw.daemon.store;

import com.google.protobuf.ByteString;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.function.Consumer;
import org.celerygw.core.helper.Check;
import org.celerygw.core.store.ObjectStore;
import org.celerygw.daemon.client.HttpResult;

/** Client of the platform's object store over HTTP. */
final class HttpObjectStore implements ObjectStore {
    private final StoreClient client;

    HttpObjectStore(StoreClient client) {
        this.client = client;
    }

    @Override
    public void put(String name, ByteString content, Consumer<Boolean> callback) {
        client.send(
                HttpMethod.PUT,
                path(name),
                Buffer.buffer(content.toByteArray()),
                result -> callback.accept(result.isOk()));
    }

    @Override
    public void get(String name, Consumer<GetResult> callback) {
        client.get(path(name), result -> callback.accept(toGetResult(result)));
    }

    @Override
    public void delete(String name, Consumer<Boolean> callback) {
        client.send(HttpMethod.DELETE, path(name), Buffer.buffer(), result -> callback.accept(result.isOk()));
    }

    private static GetResult toGetResult(HttpResult result) {
        return switch (result.status()) {
            case 200 ->
                new GetResult(Status.FOUND, ByteString.copyFrom(result.body().getBytes()));
            case 404 -> new GetResult(Status.ABSENT, ByteString.EMPTY);
            default -> new GetResult(Status.UNAVAILABLE, ByteString.EMPTY);
        };
    }

    /** Returns the request path; object names are restricted to characters that need no URL encoding. */
    private static String path(String name) {
        return "/objects/" + Check.name(name, "object name");
    }
}
