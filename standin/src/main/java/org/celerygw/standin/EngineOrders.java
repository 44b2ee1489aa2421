package org.celerygw.standin;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Objects;

/** What an engine was ordered to serve: absolute, repeatable, with a fencing number that it honours or ignores. */
final class EngineOrders {
    private final EngineOptions options;
    private JsonObject current;
    private long fence;
    private long applied;
    private boolean loading;

    EngineOrders(EngineOptions options) {
        this.options = options;
        JsonArray models = new JsonArray();
        options.models().forEach(model -> models.add(new JsonObject().put("name", model)));
        this.current = new JsonObject().put("models", models).put("role", "both");
    }

    /** Returns false when the order is older than one that was taken. */
    boolean accepts(JsonObject order) {
        long number = order.getLong("fence", 0L);
        if (options.honoursFencing() && number < fence) {
            return false;
        }
        fence = options.honoursFencing() ? number : Math.max(number, fence);
        return true;
    }

    /** Returns how long the order takes, and begins it; 0 when the engine serves this already. */
    long begin(JsonObject order) {
        boolean same = Objects.equals(order.getJsonArray("models"), current.getJsonArray("models"));
        loading = !same;
        return same ? 0 : options.loadModelMs();
    }

    void finish(JsonObject order) {
        current = new JsonObject()
                .put("models", order.getJsonArray("models", new JsonArray()))
                .put("role", order.getString("role", "both"));
        loading = false;
        applied++;
    }

    boolean serves(String model) {
        JsonArray models = current.getJsonArray("models");
        return models.isEmpty() || models.stream().anyMatch(m -> model.equals(((JsonObject) m).getString("name")));
    }

    long fence() {
        return fence;
    }

    JsonObject state() {
        return current.copy().put("fence", fence).put("applied", applied).put("loading", loading);
    }
}
