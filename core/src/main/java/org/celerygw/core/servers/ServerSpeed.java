package org.celerygw.core.servers;

/**
 * How fast one incarnation of a server is, compared with the mean of its service: the time that it takes for a unit of
 * work, where a unit is what takes 1 ms at a server of mean speed. Learned from this host's responses and from what peers
 * report, both decayed with age, so that an estimate without new samples becomes the mean again. Not thread-safe.
 */
public final class ServerSpeed {
    /** How long one trial of a slow server by any host is enough, in ms. */
    static final long TRIAL_INTERVAL_MS = 2_000;

    private static final double HALF_LIFE_MS = 5_000;
    /** Times further from the mean say no more about the speed; they come from faults. */
    private static final double MAX_LOG = Math.log(4);
    /** A sample moves a known speed by no more than one of twice or half the speed does. */
    private static final double MAX_LOG_STEP = Math.log(2);

    private static final double MIN_WEIGHT_TO_CLIP = 3;
    /** A slow moment affects all requests in flight: the samples of one window add little to its first. */
    private static final long WINDOW_MS = 500;

    private static final double MIN_WEIGHT_TO_REPORT = 2;
    private static final double PEER_WEIGHT = 4;
    private static final double MIN_DEVIATION = 0.05;
    /** Smaller differences are not worth a different choice. */
    private static final double MIN_LOG = 0.1;

    private static final double CONFIDENCE_DEVIATIONS = 2.5;
    private static final double PRIOR_WEIGHT = 1;
    /** A decision compares all servers of a service, so that the quotient is not computed for each decision. */
    private static final long SLOWNESS_VALIDITY_MS = 100;

    private static final double SLOW_FACTOR = 1.25;

    private double logMean;
    private double variance;
    private double weight;
    private long lastSampleMs = Long.MIN_VALUE / 2;
    private long windowStartMs = Long.MIN_VALUE / 2;
    private int windowSamples;
    private double peersLogMean;
    private double peersWeight;
    private long peersAtMs;
    private long peersSampleMs = Long.MIN_VALUE / 2;
    private long lastTrialMs = Long.MIN_VALUE / 2;
    private double localOffset;
    private double serviceLogMean;
    private double slowness = 1;
    private long slownessUntilMs = Long.MIN_VALUE;

    /**
     * Records the time that this server took for a unit of work.
     *
     * @param unitMs the time of a response, divided by the time that a server of mean speed takes for the same work
     * @param nowMs the current time, in ms
     */
    public void record(double unitMs, long nowMs) {
        if (nowMs - windowStartMs >= WINDOW_MS) {
            windowStartMs = nowMs;
            windowSamples = 0;
        }
        windowSamples++;
        weight = decayed(weight, nowMs - lastSampleMs);
        lastSampleMs = nowMs;
        double sample = clip(Math.log(unitMs), 0, MAX_LOG);
        if (weight >= MIN_WEIGHT_TO_CLIP) {
            sample = clip(sample, logMean, MAX_LOG_STEP);
        }
        double sampleWeight = 1.0 / windowSamples;
        double difference = sample - logMean;
        double totalWeight = weight + sampleWeight;
        logMean += difference * sampleWeight / totalWeight;
        variance = (weight * variance + sampleWeight * difference * (sample - logMean)) / totalWeight;
        weight = totalWeight;
    }

    private static double clip(double value, double middle, double distance) {
        return Math.max(middle - distance, Math.min(middle + distance, value));
    }

    private static double decayed(double value, long ageMs) {
        return value * Math.pow(0.5, Math.max(0.0, (double) ageMs) / HALF_LIFE_MS);
    }

    /**
     * Forgets what peers have reported, before {@link #addPeer} adds their latest reports.
     *
     * @param nowMs the current time, in ms
     */
    public void clearPeers(long nowMs) {
        peersWeight = 0;
        peersLogMean = 0;
        peersAtMs = nowMs;
    }

    /**
     * Adds what a peer reports.
     *
     * @param unitMs the time that the server takes for a unit of work; 0 or less if the peer does not know it
     * @param sampleAgeMs the age of the peer's latest sample, in ms
     */
    public void addPeer(double unitMs, long sampleAgeMs) {
        if (!(unitMs > 0) || unitMs == Double.POSITIVE_INFINITY) {
            return;
        }
        double added = decayed(PEER_WEIGHT, sampleAgeMs);
        double total = peersWeight + added;
        if (total > 0) {
            peersLogMean += (clip(Math.log(unitMs), 0, MAX_LOG) - peersLogMean) * added / total;
            peersWeight = total;
        }
        peersSampleMs = Math.max(peersSampleMs, peersAtMs - Math.max(0, sampleAgeMs));
    }

