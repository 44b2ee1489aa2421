package org.celerygw.daemon.entry;

import com.google.protobuf.ByteString;
import org.celerygw.core.call.CallKind;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.time.Clock;
import org.celerygw.daemon.metrics.Metrics;
import org.celerygw.daemon.work.Responder;

/** Records the metrics of a call and passes its stream and outcome on to another responder. */
final class MeteredResponder implements Responder {
    private final Responder delegate;
    private final Metrics metrics;
    private final Clock clock;
    private final CallKind kind;
    private final long startedMs;
    private boolean firstByteReceived;

    MeteredResponder(Responder delegate, Metrics metrics, Clock clock, CallKind kind) {
        this.delegate = delegate;
        this.metrics = metrics;
        this.clock = clock;
        this.kind = kind;
        this.startedMs = clock.nowMs();
        metrics.callStarted();
    }

    @Override
    public void chunk(long offsetBytes, ByteString bytes) {
        if (!firstByteReceived) {
            firstByteReceived = true;
            metrics.firstByteReceived(kind, clock.nowMs() - startedMs);
        }
        delegate.chunk(offsetBytes, bytes);
    }

    @Override
    public void end(Outcome outcome) {
        metrics.callEnded(kind, outcome.code(), clock.nowMs() - startedMs);
        delegate.end(outcome);
    }
}
