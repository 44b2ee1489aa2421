package org.celerygw.cli;

import org.celerygw.core.error.RunState;

/** Thrown when no connection to the daemon could be opened or no complete reply was received. */
final class UnreachableException extends RuntimeException {
    /** The exit code, the same as for the other errors of temporary unavailability. */
    static final int EXIT_CODE = 10;

    private static final long serialVersionUID = 1L;

    private final RunState runState;

    UnreachableException(RunState runState, String message) {
        super(message);
        this.runState = runState;
    }

    /** Returns NOT_RUN when the request was not sent, else UNKNOWN. */
    RunState runState() {
        return runState;
    }
}
