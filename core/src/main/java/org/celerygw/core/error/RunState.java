package org.celerygw.core.error;

/** Whether a request took effect at its back end. */
public enum RunState {
    /** It did not run and will not. */
    NOT_RUN,
    /** It ran. */
    RUN,
    /** It may have run; nobody here can tell. */
    UNKNOWN
}
