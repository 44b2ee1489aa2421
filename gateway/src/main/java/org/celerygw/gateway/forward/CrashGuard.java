package org.celerygw.gateway.forward;

import org.celerygw.core.quarantine.Fingerprint;
import org.jspecify.annotations.Nullable;

/** Identifies one exchange's request by what it asks for, to find requests under which servers break off. */
final class CrashGuard {
    private final Exchange exchange;
    private @Nullable Fingerprint fingerprint;

    CrashGuard(Exchange exchange) {
        this.exchange = exchange;
    }

    /** Returns the fingerprint, computed at its first use. */
    Fingerprint fingerprint() {
        if (fingerprint == null) {
            fingerprint = Fingerprint.of(
                    exchange.metadata.host(),
                    exchange.request.method().name(),
                    exchange.request.path(),
                    exchange.request.uri(),
                    exchange.request.body());
        }
        return fingerprint;
    }
}
