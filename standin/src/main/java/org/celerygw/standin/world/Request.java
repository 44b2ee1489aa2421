package org.celerygw.standin.world;

import org.celerygw.core.call.CallRequest;
import org.celerygw.core.id.CallId;

/**
 * What makes two submissions one request: the call, its key and its body.
 *
 * @param call the call
 * @param key the idempotency key
 * @param body the body
 */
record Request(CallId call, String key, String body) {
    static Request of(CallRequest call) {
        return new Request(call.id(), call.key().value(), call.body().toStringUtf8());
    }

    @Override
    public String toString() {
        return call + " " + key + " " + (body.length() > 30 ? body.substring(0, 30) : body);
    }
}
