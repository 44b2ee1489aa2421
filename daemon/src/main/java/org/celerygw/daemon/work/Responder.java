package org.celerygw.daemon.work;

import com.google.protobuf.ByteString;
import org.celerygw.core.call.Outcome;

/** Delivers a call's response stream and its outcome, at most once, to a waiting caller. Called on the host's event loop. */
public interface Responder {
    /**
     * Receives a part of the response body while it is streamed.
     *
     * @param offsetBytes the offset of the part in the response body; a new attempt begins at 0 again
     * @param bytes the content of the part
     */
    void chunk(long offsetBytes, ByteString bytes);

    /**
     * Receives the outcome; no other method is called after it.
     *
     * @param outcome the result of the call, with the complete response body if the call succeeded
     */
    void end(Outcome outcome);

    /**
     * Returns a responder that ignores streamed parts and receives only the outcome.
     *
     * @param callback receives the outcome
     * @return a responder that calls the callback once
     */
    static Responder forOutcome(java.util.function.Consumer<Outcome> callback) {
        return new Responder() {
            @Override
            public void chunk(long offsetBytes, ByteString bytes) {
                // The outcome contains the complete response body.
            }

            @Override
            public void end(Outcome outcome) {
                callback.accept(outcome);
            }
        };
    }
}
