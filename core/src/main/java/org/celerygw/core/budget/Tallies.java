package org.celerygw.core.budget;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.celerygw.core.gen.state.Entry;
import org.celerygw.core.gen.state.Tally;
import org.celerygw.core.id.CustomerId;

/** What each customer spent and reserved through one journal. */
public final class Tallies {
    private final Map<String, Long> tokens = new HashMap<>();

    /**
     * Adds what an entry changes.
     *
     * @param entry an entry of the journal
     */
    public void add(Entry entry) {
        add(entry.getCustomer(), entry.getTallyTokens());
    }

    /**
     * Adds earlier tallies of the same journal.
     *
     * @param earlier the tallies
     */
    public void addAll(List<Tally> earlier) {
        earlier.forEach(t -> add(t.getCustomer(), t.getSpentTokens()));
    }

    private void add(String customer, long more) {
        if (more != 0) {
            tokens.merge(customer, more, Long::sum);
        }
    }

    /**
     * Returns the tally of a customer.
     *
     * @param customer the customer
     * @return tokens; below zero when more was given back than taken
     */
    public long of(CustomerId customer) {
        return tokens.getOrDefault(customer.value(), 0L);
    }

    /**
     * Returns all tallies.
     *
     * @return a tally for each customer
     */
    public List<Tally> list() {
        return tokens.entrySet().stream()
                .map(e -> Tally.newBuilder()
                        .setCustomer(e.getKey())
                        .setSpentTokens(e.getValue())
                        .build())
                .toList();
    }
}
