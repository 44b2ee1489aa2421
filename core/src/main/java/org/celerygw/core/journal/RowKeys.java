package org.celerygw.core.journal;

import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.Slot;

/** Builds the keys of the table rows that owners write. */
public final class RowKeys {
    /** The key prefix of all journal head rows. */
    public static final String HEAD_PREFIX = "host/";

    /** The key prefix of all slot rows. */
    public static final String SLOT_PREFIX = "slot/";

    private static final int BATCH_DIGITS = 12;
    private static final int SLOT_DIGITS = 4;

    private RowKeys() {}

    /**
     * Returns the key of a journal's head row, which also serves as its host's liveness row.
     *
     * @param host the host incarnation that writes the journal
     * @return the key
     */
    public static String head(HostId host) {
        return HEAD_PREFIX + host;
    }

    /**
     * Returns the key of a batch row.
     *
     * @param host the host incarnation that wrote the journal
     * @param seq the batch's sequence number
     * @return the key; keys sort in numeric order because the number is padded with zeros
     */
    public static String batch(String host, long seq) {
        return "journal/" + host + "/" + zeroPadded(seq, BATCH_DIGITS);
    }

    /**
     * Returns the key of a slot row.
     *
     * @param slot the slot
     * @return the key; keys sort in numeric order because the number is padded with zeros
     */
    public static String slot(Slot slot) {
        return SLOT_PREFIX + zeroPadded(slot.number(), SLOT_DIGITS);
    }

    private static String zeroPadded(long number, int width) {
        String decimal = Long.toString(number);
        return "0".repeat(Math.max(0, width - decimal.length())) + decimal;
    }

    /**
     * Returns the key of a customer's grant row.
     *
     * @param customer the customer
     * @return the key
     */
    public static String grant(CustomerId customer) {
        return "grant/" + customer;
    }
}
