package org.celerygw.cli;

/** The implementation of a subcommand. */
@FunctionalInterface
interface Command {
    /**
     * Runs the subcommand and prints its result.
     *
     * @param session the arguments, the output and the connection to a daemon
     * @return the exit code, 0 on success
     * @throws org.celerygw.core.error.GatewayException with the error code and run state that the daemon returned
     */
    int run(Session session);
}
