package org.celerygw.daemon.entry;

import io.vertx.core.json.JsonObject;
import org.celerygw.core.call.Outcome;

/** Builds the JSON body of error responses. */
final class ErrorBody {
    private ErrorBody() {}

    static JsonObject of(Outcome failure) {
        JsonObject error = new JsonObject()
                .put("code", failure.code().name())
                .put("run_state", failure.runState().name())
                .put("message", failure.message());
        if (failure.retryAfterMs() > 0) {
            error.put("retry_after_ms", failure.retryAfterMs());
        }
        return new JsonObject().put("error", error);
    }
}
