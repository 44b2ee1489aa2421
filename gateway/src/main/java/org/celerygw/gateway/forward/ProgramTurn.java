package org.celerygw.gateway.forward;

import com.google.common.primitives.Bytes;
import org.celerygw.core.routes.Customer;
import org.celerygw.core.routes.Route;
import org.celerygw.core.routes.RouteKind;
import org.celerygw.core.turns.ProgramIds;
import org.celerygw.core.turns.Reservation;
import org.celerygw.core.turns.StoredTurn;
import org.celerygw.core.turns.TurnChain;
import org.celerygw.core.turns.UpdateResult;
import org.jspecify.annotations.Nullable;

/**
 * The turn of a program that one request runs: reads the history that it continues, reserves tokens of the program's
 * budget before it and settles them after it. A request without budget and history is sent at once.
 */
final class ProgramTurn {
    private static final long MIN_RETENTION_MS = 60_000;
    private static final long UNLIMITED_BUDGET_TOKENS = Long.MAX_VALUE / 4;
    private static final long SETTLE_TIMEOUT_MS = 1_000;
    private static final int MAX_STORED_INPUT_BYTES = 400_000;
    /** Text has four bytes per token on average; a lower figure errs on the side of too much memory. */
    private static final int MIN_BYTES_PER_TOKEN = 3;

    private final Exchange exchange;
    private final boolean reservesTokens;
    private final boolean storesTurn;
    private final String program;
    private final long budgetTokens;
    private Runnable onDeliveryAllowed = () -> {};
    private final StreamVersionGuard versionGuard;
    private final EventLog eventLog;
    private boolean reservationConfirmed;
    private boolean reserved;
    private boolean settled;
    private @Nullable TurnChain chain;

    ProgramTurn(Exchange exchange) {
        this.exchange = exchange;
        boolean generates = exchange.route.kind() == RouteKind.STREAMING;
        this.storesTurn = generates && exchange.route.storesTurns();
        this.reservesTokens = storesTurn || (generates && exchange.metadata.hasBudget());
        this.program = storedProgram(exchange, exchange.metadata.id());
        this.budgetTokens = exchange.metadata.hasBudget() ? exchange.metadata.budgetTokens() : UNLIMITED_BUDGET_TOKENS;
        this.reservationConfirmed = !reservesTokens;
        this.versionGuard = new StreamVersionGuard(exchange, program, reservesTokens, this::deliverIfAllowed);
        this.eventLog = new EventLog(exchange, storesTurn);
    }

    /** Returns the program under which a turn of an exchange's program and customer is stored. */
    static String storedProgram(Exchange exchange, String turn) {
        String named = exchange.metadata.program();
        return ProgramIds.of(exchange.customer().map(Customer::id), named.isEmpty() ? "alone-" + turn : named);
    }

    private String customer() {
        return exchange.customer().map(c -> c.id().value()).orElse("");
    }

    /** Returns how long the rows of a route's turns are retained, in ms. */
    static long retentionMs(Route route) {
        return Math.max(MIN_RETENTION_MS, route.retentionMs());
    }

    /** Sets the task that runs when events may be sent to the client. */
    void onDeliveryAllowed(Runnable task) {
        onDeliveryAllowed = task;
    }

    /** Returns whether events may be sent to the client: what must be stored before the first event is confirmed. */
    boolean deliveryAllowed() {
        return reservationConfirmed && versionGuard.deliveryAllowed();
    }

    private void deliverIfAllowed() {
        if (deliveryAllowed()) {
            onDeliveryAllowed.run();
        }
    }

    /** Returns the software version of the servers that the request may be sent to; empty for any. */
    String requiredVersion() {
        return versionGuard.requiredVersion();
    }

    /** Called when the request is sent to a server of the given software version. */
    void onSend(String softwareVersion) {
        versionGuard.onSend(softwareVersion, reservationConfirmed);
    }

    /** Returns whether the turn's events are stored. */
    boolean storesTurn() {
        return storesTurn;
    }

    /** Returns the log of the events that the client gets. */
    EventLog eventLog() {
        return eventLog;
    }

    /** Returns the id of the server that ran the previous turn; empty when there is none. */
    String previousServerId() {
        return chain == null ? "" : chain.lastServer();
    }

    /**
     * Returns the engine memory that the turn can hold at its end, in tokens: its prompt and its longest output. A client
     * that does not name the size of its prompt gets an estimate from the bytes of the history and of the new input. 0 if
     * the memory of the service's engines is not known.
     */
    long memoryTokens() {
        if (exchange.service == null || exchange.service.memoryTokens() <= 0) {
            return 0;
        }
        long namedTokens = exchange.metadata.promptTokens();
        int historyBytes = chain == null ? 0 : chain.history().length;
        long promptTokens = namedTokens > 0
                ? namedTokens
                : (historyBytes + exchange.request.body().length + MIN_BYTES_PER_TOKEN - 1L) / MIN_BYTES_PER_TOKEN;
        return promptTokens + exchange.metadata.maxTokens();
    }

    /** Returns the body of the request to the backend server: the history, then the new input. */
    byte[] requestBody() {
        if (chain == null || chain.history().length == 0) {
            return exchange.request.body();
        }
        return Bytes.concat(chain.history(), exchange.request.body());
    }

    /** Reads the history and reserves tokens, then sends the request as soon as the budget allows it. */
    void prepare() {
        if (storesTurn && exchange.request.body().length > MAX_STORED_INPUT_BYTES) {
            exchange.refuse(new Forwarder.Refusal(413, "the input is too large to be stored as a turn", 0));
            return;
        }
        versionGuard.findOrigin(() -> eventLog.readEarlier(this::readChain));
    }

