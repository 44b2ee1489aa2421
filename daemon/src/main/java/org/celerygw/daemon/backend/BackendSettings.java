package org.celerygw.daemon.backend;

/**
 * Settings of the connections to backend servers.
 *
 * @param connectTimeoutMs the timeout for opening a connection
 * @param silenceTimeoutMs the time without any data after which the connection of a model call is replaced
 * @param controlTimeoutMs the timeout of a control request, such as one for a load report
 * @param maxConnections the maximum number of connections to one backend server
 * @param maxResumes the maximum number of consecutive resumes of a model call without any progress
 * @param maxResponseBytes the maximum size of the response to a model call
 */
public record BackendSettings(
        int connectTimeoutMs,
        long silenceTimeoutMs,
        long controlTimeoutMs,
        int maxConnections,
        int maxResumes,
        int maxResponseBytes) {
    /** Settings for engines with a round-trip time of a few milliseconds. */
    public static final BackendSettings DEFAULT = new BackendSettings(1_000, 3_000, 1_000, 1_024, 3, 16 * 1024 * 1024);

    /**
     * Returns a copy of these settings with another silence timeout.
     *
     * @param newSilenceTimeoutMs the time without any data after which the connection of a model call is replaced
     * @return the copy
     */
    public BackendSettings withSilenceTimeoutMs(long newSilenceTimeoutMs) {
        return new BackendSettings(
                connectTimeoutMs, newSilenceTimeoutMs, controlTimeoutMs, maxConnections, maxResumes, maxResponseBytes);
    }
}
