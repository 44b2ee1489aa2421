package org.celerygw.daemon.backend;

/**
 * Settings of the connections to backend servers.
 *
 * @param connectTimeoutMs how long opening a connection may take
 * @param silenceMs a connection under a model call that sends nothing for so long is dropped
 * @param askTimeoutMs how long a small request such as a load report may take
 * @param maxConnections the most connections to one backend server
 * @param maxResumes how often in a row a model call is resumed without any progress
 * @param maxAnswerBytes the largest answer
 */
public record BackendSettings(
        int connectTimeoutMs,
        long silenceMs,
        long askTimeoutMs,
        int maxConnections,
        int maxResumes,
        int maxAnswerBytes) {
    /** The settings that suit engines within a few milliseconds. */
    public static final BackendSettings DEFAULT = new BackendSettings(1_000, 3_000, 1_000, 1_024, 3, 16 * 1024 * 1024);

    /**
     * Returns the same settings with another silence bound.
     *
     * @param newSilenceMs a connection that sends nothing for so long is dropped
     * @return the settings
     */
    public BackendSettings withSilenceMs(long newSilenceMs) {
        return new BackendSettings(
                connectTimeoutMs, newSilenceMs, askTimeoutMs, maxConnections, maxResumes, maxAnswerBytes);
    }
}
