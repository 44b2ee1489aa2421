package org.celerygw.core.routes;

/**
 * Tracks when this host last knew that its configuration was the newest one, and decides from that what it may conclude
 * about a customer's key. The store's answers confirm the configuration, and so do digests of peers that the store
 * answers. Not thread-safe.
 */
public final class ConfigFreshness {
    /** A new key must be accepted by this time after it was written, so that until then a host need not know it. */
    private static final long MAX_UNCONFIRMED_MS = 3_000;

    /** A peer reports for this long after the store's last answer that it answers, so its confirmation may be this old. */
    private static final long PEER_ANSWER_AGE_MS = 2_500;

    /** Many requests with unknown keys cause no more reads from peers than this. */
    private static final long MIN_ASK_INTERVAL_MS = 500;

    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private final long revokeMs;
    private final boolean strictRevocation;
    private long confirmedAtMs = NEVER_MS;
    private long newerVersion;
    private long newerSeenAtMs = NEVER_MS;
    private long askedAtMs = NEVER_MS;

    /**
     * Creates a tracker of a configuration that nothing has confirmed yet.
     *
     * @param revokeMs how long known keys are accepted without a confirmation if revocation is strict, in ms
     * @param strictRevocation whether known keys are no longer accepted after that time
     */
    public ConfigFreshness(long revokeMs, boolean strictRevocation) {
        this.revokeMs = revokeMs;
        this.strictRevocation = strictRevocation;
    }

    /**
     * Records that the store has answered and that its answer is applied.
     *
     * @param requestedAtMs when the store was asked, since an answer may be delivered late, in ms
     */
    public void recordStoreAnswer(long requestedAtMs) {
        confirmedAtMs = Math.max(confirmedAtMs, requestedAtMs);
    }

    /**
     * Records the digest of a peer.
     *
     * @param peerVersion the version of the configuration in force at the peer
     * @param storeAnswers whether the store answers the peer
     * @param ownVersion the version in force at this host
     * @param nowMs the current time, in ms
     */
    public void recordPeer(long peerVersion, boolean storeAnswers, long ownVersion, long nowMs) {
        if (peerVersion > ownVersion) {
            newerVersion = peerVersion;
            newerSeenAtMs = nowMs;
        } else if (storeAnswers && peerVersion == ownVersion) {
            confirmedAtMs = Math.max(confirmedAtMs, nowMs - PEER_ANSWER_AGE_MS);
        }
    }

    /**
     * Returns whether a key that the configuration does not contain is certainly not valid.
     *
     * @param ownVersion the version in force at this host
     * @param nowMs the current time, in ms
     * @return false if a newer configuration may contain the key
     */
    public boolean isNewest(long ownVersion, long nowMs) {
        // A peer that has a newer version repeats it. A claim that is not repeated is dropped, since it may be wrong.
        boolean newerExists = newerVersion > ownVersion && nowMs - newerSeenAtMs < MAX_UNCONFIRMED_MS;
        return !newerExists && nowMs - confirmedAtMs < MAX_UNCONFIRMED_MS;
    }

    /**
     * Returns whether a key that the configuration contains may be accepted.
     *
     * @param nowMs the current time, in ms
     * @return false if revocation is strict and the key may have been removed {@code revokeMs} ago
     */
    public boolean acceptsKnownKeys(long nowMs) {
        return !strictRevocation || nowMs - confirmedAtMs < revokeMs;
    }

    /**
     * Returns whether to ask a peer for the newest configuration now, and counts that as asked.
     *
     * @param nowMs the current time, in ms
     * @return false if a peer was asked shortly before
     */
    public boolean startAsking(long nowMs) {
        if (nowMs - askedAtMs < MIN_ASK_INTERVAL_MS) {
            return false;
        }
        askedAtMs = nowMs;
        return true;
    }
}
