package org.celerygw.cli;

import org.celerygw.core.error.RunState;

/** The daemon did not answer. */
final class UnreachableException extends RuntimeException {
    /** The same as for the other kinds of temporary unavailability. */
    static final int EXIT_CODE = 10;

    private static final long serialVersionUID = 1L;

    private final RunState runState;

    UnreachableException(RunState runState, String message) {
        super(message);
        this.runState = runState;
    }

    /** Returns NOT_RUN when the request never left, else UNKNOWN. */
    RunState runState() {
        return runState;
    }
}
