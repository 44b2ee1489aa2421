package org.celerygw.gateway.forward;

import java.util.Optional;
import org.celerygw.core.routes.ConfigFreshness;
import org.celerygw.core.routes.Customer;
import org.celerygw.core.routes.CustomerDirectory;
import org.celerygw.core.routes.Route;
import org.celerygw.core.routes.RouteTable;

/** Determines for which customer a request acts, by the key that it carries, and refuses it if it may not act. */
public final class Authenticator {
    private static final int UNAUTHORIZED = 401;
    private static final int UNAVAILABLE = 503;
    private static final long RETRY_AFTER_MS = 300;

    private final ConfigFreshness freshness;
    private final Runnable askPeer;

    /**
     * Creates an authenticator.
     *
     * @param freshness what is known of the age of the configuration
     * @param askPeer reads the newest configuration from a peer
     */
    public Authenticator(ConfigFreshness freshness, Runnable askPeer) {
        this.freshness = freshness;
        this.askPeer = askPeer;
    }

    /** Decides on one request by the configuration that is in force when it arrives, also on an open connection. */
    Decision authenticate(Credentials credentials, Route route, RouteTable routes, long nowMs) {
        CustomerDirectory customers = routes.customers();
        if (!customers.requiresKeys()) {
            return new Decision(Optional.empty(), Optional.empty());
        }
        Optional<Customer> customer = credentials.key().flatMap(customers::byKey);
        if (customer.isPresent()) {
            return freshness.acceptsKnownKeys(nowMs)
                    ? new Decision(customer, Optional.empty())
                    : undecided(nowMs, "customers: the configuration is not confirmed, so that the key may be removed");
        }
        if (route.open()) {
            return new Decision(Optional.empty(), Optional.empty());
        }
        if (credentials.key().isEmpty()) {
            return refused(UNAUTHORIZED, "customers: no key, several, or one in a form that cannot be read", 0);
        }
        return freshness.isNewest(routes.version(), nowMs)
                ? refused(UNAUTHORIZED, "customers: unknown key in configuration version " + routes.version(), 0)
                : undecided(nowMs, "customers: unknown key, and the configuration is not confirmed as the newest");
    }

    private Decision undecided(long nowMs, String reason) {
        if (freshness.startAsking(nowMs)) {
            askPeer.run();
        }
        return refused(UNAVAILABLE, reason, RETRY_AFTER_MS);
    }

    private static Decision refused(int status, String reason, long retryAfterMs) {
        return new Decision(Optional.empty(), Optional.of(new Forwarder.Refusal(status, reason, retryAfterMs)));
    }

    /**
     * The decision on one request.
     *
     * @param customer the customer for which it acts; empty for none
     * @param refusal why it is refused; empty if it may act
     */
    record Decision(Optional<Customer> customer, Optional<Forwarder.Refusal> refusal) {}
}
