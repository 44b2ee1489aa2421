package org.celerygw.core.routes;

import java.util.OptionalInt;
import org.celerygw.core.id.CustomerId;

/**
 * A customer as configured; its keys are held by the {@link CustomerDirectory} alone.
 *
 * @param id the customer's id, which requests to servers carry
 * @param rank the urgency rank of its requests, which takes precedence over the route's; empty to keep the route's
 * @param limit the limit on its requests over all hosts together
 */
public record Customer(CustomerId id, OptionalInt rank, RateLimit limit) {}
