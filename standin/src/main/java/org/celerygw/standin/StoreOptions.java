package org.celerygw.standin;

/**
 * Settings of the stand-in for the platform's store.
 *
 * @param port the port to listen on; 0 for any free port
 * @param hostListLagMs delay until readers see a change of the host list
 * @param weightBytesPerS total read rate of the weight store
 * @param weightBytes size of each model's weights
 */
public record StoreOptions(int port, long hostListLagMs, long weightBytesPerS, long weightBytes) {
    private static final long MEBIBYTE = 1024L * 1024;

    /**
     * Returns settings with a host list that lags by 500 ms, and 10 MiB of weights read at 100 MiB/s.
     *
     * @param port the port to listen on; 0 for any free port
     * @return the settings
     */
    public static StoreOptions onPort(int port) {
        return new StoreOptions(port, 500, 100 * MEBIBYTE, 10 * MEBIBYTE);
    }
}
