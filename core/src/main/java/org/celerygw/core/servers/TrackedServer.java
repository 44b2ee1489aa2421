package org.celerygw.core.servers;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * One incarnation of a backend server with its load and its health, as derived from its responses and from the peers'
 * digests. Not thread-safe.
 */
public final class TrackedServer {
    private static final long MIN_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 2_000;
    private static final long OVERLOAD_PAUSE_MS = 40;
    private static final int MAX_BACKOFF_DOUBLINGS = 5;
    private static final double SMOOTHING_FACTOR = 0.2;
    private static final double HIGH_FAILURE_RATE = 0.25;
    private static final double FAILURE_RATE_HALF_LIFE_MS = 3_000;

    private final byte[] idBytes;
    private BackendServer entry;
    private boolean hasLeft;
    private boolean leaving;
    private int inFlight;
    private long ownTokens;
    private PeersLoad peers = PeersLoad.NONE;
    private int silentPeers;
    private int consecutiveFailures;
    private long pausedUntilMs;
    private double failureRate;
    private long failureRateAtMs;
    private boolean peersReportFailures;
    private final RequestLimit limit = new RequestLimit();
    private final ServerSpeed speed = new ServerSpeed();
    private final PromptCache promptCache = new PromptCache();

    TrackedServer(BackendServer entry) {
        this.entry = entry;
        this.idBytes = entry.id().getBytes(UTF_8);
    }

    /**
     * Returns the latest registered entry.
     *
     * @return the entry
     */
    public BackendServer entry() {
        return entry;
    }

    /**
     * Returns whether new requests may be sent.
     *
     * @return false if the server is draining, has said that it leaves, or has left
     */
    public boolean isUsable() {
        return !hasLeft && !leaving && !entry.draining();
    }

    /**
     * Records that the server has said in a response that it leaves. That is permanent for this incarnation, whatever its
     * entry says.
     *
     * @return true if it had not said so before
     */
    public boolean markLeaving() {
        boolean first = !leaving;
        leaving = true;
        return first;
    }

    /**
     * Returns whether the entry of this incarnation was removed from the list and has not returned.
     *
     * @return true if no requests may be sent
     */
    public boolean hasLeft() {
        return hasLeft;
    }

    /**
     * Returns the number of requests in flight, from this host and its peers.
     *
     * @return the number of requests; the peers' part is an estimate
     */
    public int load() {
        return inFlight + (int) Math.round(Math.max(0, peers.requests()));
    }

    /**
     * Returns the number of requests in flight from this host.
     *
     * @return the number of requests
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the memory that the requests in flight can hold at their end, from this host and its peers.
     *
     * @return the number of tokens; the peers' part is an estimate
     */
    public long tokensInFlight() {
        return ownTokens + Math.round(Math.max(0, peers.tokens()));
    }

    /**
     * Returns the memory that the requests in flight from this host can hold at their end.
     *
     * @return the number of tokens
     */
    public long ownTokens() {
        return ownTokens;
    }

    /**
     * Returns whether the server's memory suffices for one more request beside those in flight, as {@link #memoryRoom} does.
     *
     * @param tokens the memory that the request can hold at its end, in tokens; 0 if not known
     * @param memoryTokens the server's memory, in tokens; 0 if not known
     * @return true if it fits, or if either size is not known
     */
    public boolean hasMemory(long tokens, int memoryTokens) {
        return memoryRoom(tokens, memoryTokens) > 0;
    }

    /**
     * Returns for how many more requests the server's memory suffices beside those in flight. A part of the peers' load is
     * kept free, since it is an estimate. A host that hears of no peer any more keeps to its part of the memory, so that all
     * hosts together do not exceed it, but it may always run one request.
     *
     * @param tokens the memory that each of the requests can hold at its end, in tokens; 0 if not known
     * @param memoryTokens the server's memory, in tokens; 0 if not known
     * @return the number of requests; {@link Integer#MAX_VALUE} if either size is not known
     */
    public int memoryRoom(long tokens, int memoryTokens) {
        if (tokens <= 0 || memoryTokens <= 0) {
            return Integer.MAX_VALUE;
        }
        double unsizedTokens = peers.unsizedRequests() * memoryTokens / Math.max(1, entry.slots());
        double peersTokens = peers.tokens() + peers.marginTokens() + unsizedTokens;
        double freeTokens = memoryTokens - ownTokens - Math.max(0, peersTokens);
        int room = (int) Math.max(0, freeTokens / tokens);
        if (silentPeers == 0) {
            return room;
        }
        long ownPartTokens = memoryTokens / (silentPeers + 1) - ownTokens;
        return (int) Math.min(room, Math.max(ownTokens > 0 ? 0 : 1, ownPartTokens / tokens));
    }

    /**
     * Sets the estimated load from the peers.
     *
     * @param load the load
     * @param silent the number of peers if no digest of any of them has arrived lately; otherwise 0
     */
    public void setPeersLoad(PeersLoad load, int silent) {
        peers = load;
        silentPeers = silent;
    }

