package org.celerygw.core.placement;

/**
 * One host's share of the weight store's rate limit, as a token bucket. The limit is divided by the live hosts, so
 * that no agreement is needed.
 */
public final class WeightShare {
    private static final double MAX_SAVED = 2;

    private final double loadsPerMinute;
    private double saved = 1;
    private long filledMs = Long.MIN_VALUE;
    private int hosts;

    /**
     * Makes a share.
     *
     * @param loadsPerMinute the store's limit for the whole fleet
     * @param hosts the hosts that share it
     */
    public WeightShare(double loadsPerMinute, int hosts) {
        this.loadsPerMinute = loadsPerMinute;
        this.hosts = Math.max(1, hosts);
    }

    /**
     * Changes the number of hosts.
     *
     * @param now the hosts that share the limit
     */
    public void hosts(int now) {
        hosts = Math.max(1, now);
    }

    /**
     * Takes the right to one load.
     *
     * @param nowMs the time now
     * @return true when a load may begin
     */
    public boolean take(long nowMs) {
        if (filledMs != Long.MIN_VALUE) {
            saved = Math.min(MAX_SAVED, saved + Math.max(0, nowMs - filledMs) * loadsPerMinute / hosts / 60_000);
        }
        filledMs = nowMs;
        if (saved < 1) {
            return false;
        }
        saved -= 1;
        return true;
    }
}