    /** Sets the mean over the servers of the service, as a logarithm: speeds are relative to it. */
    void setServiceLogMean(double mean) {
        serviceLogMean = mean;
        slownessUntilMs = Long.MIN_VALUE;
    }

    /** Sets what is added to the logarithms of this host's samples to compare them with those of its peers. */
    void setLocalOffset(double offset) {
        localOffset = offset;
    }

    /** Returns whether both this host and its peers have samples. */
    boolean isKnownToPeersAsWell(long nowMs) {
        return isKnownLocally(nowMs) && decayed(peersWeight, nowMs - peersAtMs) >= MIN_WEIGHT_TO_REPORT;
    }

    /** Returns by how much the peers' samples exceed those of this host, as a logarithm. */
    double peersExcess() {
        return peersLogMean - logMean;
    }

    /** Returns the weight of the samples of this host and of its peers; 1 for a sample of now. */
    double weight(long nowMs) {
        return decayed(weight, nowMs - lastSampleMs) + decayed(peersWeight, nowMs - peersAtMs);
    }

    /** Returns the logarithm of the time for a unit of work, by the samples of this host and of its peers. */
    double logMean(long nowMs) {
        double own = decayed(weight, nowMs - lastSampleMs);
        double peers = decayed(peersWeight, nowMs - peersAtMs);
        return own + peers <= 0 ? 0 : (own * (logMean + localOffset) + peers * peersLogMean) / (own + peers);
    }

    /** Returns the same, closer to that of the mean speed the fewer samples there are. */
    double shrunkLogMean(long nowMs) {
        double total = weight(nowMs);
        return logMean(nowMs) * total / (total + PRIOR_WEIGHT);
    }

    /**
     * Returns whether this host has samples to report to its peers.
     *
     * @param nowMs the current time, in ms
     * @return false if there are too few or they are too old
     */
    public boolean isKnownLocally(long nowMs) {
        return decayed(weight, nowMs - lastSampleMs) >= MIN_WEIGHT_TO_REPORT;
    }

    /**
     * Returns the time for a unit of work by the samples of this host alone.
     *
     * @return the time, in ms
     */
    public double localUnitMs() {
        return Math.exp(logMean);
    }

    /**
     * Returns the age of the latest sample of this host.
     *
     * @param nowMs the current time, in ms
     * @return the age, in ms
     */
    public long localSampleAgeMs(long nowMs) {
        return nowMs - lastSampleMs;
    }

    /**
     * Returns the age of the latest sample of this host or any peer.
     *
     * @param nowMs the current time, in ms
     * @return the age, in ms; very large if there is none
     */
    public long sampleAgeMs(long nowMs) {
        return nowMs - Math.max(lastSampleMs, peersSampleMs);
    }

    /**
     * Returns the time that this server takes for a unit of work, compared with the mean of its service.
     *
     * @param nowMs the current time, in ms
     * @return the quotient; above 1 for a slow server; exactly 1 unless the samples show a difference for certain
     */
    public double slowness(long nowMs) {
        if (nowMs >= slownessUntilMs) {
            slowness = computeSlowness(nowMs);
            slownessUntilMs = nowMs + SLOWNESS_VALIDITY_MS;
        }
        return slowness;
    }

    private double computeSlowness(long nowMs) {
        double total = weight(nowMs);
        double difference = logMean(nowMs) - serviceLogMean;
        if (total < PRIOR_WEIGHT || Math.abs(difference) <= MIN_LOG) {
            return 1;
        }
        double deviation = Math.max(MIN_DEVIATION, Math.sqrt(variance));
        double uncertainty = CONFIDENCE_DEVIATIONS * deviation / Math.sqrt(total) + MIN_LOG;
        return Math.abs(difference) <= uncertainty ? 1 : Math.exp(difference * total / (total + PRIOR_WEIGHT));
    }

    /** Returns whether a slow server should get a request, since no host has tried it lately. */
    boolean needsTrial(long nowMs) {
        return slowness(nowMs) > SLOW_FACTOR
                && nowMs - lastTrialMs >= TRIAL_INTERVAL_MS
                && sampleAgeMs(nowMs) >= TRIAL_INTERVAL_MS;
    }

    void recordTrial(long nowMs) {
        lastTrialMs = nowMs;
    }
}
