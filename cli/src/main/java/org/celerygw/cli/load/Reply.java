package org.celerygw.cli.load;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;

/**
 * What a caller got.
 *
 * @param status the HTTP status; 0 when no host answered
 * @param body the body, whole
 * @param whole whether the answer ended as it should
 */
public record Reply(int status, byte[] body, boolean whole) {
    /**
     * Returns whether the call was answered.
     *
     * @return true for a whole answer with a status below 300
     */
    public boolean ok() {
        return whole && status >= 200 && status < 300;
    }

    /**
     * Returns the body as text.
     *
     * @return the text
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Returns a field of the typed error in the body.
     *
     * @param field {@code code}, {@code run_state} or {@code message}
     * @return its value; empty when there is none
     */
    public String error(String field) {
        try {
            JsonObject error = new JsonObject(text()).getJsonObject("error", new JsonObject());
            return error.getString(field, "");
        } catch (DecodeException | ClassCastException e) {
            return "";
        }
    }
}
