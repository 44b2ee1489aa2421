package org.celerygw.standin;

/** The faults that stand-ins can inject; each stand-in documents which ones it supports. */
public enum Fault {
    /** The stand-in is unavailable: requests fail without effect. */
    DOWN,
    /** Requests are delayed before they take effect; see {@link Faults#setDelayMs(long)}. */
    SLOW,
    /** The request takes effect, but its response is lost. */
    LOST_ANSWER,
    /** The request is refused without effect. */
    REFUSED,
    /** No response is sent and the connection stays open; each stand-in documents whether the request takes effect. */
    HANG,
    /** The response is a server error. */
    FAILED,
    /** The response body cannot be parsed. */
    GARBAGE,
    /** The response is truncated. */
    HALF
}
