package org.celerygw.cli.load;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;

/**
 * The response that a caller received to a request.
 *
 * @param status the HTTP status code; 0 when the request failed without a response
 * @param body the response body; empty when the request failed
 * @param complete whether the response ended as expected, for an event stream with {@code [DONE]}
 */
public record Reply(int status, byte[] body, boolean complete) {
    /**
     * Returns whether the request succeeded.
     *
     * @return true for a complete response with a status below 300
     */
    public boolean isSuccess() {
        return complete && status >= 200 && status < 300;
    }

    /**
     * Returns the response body as text.
     *
     * @return the body, decoded as UTF-8
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Returns a field of the error object in the response body.
     *
     * @param field {@code code}, {@code run_state} or {@code message}
     * @return the field's value; empty when the body is not a JSON error or lacks the field
     */
    public String errorField(String field) {
        try {
            JsonObject error = new JsonObject(text()).getJsonObject("error", new JsonObject());
            return error.getString(field, "");
        } catch (DecodeException | ClassCastException e) {
            return "";
        }
    }
}
