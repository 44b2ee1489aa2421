package org.celerygw.standin;

import io.vertx.core.json.JsonObject;

/**
 * One execution of a tool call.
 *
 * @param number counts the server's executions from 1
 * @param service the service that ran it
 * @param path the path below the service
 * @param idempotencyKey the key it came with; empty for none
 * @param body the request's body
 * @param answer the answer's body
 */
public record Execution(long number, String service, String path, String idempotencyKey, String body, String answer) {
    JsonObject toJson() {
        return new JsonObject()
                .put("number", number)
                .put("service", service)
                .put("path", path)
                .put("idempotency_key", idempotencyKey)
                .put("body", body);
    }
}
