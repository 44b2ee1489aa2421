package org.celerygw.standin;

import io.vertx.core.json.JsonObject;

/**
 * One execution of a tool call.
 *
 * @param number sequence number of the execution at its server, from 1
 * @param service the service that executed the call
 * @param path the path after the service's name
 * @param idempotencyKey the request's idempotency key; empty if it had none
 * @param requestBody the request body
 * @param responseBody the response body
 */
public record Execution(
        long number, String service, String path, String idempotencyKey, String requestBody, String responseBody) {
    JsonObject toJson() {
        return new JsonObject()
                .put("number", number)
                .put("service", service)
                .put("path", path)
                .put("idempotency_key", idempotencyKey)
                .put("body", requestBody);
    }
}
