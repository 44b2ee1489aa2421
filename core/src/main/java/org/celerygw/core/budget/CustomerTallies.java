package org.celerygw.core.budget;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.celerygw.core.gen.state.Entry;
import org.celerygw.core.gen.state.Tally;
import org.celerygw.core.id.CustomerId;

/** The tokens that each customer spent and reserved through one journal. */
public final class CustomerTallies {
    private final Map<String, Long> tokensByCustomer = new HashMap<>();

    /**
     * Adds the change that a journal entry makes to the tally of its customer.
     *
     * @param entry the journal entry
     */
    public void add(Entry entry) {
        add(entry.getCustomer(), entry.getTallyTokens());
    }

    /**
     * Adds earlier tallies of the same journal.
     *
     * @param earlier the tallies to add, for example those of a snapshot
     */
    public void addAll(List<Tally> earlier) {
        earlier.forEach(t -> add(t.getCustomer(), t.getSpentTokens()));
    }

    private void add(String customer, long changeTokens) {
        if (changeTokens != 0) {
            tokensByCustomer.merge(customer, changeTokens, Long::sum);
        }
    }

    /**
     * Returns the tally of a customer.
     *
     * @param customer the customer to look up
     * @return the number of tokens; negative when settlements released more than was reserved
     */
    public long tokensOf(CustomerId customer) {
        return tokensByCustomer.getOrDefault(customer.value(), 0L);
    }

    /**
     * Returns the tallies of all customers.
     *
     * @return one tally per customer, in no particular order
     */
    public List<Tally> toList() {
        return tokensByCustomer.entrySet().stream()
                .map(e -> Tally.newBuilder()
                        .setCustomer(e.getKey())
                        .setSpentTokens(e.getValue())
                        .build())
                .toList();
    }
}
