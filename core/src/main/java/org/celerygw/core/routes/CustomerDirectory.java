package org.celerygw.core.routes;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.celerygw.core.id.CustomerId;

/** The customers of one version of the configuration with their keys; immutable. Keys are not part of any text form. */
public final class CustomerDirectory {
    /** No customers: requests need no key. */
    public static final CustomerDirectory EMPTY = new CustomerDirectory(List.of(), false);

    private final Map<String, Customer> byKey = new HashMap<>();
    private final Map<CustomerId, Customer> byId = new HashMap<>();
    private final boolean requiresKeys;
    private final List<String> problems;

    /**
     * A customer with its keys.
     *
     * @param customer the customer
     * @param keys the keys by which requests name it
     */
    public record Entry(Customer customer, List<String> keys) {
        /** Copies the keys. */
        public Entry {
            keys = List.copyOf(keys);
        }

        @Override
        public String toString() {
            return "Entry[customer=" + customer + ", keys=" + keys.size() + "]";
        }
    }

    /**
     * Creates a directory. If several customers hold the same key, it belongs to the first; the first of several entries
     * with the same id applies.
     *
     * @param entries the customers with their keys
     * @param requiresKeys whether requests need a key, also if no entry could be decoded
     */
    public CustomerDirectory(List<Entry> entries, boolean requiresKeys) {
        this(entries, requiresKeys, List.of());
    }

    /**
     * Creates a directory of a configuration with errors.
     *
     * @param entries the customers with their keys
     * @param requiresKeys whether requests need a key, also if no entry could be decoded
     * @param problems what could not be decoded, for the log; without keys
     */
    public CustomerDirectory(List<Entry> entries, boolean requiresKeys, List<String> problems) {
        this.requiresKeys = requiresKeys;
        this.problems = List.copyOf(problems);
        entries.forEach(entry -> {
            Customer customer = entry.customer();
            if (byId.putIfAbsent(customer.id(), customer) == null) {
                entry.keys().forEach(key -> byKey.putIfAbsent(key, customer));
            }
        });
    }

    /**
     * Returns whether requests need a key unless their route is open.
     *
     * @return false if the configuration names no customers
     */
    public boolean requiresKeys() {
        return requiresKeys;
    }

    /**
     * Returns what could not be decoded.
     *
     * @return one text without keys per problem
     */
    public List<String> problems() {
        return problems;
    }

    /**
     * Looks up the customer that holds a key.
     *
     * @param key the key
     * @return the customer; empty if the key is unknown
     */
    public Optional<Customer> byKey(String key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /**
     * Looks up a customer by id.
     *
     * @param id the customer's id
     * @return the customer; empty if there is none of that id
     */
    public Optional<Customer> byId(CustomerId id) {
        return Optional.ofNullable(byId.get(id));
    }

    /**
     * Returns all customers.
     *
     * @return the customers, in no particular order
     */
    public Collection<Customer> all() {
        return List.copyOf(byId.values());
    }
}
