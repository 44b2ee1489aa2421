package org.celerygw.gateway.forward;

import org.celerygw.core.limits.UnsentBytes;
import org.celerygw.core.time.Clock;
import org.celerygw.gateway.net.ClientResponse;
import org.celerygw.gateway.net.OriginPool;
import org.jspecify.annotations.Nullable;

/** Passes a response on as fast as its client takes it: while too much of it is unsent, the server is not read. */
final class ReadPacer {
    /** Shorter pauses in total are not regarded as the cause of an aborted response. */
    private static final long MIN_HELD_UP_MS = 500;

    private final Clock clock;
    private final UnsentBytes hostBytes;
    private final ClientResponse response;
    private OriginPool.@Nullable PendingRequest source;
    private long unsentBytes;
    private boolean paused;
    private long pausedAtMs;
    private long resumedAtMs;
    private long earlierPausesMs;

    ReadPacer(Clock clock, UnsentBytes hostBytes, ClientResponse response) {
        this.clock = clock;
        this.hostBytes = hostBytes;
        this.response = response;
    }

    /** Called with each request whose response is passed on. */
    void begin(OriginPool.PendingRequest newSource) {
        source = newSource;
        paused = false;
        earlierPausesMs = 0;
        resumedAtMs = clock.nowMs();
    }

    /** Sends a part of the body to the client; the server may be read no further after this. */
    void sendBody(byte[] bytes) {
        unsentBytes += bytes.length;
        hostBytes.add(bytes.length);
        response.sendBody(bytes, () -> onSent(bytes.length));
        if (!paused && source != null && hostBytes.mustPause(unsentBytes)) {
            paused = true;
            pausedAtMs = clock.nowMs();
            source.setReading(false);
        }
    }

    private void onSent(int bytes) {
        unsentBytes -= bytes;
        hostBytes.remove(bytes);
        if (paused && source != null && hostBytes.mayResume(unsentBytes)) {
            paused = false;
            resumedAtMs = clock.nowMs();
            earlierPausesMs += resumedAtMs - pausedAtMs;
            source.setReading(true);
        }
    }

    /** Returns whether the server is not read at present. */
    boolean isPaused() {
        return paused;
    }

    /** Returns since when the server is read, in ms. */
    long readingSinceMs() {
        return resumedAtMs;
    }

    /** Returns for how long the server was not read, in ms. */
    long pausedMs() {
        return earlierPausesMs + (paused ? clock.nowMs() - pausedAtMs : 0);
    }

    /** Returns whether the client has held the server up, which may therefore have broken off the response. */
    boolean heldUpServer() {
        return pausedMs() >= MIN_HELD_UP_MS;
    }
}
