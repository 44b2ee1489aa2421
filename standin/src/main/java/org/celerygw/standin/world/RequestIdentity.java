package org.celerygw.standin.world;

import org.celerygw.core.call.CallRequest;
import org.celerygw.core.id.CallId;

/**
 * Identifies a request: submissions that agree in all components are retries of the same request.
 *
 * @param call the id of the call
 * @param key the idempotency key
 * @param body the request body as text
 */
record RequestIdentity(CallId call, String key, String body) {
    static RequestIdentity of(CallRequest call) {
        return new RequestIdentity(call.id(), call.key().value(), call.body().toStringUtf8());
    }

    @Override
    public String toString() {
        return call + " " + key + " " + (body.length() > 30 ? body.substring(0, 30) : body);
    }
}