    /**
     * Changes the estimated load from the peers, from one of which a digest has just arrived.
     *
     * @param factor a factor by which to multiply the load; negative to subtract it
     * @param load the load to add
     */
    public void addPeersLoad(double factor, PeersLoad load) {
        peers = peers.plus(factor, load);
        silentPeers = 0;
    }

    /** Records that a request of unknown size was sent, which uses up a permit. */
    public void requestStarted() {
        requestStarted(0);
    }

    /**
     * Records that a request was sent, which uses up a permit.
     *
     * @param tokens the memory that it can hold at its end, in tokens; 0 if not known
     */
    public void requestStarted(long tokens) {
        inFlight++;
        ownTokens += tokens;
        limit.usePermit();
    }

    /** Records that a request of unknown size ended, successfully or not. */
    public void requestEnded() {
        requestEnded(0);
    }

    /**
     * Records that a request ended, successfully or not.
     *
     * @param tokens the same as when it was sent
     */
    public void requestEnded(long tokens) {
        inFlight--;
        ownTokens -= tokens;
    }

    /**
     * Records a successful response, which ends any pause.
     *
     * @param nowMs the current time, in ms
     */
    public void recordSuccess(long nowMs) {
        consecutiveFailures = 0;
        pausedUntilMs = 0;
        updateFailureRate(0, nowMs);
    }

    /**
     * Records a response that reports a failure of the server. Raises the failure rate but does not pause the server.
     *
     * @param nowMs the current time, in ms
     */
    public void recordErrorResponse(long nowMs) {
        updateFailureRate(1, nowMs);
    }

    /**
     * Records a failure without a response. Pauses the server with exponential backoff.
     *
     * @param nowMs the current time, in ms
     */
    public void recordFailure(long nowMs) {
        long pauseMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << Math.min(consecutiveFailures, MAX_BACKOFF_DOUBLINGS));
        consecutiveFailures++;
        pausedUntilMs = nowMs + pauseMs;
        updateFailureRate(1, nowMs);
    }

    /**
     * Returns whether so many recent requests failed that other servers should be preferred. The failure rate decays
     * over time, so that the server is tried again.
     *
     * @param nowMs the current time, in ms
     * @return true if the failure rate is high at this host or enough peers report that it is at theirs
     */
    public boolean hasHighFailureRate(long nowMs) {
        return peersReportFailures || hasHighLocalFailureRate(nowMs);
    }

    /**
     * Returns whether many recent requests of this host failed.
     *
     * @param nowMs the current time, in ms
     * @return true if other servers should be preferred
     */
    public boolean hasHighLocalFailureRate(long nowMs) {
        // It only decays, so that a low rate need not be computed.
        return failureRate > HIGH_FAILURE_RATE && failureRateAt(nowMs) > HIGH_FAILURE_RATE;
    }

    /**
     * Sets whether enough peers report a high failure rate of this server.
     *
     * @param reported whether they do
     */
    public void setPeersReportFailures(boolean reported) {
        peersReportFailures = reported;
    }

    private void updateFailureRate(double failure, long nowMs) {
        double previousRate = failureRateAt(nowMs);
        failureRate = previousRate + SMOOTHING_FACTOR * (failure - previousRate);
        failureRateAtMs = nowMs;
    }

    private double failureRateAt(long nowMs) {
        return failureRate * Math.pow(0.5, (nowMs - failureRateAtMs) / FAILURE_RATE_HALF_LIFE_MS);
    }

    /**
     * Records that the server had no free capacity. Pauses it for {@value #OVERLOAD_PAUSE_MS} ms.
     *
     * @param nowMs the current time, in ms
     */
    public void recordOverload(long nowMs) {
        pausedUntilMs = Math.max(pausedUntilMs, nowMs + OVERLOAD_PAUSE_MS);
    }

    /**
     * Returns whether the server is paused after a failure or an overload.
     *
     * @param nowMs the current time, in ms
     * @return true while other servers should be preferred
     */
    public boolean isPaused(long nowMs) {
        return nowMs < pausedUntilMs;
    }

    /**
     * Returns the server's request limit.
     *
     * @return the limit and the permits under it
     */
    public RequestLimit limit() {
        return limit;
    }

    /**
     * Returns the server's speed.
     *
     * @return the speed as learned from responses of this incarnation
     */
    public ServerSpeed speed() {
        return speed;
    }

    /**
     * Returns the shared parts of prompts that this engine probably holds.
     *
     * @return the parts as sent to this incarnation
     */
    public PromptCache promptCache() {
        return promptCache;
    }

    /** Returns the id, encoded once for the hashes of many decisions; not to be changed. */
    byte[] idBytes() {
        return idBytes;
    }

    /** Records the entry as registered now, for the first time, changed, or again. */
    void onRegistered(BackendServer newEntry) {
        entry = newEntry;
        hasLeft = false;
    }

    void markLeft() {
        hasLeft = true;
    }
}
