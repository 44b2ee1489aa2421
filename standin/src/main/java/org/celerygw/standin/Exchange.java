package org.celerygw.standin;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/** An HTTP request with its complete body, and the methods that respond to it. */
final class Exchange {
    private static final String JSON = "application/json";

    private final StandinHttpServer http;
    private final HttpServerRequest request;
    private final Buffer body;

    Exchange(StandinHttpServer http, HttpServerRequest request, Buffer body) {
        this.http = http;
        this.request = request;
        this.body = body;
    }

    boolean hasMethod(HttpMethod method) {
        return request.method().equals(method);
    }

    String path() {
        return request.path();
    }

    /** Returns a query parameter, or the default value if it is absent. */
    String param(String name, String defaultValue) {
        String value = request.getParam(name);
        return value == null ? defaultValue : value;
    }

    /** Returns a request header field, or the default value if it is absent. */
    String header(String name, String defaultValue) {
        String value = request.getHeader(name);
        return value == null ? defaultValue : value;
    }

    Buffer body() {
        return body;
    }

    /** Returns the body as a JSON object; empty if the body is not one. */
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

    /** Returns whether the response can still be written: it has not ended, and the connection is open and not silent. */
    boolean canWrite() {
        return !http.isSilent(request.connection())
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
                    // The client has closed the connection and does not need the response.
                });
    }

    void replyJson(int status, JsonObject content) {
        reply(status, JSON, content.toBuffer());
    }

    void replyError(int status, String code) {
        replyJson(status, new JsonObject().put("error", new JsonObject().put("code", code)));
    }

    /** Closes the connection without a complete response. */
    void closeConnection() {
        request.connection().close().onFailure(e -> {
            // The connection is already closed.
        });
    }
}