    private void readChain() {
        if (storesTurn && !exchange.metadata.previousTurn().isEmpty()) {
            exchange.forwarder.programStore.readChain(
                    program, exchange.metadata.previousTurn(), customer(), exchange.latestSendMs(), this::onChainRead);
        } else {
            onChainRead(TurnChain.EMPTY);
        }
    }

    private void onChainRead(TurnChain found) {
        if (exchange.ended()) {
            return;
        }
        switch (found.status()) {
            case FOUND -> {
                chain = found;
                reserve();
            }
            case MISSING -> {
                settled = true;
                exchange.refuse(new Forwarder.Refusal(404, "previous turn not found in any partition", 0));
            }
            case UNAVAILABLE -> {
                settled = true;
                exchange.endStoreUnavailable();
            }
        }
    }

    private void reserve() {
        if (!reservesTokens) {
            exchange.send();
            return;
        }
        RequestMetadata metadata = exchange.metadata;
        // While the store is available and the budget probably suffices, the request is sent in parallel with the
        // reservation, so that the server processes the prompt in the meantime; events are held back until the
        // reservation is confirmed.
        boolean sendsInParallel = exchange.forwarder.programStore.isStoreAvailable(program)
                && exchange.forwarder.programStore.likelyWithinBudget(program, metadata.maxTokens(), budgetTokens);
        if (sendsInParallel) {
            // Before the reservation, so that a request that is refused at once costs the store nothing.
            exchange.send();
        }
        if (!exchange.ended()) {
            reserved = true;
            Reservation reservation = new Reservation(
                    program,
                    metadata.id(),
                    metadata.maxTokens(),
                    budgetTokens,
                    retentionMs(exchange.route),
                    versionGuard.expectedVersion());
            // A request that is not yet sent is refused as soon as it can no longer be answered by its deadline.
            exchange.forwarder.programStore.reserve(
                    reservation, sendsInParallel ? exchange.deadlineMs() : exchange.latestSendMs(), this::onReserved);
        }
    }

    private void onReserved(UpdateResult result) {
        if (exchange.ended()) {
            return;
        }
        switch (result) {
            case COMMITTED -> {
                reservationConfirmed = true;
                versionGuard.onReserved();
                if (exchange.sendCount() == 0) {
                    exchange.send();
                }
                deliverIfAllowed();
            }
            case BUDGET_EXCEEDED -> {
                settled = true;
                if (exchange.mayHaveExecuted()) {
                    exchange.fail(502, "the program's token budget is exceeded");
                } else {
                    exchange.refuse(new Forwarder.Refusal(402, "the program's token budget is exceeded", 0));
                }
            }
            case UNAVAILABLE -> {
                settled = true;
                exchange.endStoreUnavailable();
            }
        }
    }

    /** Settles the turn after a complete stream; the callback runs once the end of the stream may be sent to the client. */
    void finishStream(ResponseWriter responseWriter, Runnable onSettled) {
        if (!deliveryAllowed()) {
            onDeliveryAllowed = () -> finishStream(responseWriter, onSettled);
            return;
        }
        onDeliveryAllowed = () -> {};
        eventLog.beginEnd();
        responseWriter.flush();
        RequestMetadata metadata = exchange.metadata;
        settled = true;
        long tokens = tokens(responseWriter.receivedEvents());
        String softwareVersion = versionGuard.deliveredVersion(responseWriter.receivedEvents());
        if (!storesTurn) {
            if (reservesTokens) {
                exchange.forwarder.programStore.settleLater(program, metadata.id(), tokens, softwareVersion);
            }
            onSettled.run();
            return;
        }
        byte[] output = Bytes.concat(eventLog.earlierOutput(), responseWriter.eventData());
        StoredTurn storedTurn = storedTurn(chain == null ? TurnChain.EMPTY : chain, output);
        exchange.forwarder.programStore.settle(
                program, metadata.id(), tokens, softwareVersion, storedTurn, exchange.deadlineMs(), result -> {
                    if (exchange.ended()) {
                        return;
                    }
                    if (result == UpdateResult.COMMITTED) {
                        onSettled.run();
                    } else {
                        exchange.endStoreUnavailable();
                    }
                });
    }

    /** Returns the turn to store; one that continues a turn of another program contains the complete history itself. */
    private StoredTurn storedTurn(TurnChain previous, byte[] output) {
        long nowMs = exchange.forwarder.clock.nowMs();
        return previous.belongsTo(program)
                ? new StoredTurn(
                        previous.program(),
                        previous.turn(),
                        exchange.request.body(),
                        output,
                        exchange.lastServerId(),
                        nowMs,
                        customer())
                : new StoredTurn("", "", requestBody(), output, exchange.lastServerId(), nowMs, customer());
    }

    /** Settles the reservation with the tokens of the delivered events, unless already settled; does not store the turn. */
    void settle(int deliveredEvents) {
        if (reserved && !settled) {
            settled = true;
            exchange.forwarder.programStore.settle(
                    program,
                    exchange.metadata.id(),
                    tokens(deliveredEvents),
                    versionGuard.deliveredVersion(deliveredEvents),
                    null,
                    exchange.forwarder.clock.nowMs() + SETTLE_TIMEOUT_MS,
                    result -> {});
        }
    }

    private long tokens(int events) {
        return (long) events * (exchange.service == null ? 1 : Math.max(1, exchange.service.tokensPerEvent()));
    }
}
