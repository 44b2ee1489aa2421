package org.celerygw.daemon.entry;

import com.google.protobuf.ByteString;
import org.celerygw.core.call.CallKind;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.time.Clock;
import org.celerygw.daemon.metrics.Metrics;
import org.celerygw.daemon.work.Responder;

/** Counts and times a call on its way to the caller. */
final class MeteredResponder implements Responder {
    private final Responder next;
    private final Metrics metrics;
    private final Clock clock;
    private final CallKind kind;
    private final long beganMs;
    private boolean streaming;

    MeteredResponder(Responder next, Metrics metrics, Clock clock, CallKind kind) {
        this.next = next;
        this.metrics = metrics;
        this.clock = clock;
        this.kind = kind;
        this.beganMs = clock.nowMs();
        metrics.callBegan();
    }

    @Override
    public void chunk(long offsetBytes, ByteString bytes) {
        if (!streaming) {
            streaming = true;
            metrics.firstByte(kind, clock.nowMs() - beganMs);
        }
        next.chunk(offsetBytes, bytes);
    }

    @Override
    public void end(Outcome outcome) {
        metrics.callEnded(kind, outcome.code(), clock.nowMs() - beganMs);
        next.end(outcome);
    }
}
