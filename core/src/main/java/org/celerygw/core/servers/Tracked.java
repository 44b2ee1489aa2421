package org.celerygw.core.servers;

/** One incarnation of a backend server with what was learned from its answers. Not thread-safe. */
public final class Tracked {
    private static final long FIRST_PAUSE_MS = 100;
    private static final long LONGEST_PAUSE_MS = 2_000;
    private static final long FULL_PAUSE_MS = 40;
    private static final double RECENT_WEIGHT = 0.2;
    private static final double DOUBTFUL_RATE = 0.25;
    private static final double HALF_LIFE_MS = 3_000;

    private BackendServer server;
    private boolean gone;
    private int inFlight;
    private int peersInFlight;
    private int failuresInRow;
    private long pausedUntilMs;
    private double failureRate;
    private long ratedAtMs;
    private boolean peersDoubt;

    Tracked(BackendServer server) {
        this.server = server;
    }

    /**
     * Returns the newest entry.
     *
     * @return the server
     */
    public BackendServer server() {
        return server;
    }

    /**
     * Returns whether new work may be sent.
     *
     * @return false when it drains or is gone
     */
    public boolean usable() {
        return !gone && !server.draining();
    }

    /**
     * Returns whether this incarnation has left for good.
     *
     * @return true when nothing is to be sent any more
     */
    public boolean gone() {
        return gone;
    }

    /**
     * Returns the requests known to be under way there, from this host and its peers.
     *
     * @return a number of requests
     */
    public int load() {
        return inFlight + peersInFlight;
    }

    /**
     * Returns the requests that this host has under way there.
     *
     * @return a number of requests
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Notes what the peers have under way there.
     *
     * @param requests a number of requests
     */
    public void peersInFlight(int requests) {
        peersInFlight = requests;
    }

    /** Notes that a request was sent. */
    public void begin() {
        inFlight++;
    }

    /** Notes that a request has ended, however it did. */
    public void end() {
        inFlight--;
    }

    /**
     * Notes a sound answer.
     *
     * @param nowMs the time now, in ms
     */
    public void succeeded(long nowMs) {
        failuresInRow = 0;
        pausedUntilMs = 0;
        rate(0, nowMs);
    }

    /**
     * Notes that it answered, but with a failure of its own.
     *
     * @param nowMs the time now, in ms
     */
    public void answeredBadly(long nowMs) {
        rate(1, nowMs);
    }

    /**
     * Notes a failure without an answer; the server rests a while, longer each time.
     *
     * @param nowMs the time now, in ms
     */
    public void failed(long nowMs) {
        long pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS << Math.min(failuresInRow, 5));
        failuresInRow++;
        pausedUntilMs = nowMs + pauseMs;
        rate(1, nowMs);
    }

    /**
     * Returns whether so many requests failed lately that others should be asked first. Failures are forgotten with
     * time, so that it is tried again.
     *
     * @param nowMs the time now, in ms
     * @return true when this host, or its peers, had too many failures
     */
    public boolean doubtful(long nowMs) {
        return peersDoubt || doubtfulHere(nowMs);
    }

    /**
     * Returns whether this host had too many failures.
     *
     * @param nowMs the time now, in ms
     * @return true when others should be asked first
     */
    public boolean doubtfulHere(long nowMs) {
        return rateAt(nowMs) > DOUBTFUL_RATE;
    }

    /**
     * Notes what the peers think.
     *
     * @param doubt whether they had too many failures
     */
    public void peersDoubt(boolean doubt) {
        peersDoubt = doubt;
    }

    private void rate(double failure, long nowMs) {
        double before = rateAt(nowMs);
        failureRate = before + RECENT_WEIGHT * (failure - before);
        ratedAtMs = nowMs;
    }

    private double rateAt(long nowMs) {
        return failureRate * Math.pow(0.5, (nowMs - ratedAtMs) / HALF_LIFE_MS);
    }

    /**
     * Notes that it had no room.
     *
     * @param nowMs the time now, in ms
     */
    public void full(long nowMs) {
        pausedUntilMs = Math.max(pausedUntilMs, nowMs + FULL_PAUSE_MS);
    }

    /**
     * Returns whether it rests after a failure or a lack of room.
     *
     * @param nowMs the time now, in ms
     * @return true while it should be passed over
     */
    public boolean paused(long nowMs) {
        return nowMs < pausedUntilMs;
    }

    void update(BackendServer newer) {
        server = newer;
    }

    void leave() {
        gone = true;
    }
}
