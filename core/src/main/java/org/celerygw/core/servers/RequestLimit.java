package org.celerygw.core.servers;

/**
 * The request limit of one incarnation of a server, as its responses and the peers tell, and the permit that this host
 * holds to send it one request. What a response to this host says holds until another response says otherwise; what
 * peers tell is forgotten after {@value #MAX_TOLD_AGE_MS} ms. Peers tell only that there is a limit: whether it has ended
 * is for each host to see itself, since a late message would lift a limit that is named again. Not thread-safe.
 */
public final class RequestLimit {
    /** Maximum age of a response on whose word peers tell of a limit, in ms. */
    public static final long MAX_TOLD_AGE_MS = 10_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private double namedPerS = Double.POSITIVE_INFINITY;
    private long namedAtMs = NEVER;
    private double toldPerS;
    private long toldAtMs = NEVER;
    private long permitFromMs = NEVER;
    private long permitUntilMs = NEVER;
    private long replyExpectedUntilMs = NEVER;
    private long nextPermitRequestMs = NEVER;

    RequestLimit() {}

    /**
     * Records what a response to this host says.
     *
     * @param requestsPerS the requests per second that the server accepts from all hosts; infinite if it names no limit
     * @param nowMs the current time, in ms
     * @return whether the limit, as known to this host, has changed
     */
    public boolean recordResponse(double requestsPerS, long nowMs) {
        double before = perS(nowMs);
        namedPerS = requestsPerS;
        namedAtMs = nowMs;
        return before != perS(nowMs);
    }

    /**
     * Records what a peer tells. Ignored if it is too old, or older than what is known.
     *
     * @param requestsPerS the requests per second that the server accepts from all hosts
     * @param ageMs the age of the response that said so, in ms
     * @param nowMs the current time, in ms
     * @return whether the server has a limit now and had none before
     */
    public boolean recordTold(double requestsPerS, long ageMs, long nowMs) {
        long atMs = nowMs - Math.max(0, ageMs);
        if (!(requestsPerS > 0) || nowMs - atMs > MAX_TOLD_AGE_MS || atMs <= Math.max(namedAtMs, toldAtMs)) {
            return false;
        }
        boolean isNew = !isInForce(nowMs);
        toldPerS = requestsPerS;
        toldAtMs = atMs;
        return isNew;
    }

    /**
     * Returns the limit.
     *
     * @param nowMs the current time, in ms
     * @return the requests per second that the server accepts from all hosts; infinite if it has no limit
     */
    public double perS(long nowMs) {
        boolean told = toldAtMs > namedAtMs && nowMs - toldAtMs <= MAX_TOLD_AGE_MS;
        return told ? toldPerS : namedPerS;
    }

    /**
     * Returns whether there is a limit.
     *
     * @param nowMs the current time, in ms
     * @return true if each request needs a permit
     */
    public boolean isInForce(long nowMs) {
        return perS(nowMs) < Double.POSITIVE_INFINITY;
    }

    /**
     * Returns the age of what is known, for the peers.
     *
     * @param nowMs the current time, in ms
     * @return the time since a response named the limit, in ms
     */
    public long ageMs(long nowMs) {
        return nowMs - Math.max(namedAtMs, toldAtMs);
    }

    /**
     * Returns whether a request may be sent now.
     *
     * @param nowMs the current time, in ms
     * @return true without a limit, and if a permit is held
     */
    public boolean allowsRequest(long nowMs) {
        return !isInForce(nowMs) || (permitFromMs <= nowMs && nowMs < permitUntilMs);
    }

    /**
     * Returns whether a permit should be asked for.
     *
     * @param nowMs the current time, in ms
     * @return false if one is held or was asked for, or if the host that issues them said when to ask again
     */
    public boolean mayRequestPermit(long nowMs) {
        return isInForce(nowMs) && nowMs >= permitUntilMs && nowMs >= nextPermitRequestMs;
    }

    /**
     * Returns whether a permit is held, or one was asked for and not answered yet.
     *
     * @param nowMs the current time, in ms
     * @return true if a request can probably be sent soon
     */
    public boolean expectsPermit(long nowMs) {
        return nowMs < permitUntilMs || nowMs < replyExpectedUntilMs;
    }

    /**
     * Takes back a permit that has expired, so that it can be returned.
     *
     * @param nowMs the current time, in ms
     * @return whether the last permit was not used; false when asked again
     */
    public boolean takeUnusedPermit(long nowMs) {
        boolean unused = permitUntilMs != NEVER && nowMs >= permitUntilMs;
        if (unused) {
            permitUntilMs = NEVER;
        }
        return unused;
    }

    /**
     * Records that a permit was asked for.
     *
     * @param untilMs until when to expect the reply, in ms
     */
    public void permitRequested(long untilMs) {
        replyExpectedUntilMs = untilMs;
        nextPermitRequestMs = untilMs;
    }

    /**
     * Records that no permit was granted.
     *
     * @param untilMs the earliest time of the next request, in ms
     */
    public void permitRefused(long untilMs) {
        replyExpectedUntilMs = NEVER;
        nextPermitRequestMs = untilMs;
    }

    /**
     * Records a permit to send one request.
     *
     * @param fromMs when its validity begins, in ms
     * @param untilMs when its validity ends, in ms
     */
    public void grantPermit(long fromMs, long untilMs) {
        permitFromMs = fromMs;
        permitUntilMs = untilMs;
        replyExpectedUntilMs = NEVER;
        nextPermitRequestMs = NEVER;
    }

    void usePermit() {
        permitUntilMs = NEVER;
    }
}
