package org.celerygw.gateway.forward;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.celerygw.core.quarantine.Fingerprint;
import org.celerygw.core.quarantine.Quarantine;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.servers.TrackedServer;
import org.jspecify.annotations.Nullable;

/** Keeps one exchange's request from crashing server after server: reports crashes and results, and asks before a send. */
final class CrashGuard {
    private final Exchange exchange;
    private final Quarantine quarantine;
    private @Nullable Fingerprint fingerprint;

    CrashGuard(Exchange exchange) {
        this.exchange = exchange;
        this.quarantine = exchange.forwarder.quarantine;
    }

    /** Returns the refusal of a request in quarantine; empty if it may be sent. */
    Optional<Forwarder.Refusal> refusal() {
        if (!quarantine.hasSuspects()) {
            return Optional.empty();
        }
        long remainingMs = quarantine.remainingMs(fingerprint(), exchange.forwarder.clock.nowMs());
        if (remainingMs == 0) {
            return Optional.empty();
        }
        // Spread, so that the clients do not all come back when the quarantine ends.
        long retryAfterMs = remainingMs + Math.floorMod(exchange.metadata.id().hashCode(), remainingMs);
        return Optional.of(new Forwarder.Refusal(
                503, "quarantine: servers have crashed under this request " + id(), retryAfterMs));
    }

    /** Called when the request is sent. */
    void onSend() {
        if (quarantine.hasSuspects() && quarantine.recordSend(fingerprint(), exchange.forwarder.clock.nowMs())) {
            exchange.forwarder.reportSuspects();
        }
    }

    /** Called when a server broke off after so many events of the response. */
    void onBrokenOff(TrackedServer server, int events) {
        long nowMs = exchange.forwarder.clock.nowMs();
        double crashes = quarantine.recordCrash(
                fingerprint(), incarnation(server.entry()), nowMs - exchange.times.currentSendMs(), events > 0, nowMs);
        exchange.forwarder.reportSuspects();
        exchange.forwarder.requestLog.logBrokenOff(
                exchange, fingerprint(), server.entry().id(), events, crashes);
    }

    /** Called when a server has answered completely. */
    void onAnswered() {
        if (quarantine.hasSuspects()) {
            quarantine.recordSuccess(fingerprint(), exchange.forwarder.clock.nowMs());
        }
    }

    private String id() {
        return Long.toHexString(fingerprint().content());
    }

    private static int incarnation(BackendServer server) {
        return Hashing.murmur3_32_fixed()
                .newHasher()
                .putString(server.id(), StandardCharsets.UTF_8)
                .putLong(server.startedMs())
                .hash()
                .asInt();
    }

    /** Returns the fingerprint, computed at its first use. */
    private Fingerprint fingerprint() {
        if (fingerprint == null) {
            fingerprint = Fingerprint.of(
                    exchange.route.host(),
                    exchange.request.method().name(),
                    exchange.request.path(),
                    exchange.request.uri(),
                    exchange.request.body());
        }
        return fingerprint;
    }
}
