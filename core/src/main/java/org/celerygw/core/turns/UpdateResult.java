package org.celerygw.core.turns;

/** Result of an update of a program: a reservation or a settlement. */
public enum UpdateResult {
    /** The update is committed to the store. */
    COMMITTED,
    /** The reservation exceeds the budget according to an up-to-date program row; nothing was written. */
    BUDGET_EXCEEDED,
    /** The store did not confirm the update before its deadline; it may still take effect. */
    UNAVAILABLE
}
