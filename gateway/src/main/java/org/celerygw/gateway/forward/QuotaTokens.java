package org.celerygw.gateway.forward;

import java.util.function.Consumer;
import org.celerygw.core.limits.CustomerQuotas;
import org.celerygw.core.routes.Customer;

/**
 * The tokens of its customer's quota that one request holds: one for each time that a server may run it. A retry after a
 * send that no server ran uses the same token.
 */
final class QuotaTokens {
    private static final int TOO_MANY_REQUESTS = 429;

    private final Exchange exchange;
    private final CustomerQuotas quotas;
    private int held;

    QuotaTokens(Exchange exchange, CustomerQuotas quotas) {
        this.exchange = exchange;
        this.quotas = quotas;
    }

    /** Takes one more token; without a customer or a limit, none is needed. */
    void acquire(Runnable onGranted, Consumer<Forwarder.Refusal> onRefused) {
        if (exchange.customer().filter(c -> c.limit().isLimited()).isEmpty()) {
            onGranted.run();
            return;
        }
        Customer customer = exchange.customer().get();
        quotas.acquire(customer, exchange.routes.version(), decision -> {
            if (decision.granted()) {
                held++;
                onGranted.run();
            } else {
                exchange.forwarder.requestLog.logQuotaRefusal(exchange, customer, decision);
                onRefused.accept(new Forwarder.Refusal(
                        TOO_MANY_REQUESTS, "the customer's quota is used up", decision.retryAfterMs()));
            }
        });
    }

    /** Gives back the tokens beyond the given number of times that a server may have run the request. */
    void releaseUnused(int possibleExecutions) {
        for (; held > possibleExecutions; held--) {
            exchange.customer().ifPresent(customer -> quotas.release(customer.id()));
        }
    }
}
