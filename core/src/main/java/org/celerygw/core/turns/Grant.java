package org.celerygw.core.turns;

/** How a wish to write to a program's row ended. */
public enum Grant {
    /** It is in the store. */
    DONE,
    /** The budget does not hold it, as a fresh row shows; nothing was written. */
    SPENT,
    /** The store did not confirm it in time. */
    UNAVAILABLE
}
