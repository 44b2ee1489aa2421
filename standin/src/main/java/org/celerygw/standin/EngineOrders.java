package org.celerygw.standin;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Objects;

/**
 * The models and role that an engine was ordered to serve. An order states the complete target, is idempotent and
 * carries a fencing token, which the engine checks or ignores.
 */
final class EngineOrders {
    private final EngineOptions options;
    private JsonObject current;
    private long highestFence;
    private long appliedCount;
    private boolean loading;

    EngineOrders(EngineOptions options) {
        this.options = options;
        JsonArray models = new JsonArray();
        options.models().forEach(model -> models.add(new JsonObject().put("name", model)));
        this.current = new JsonObject().put("models", models).put("role", "both");
    }

    /** Records an order's fencing token; returns false if the token is checked and older than one already accepted. */
    boolean acceptFence(JsonObject order) {
        long token = order.getLong("fence", 0L);
        if (options.honoursFencing() && token < highestFence) {
            return false;
        }
        highestFence = options.honoursFencing() ? token : Math.max(token, highestFence);
        return true;
    }

    /** Begins to load the ordered models and returns the duration; 0 if the engine serves them already. */
    long begin(JsonObject order) {
        boolean unchanged = Objects.equals(order.getJsonArray("models"), current.getJsonArray("models"));
        loading = !unchanged;
        return unchanged ? 0 : options.loadModelMs();
    }

    /** Completes an order: the engine serves its models from now on. */
    void finish(JsonObject order) {
        current = new JsonObject()
                .put("models", order.getJsonArray("models", new JsonArray()))
                .put("role", order.getString("role", "both"));
        loading = false;
        appliedCount++;
    }

    boolean serves(String model) {
        JsonArray models = current.getJsonArray("models");
        return models.isEmpty()
                || models.stream().anyMatch(served -> model.equals(((JsonObject) served).getString("name")));
    }

    long highestFence() {
        return highestFence;
    }

    JsonObject state() {
        return current.copy()
                .put("fence", highestFence)
                .put("applied", appliedCount)
                .put("loading", loading);
    }
}
