package org.celerygw.cli;

/** What one subcommand does. */
@FunctionalInterface
interface Command {
    /**
     * Runs it.
     *
     * @param session its arguments, its output and the connection to a daemon
     * @return the exit code, 0 when all went well
     * @throws org.celerygw.core.error.GatewayException with the daemon's typed failure
     */
    int run(Session session);
}
