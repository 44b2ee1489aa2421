package org.celerygw.gateway.forward;

import java.util.Optional;
import org.celerygw.core.routes.RouteKind;
import org.celerygw.core.turns.ProgramStore;
import org.celerygw.core.turns.StreamOrigin;
import org.celerygw.core.turns.UpdateResult;

/**
 * Keeps the events of one resumable stream to servers of one software version, also when another host resumes it: what
 * the program's row tells of the stream agrees with its server before the client receives the first event.
 */
final class StreamVersionGuard {
    private final Exchange exchange;
    private final String program;
    private final boolean reservesTokens;
    private final boolean begins;
    private final boolean resumes;
    private final Runnable onStored;
    private String softwareVersion = "";
    private boolean stored;

    /**
     * Creates the guard of an exchange.
     *
     * @param exchange the exchange
     * @param program the program under which the stream is stored
     * @param reservesTokens whether tokens are reserved in the program's budget; the reservation stores the version as well
     * @param onStored called when the version of the current server is stored
     */
    StreamVersionGuard(Exchange exchange, String program, boolean reservesTokens, Runnable onStored) {
        this.exchange = exchange;
        this.program = program;
        this.reservesTokens = reservesTokens;
        this.onStored = onStored;
        boolean resumable = exchange.route.kind() == RouteKind.STREAMING && exchange.route.resumable();
        this.resumes = resumable && exchange.metadata.resumesStream();
        this.begins = resumable && !resumes;
    }

    /** Finds out at which version a resumed stream began, then runs the task; refuses the request if that is not known. */
    void findOrigin(Runnable next) {
        if (!resumes) {
            next.run();
            return;
        }
        String attempt = exchange.metadata.resumedAttempt();
        if (attempt.isEmpty()) {
            refuse("the request does not name the attempt that began the stream to resume");
            return;
        }
        String storedUnder = ProgramTurn.storedProgram(exchange, attempt);
        store().readStreamVersion(storedUnder, attempt, exchange.latestSendMs(), origin -> {
            if (!exchange.ended()) {
                onOrigin(origin, next);
            }
        });
    }

    private void onOrigin(StreamOrigin origin, Runnable next) {
        switch (origin.status()) {
            case KNOWN -> {
                softwareVersion = origin.softwareVersion();
                next.run();
            }
            case UNKNOWN -> refuse("the software version at which the stream to resume began is not known");
            case UNAVAILABLE -> exchange.endStoreUnavailable();
        }
    }

    private void refuse(String reason) {
        exchange.refuse(new Forwarder.Refusal(503, reason, 0));
    }

    /** Returns the version of the servers that the request may be sent to; empty for any. */
    String requiredVersion() {
        return resumes || (begins && exchange.clientResponse.started()) ? softwareVersion : "";
    }

    /** Returns the version to store with a reservation that is made before the server is selected, or right after. */
    String expectedVersion() {
        if (!begins || !softwareVersion.isEmpty() || exchange.service == null) {
            return begins ? softwareVersion : "";
        }
        return exchange.forwarder.servers.softwareVersions(exchange.service.name()).stream()
                .findFirst()
                .map(e -> e.getKey())
                .orElse("");
    }

    /** Returns the version to settle the stream with; empty if the client cannot resume it. */
    String deliveredVersion(int deliveredEvents) {
        return begins && deliveredEvents > 0 ? softwareVersion : "";
    }

    /** Called when the request is sent to a server of the given version. */
    void onSend(String version, boolean reservationConfirmed) {
        if (!begins) {
            return;
        }
        boolean mayTellOtherVersion = !softwareVersion.isEmpty() && !softwareVersion.equals(version);
        softwareVersion = version;
        if (reservesTokens) {
            stored = false;
            if (reservationConfirmed) {
                onReserved();
            }
        } else {
            // A row that tells nothing does no harm: the stream cannot be resumed.
            stored = !mayTellOtherVersion;
            record();
        }
    }

    /** Called when the reservation is confirmed; stores the version if the reservation does not tell it. */
    void onReserved() {
        if (!begins || softwareVersion.isEmpty()) {
            return;
        }
        String turn = exchange.metadata.id();
        stored = store().storedStreamVersion(program, turn).equals(Optional.of(softwareVersion));
        // While several versions serve, an advance reservation alone may soon be ambiguous.
        boolean ambiguous = store().isReservedAhead(program, turn)
                && exchange.service != null
                && exchange.forwarder
                                .servers
                                .softwareVersions(exchange.service.name())
                                .size()
                        > 1;
        if (!stored || ambiguous) {
            record();
        }
    }

    /** Returns whether events of the current server may be sent to the client. */
    boolean deliveryAllowed() {
        return !begins || stored;
    }

    private void record() {
        String version = softwareVersion;
        store().recordStream(
                        program,
                        exchange.metadata.id(),
                        version,
                        ProgramTurn.retentionMs(exchange.route),
                        exchange.deadlineMs(),
                        result -> onRecorded(version, result));
    }

    private void onRecorded(String version, UpdateResult result) {
        if (exchange.ended() || stored || !version.equals(softwareVersion)) {
            return;
        }
        if (result == UpdateResult.COMMITTED) {
            stored = true;
            onStored.run();
        } else {
            exchange.endStoreUnavailable();
        }
    }

    private ProgramStore store() {
        return exchange.forwarder.programStore;
    }
}
