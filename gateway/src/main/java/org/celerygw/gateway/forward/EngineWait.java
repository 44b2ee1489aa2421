package org.celerygw.gateway.forward;

import java.util.Set;
import org.celerygw.core.routes.Customer;
import org.celerygw.core.scheduling.EngineQueue;
import org.celerygw.core.scheduling.EngineRequest;
import org.celerygw.core.servers.TrackedServer;

/** The wait of one exchange until the queue has an engine for its request. */
final class EngineWait implements EngineQueue.Waiter {
    private final Exchange exchange;
    private final long sinceMs;

    EngineWait(Exchange exchange) {
        this.exchange = exchange;
        this.sinceMs = exchange.forwarder.clock.nowMs();
    }

    /** Offers the request to the queue, which may decide at once. */
    void begin(String service, ProgramTurn turn, Set<String> triedServerIds) {
        RequestMetadata metadata = exchange.metadata;
        long programDeadlineMs = metadata.programTimeoutMs() < 0
                ? Long.MAX_VALUE
                : exchange.request.receivedAtMs() + metadata.programTimeoutMs();
        EngineRequest request = new EngineRequest(
                service,
                turn.requiredVersion(),
                metadata.program(),
                exchange.affinityKey(),
                turn.previousServerId(),
                Set.copyOf(triedServerIds),
                exchange.sendCount() > 0
                        || metadata.resumesStream()
                        || !metadata.previousTurn().isEmpty(),
                exchange.rank(),
                exchange.latestSendMs(),
                programDeadlineMs,
                exchange.customer().map(Customer::id),
                turn.memoryTokens(),
                exchange.sharedParts());
        exchange.forwarder.engineQueue.offer(request, this, sinceMs);
        exchange.forwarder.queueChanged();
    }

    /** Leaves the queue, since the exchange has ended. */
    void cancel() {
        exchange.forwarder.engineQueue.remove(this);
        exchange.forwarder.queueChanged();
    }

    @Override
    public void start(TrackedServer server) {
        exchange.onEngineSelected(server, exchange.forwarder.clock.nowMs() - sinceMs);
    }

    @Override
    public void refuse(String reason, long retryAfterMs) {
        exchange.forwarder.requestLog.logQueueRefusal(
                exchange, reason, exchange.forwarder.clock.nowMs() - sinceMs, retryAfterMs);
        exchange.onEngineRefused(reason, retryAfterMs);
    }
}
