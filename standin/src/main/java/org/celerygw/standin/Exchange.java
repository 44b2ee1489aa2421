package org.celerygw.standin;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/** One HTTP request with its whole body, and the ways to answer it. */
final class Exchange {
    private static final String JSON = "application/json";

    private final HttpFront front;
    private final HttpServerRequest request;
    private final Buffer body;

    Exchange(HttpFront front, HttpServerRequest request, Buffer body) {
        this.front = front;
        this.request = request;
        this.body = body;
    }

    boolean is(HttpMethod method) {
        return request.method().equals(method);
    }

    String path() {
        return request.path();
    }

    /** Returns a query parameter, or the other text when it is not given. */
    String param(String name, String other) {
        String value = request.getParam(name);
        return value == null ? other : value;
    }

    /** Returns a header, or the other text when it is not given. */
    String header(String name, String other) {
        String value = request.getHeader(name);
        return value == null ? other : value;
    }

    Buffer body() {
        return body;
    }

    /** Returns the body as JSON; empty when it is none. */
    JsonObject bodyJson() {
        try {
            return body.length() == 0 ? new JsonObject() : body.toJsonObject();
        } catch (DecodeException | ClassCastException e) {
            return new JsonObject();
        }
    }

    HttpConnection connection() {
        return request.connection();
    }

    HttpServerResponse response() {
        return request.response();
    }

    /** Returns whether bytes may still be sent: the connection is open and not silent. */
    boolean canWrite() {
        return !front.isSilent(request.connection())
                && !response().ended()
                && !response().closed();
    }

    void reply(int status, String contentType, Buffer content) {
        if (!canWrite()) {
            return;
        }
        response()
                .setStatusCode(status)
                .putHeader("content-type", contentType)
                .end(content)
                .onFailure(e -> {
                    // The client has gone; nobody waits for this answer.
                });
    }

    void json(int status, JsonObject content) {
        reply(status, JSON, content.toBuffer());
    }

    void error(int status, String code) {
        json(status, new JsonObject().put("error", new JsonObject().put("code", code)));
    }

    /** Closes the connection without an answer. */
    void drop() {
        request.connection().close().onFailure(e -> {
            // It is closed already.
        });
    }
}
