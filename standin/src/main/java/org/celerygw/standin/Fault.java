package org.celerygw.standin;

/** The faults that stand-ins can inject; each server documents which it heeds. */
public enum Fault {
    /** Requests fail without effect. */
    DOWN,
    /** Requests wait before they take effect; see {@link Faults#slowMs(long)}. */
    SLOW,
    /** The request takes effect, its answer is lost. */
    LOST_ANSWER,
    /** The request is refused without effect. */
    REFUSED,
    /** The request takes effect and is never answered. */
    HANG,
    /** The request is answered with an error. */
    FAILED,
    /** The answer is unreadable. */
    GARBAGE,
    /** The answer breaks off in the middle. */
    HALF
}
