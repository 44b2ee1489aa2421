package org.celerygw.daemon.work;

import com.google.protobuf.ByteString;
import org.celerygw.core.call.Outcome;

/** A waiting caller: gets the stream as it grows and the outcome once. Called on the host's event loop. */
public interface Responder {
    /**
     * Takes a part of the answer's stream.
     *
     * @param offsetBytes where the part begins in the answer
     * @param bytes the part
     */
    void chunk(long offsetBytes, ByteString bytes);

    /**
     * Takes the outcome; nothing follows it.
     *
     * @param outcome how the call ended, with the whole answer where there is one
     */
    void end(Outcome outcome);

    /**
     * Returns a responder that waits for the outcome only.
     *
     * @param done given the outcome
     * @return the responder
     */
    static Responder outcome(java.util.function.Consumer<Outcome> done) {
        return new Responder() {
            @Override
            public void chunk(long offsetBytes, ByteString bytes) {
                // The outcome holds the whole answer.
            }

            @Override
            public void end(Outcome outcome) {
                done.accept(outcome);
            }
        };
    }
}
