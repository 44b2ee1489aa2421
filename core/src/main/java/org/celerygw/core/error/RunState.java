package org.celerygw.core.error;

/** Whether a request ran at its backend server. */
public enum RunState {
    /** It did not run and will not run. */
    NOT_RUN,
    /** It ran. */
    RUN,
    /** It may have run; the outcome is unknown. */
    UNKNOWN
}
