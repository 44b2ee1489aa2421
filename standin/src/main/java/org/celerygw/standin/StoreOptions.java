package org.celerygw.standin;

/**
 * Settings of the store's stand-in.
 *
 * @param port the port; 0 for any
 * @param hostListLagMs how old the host list is that readers see
 * @param weightBytesPerS the weight store's rate
 * @param weightBytes the size of each model's weights
 */
public record StoreOptions(int port, long hostListLagMs, long weightBytesPerS, long weightBytes) {
    private static final long MEBIBYTE = 1024L * 1024;

    /**
     * Returns the settings for a port, with a host list 500 ms old and 100 MiB/s of weights.
     *
     * @param port the port; 0 for any
     * @return the settings
     */
    public static StoreOptions onPort(int port) {
        return new StoreOptions(port, 500, 100 * MEBIBYTE, 10 * MEBIBYTE);
    }
}
