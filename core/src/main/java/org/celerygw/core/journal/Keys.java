package org.celerygw.core.journal;

import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.Slot;

/** The keys of the rows that owners keep. */
public final class Keys {
    /** Begins the keys of all heads. */
    public static final String HEADS = "host/";

    /** Begins the keys of all slot rows. */
    public static final String SLOTS = "slot/";

    private static final int BATCH_DIGITS = 12;
    private static final int SLOT_DIGITS = 4;

    private Keys() {}

    /**
     * Returns the key of a journal's head, which is its host's liveness row as well.
     *
     * @param host the host
     * @return the key
     */
    public static String head(HostId host) {
        return HEADS + host;
    }

    /**
     * Returns the key of a batch.
     *
     * @param host the journal's host
     * @param seq the batch's number
     * @return the key; keys sort as the numbers do
     */
    public static String batch(String host, long seq) {
        return "journal/" + host + "/" + padded(seq, BATCH_DIGITS);
    }

    /**
     * Returns the key of a slot's row.
     *
     * @param slot the slot
     * @return the key; keys sort as the numbers do
     */
    public static String slot(Slot slot) {
        return SLOTS + padded(slot.number(), SLOT_DIGITS);
    }

    private static String padded(long number, int digits) {
        String plain = Long.toString(number);
        return "0".repeat(Math.max(0, digits - plain.length())) + plain;
    }

    /**
     * Returns the key of a customer's grants.
     *
     * @param customer the customer
     * @return the key
     */
    public static String grant(CustomerId customer) {
        return "grant/" + customer;
    }
}
