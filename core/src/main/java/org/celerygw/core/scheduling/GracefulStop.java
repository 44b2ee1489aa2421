package org.celerygw.core.scheduling;

/**
 * The phases of a host's graceful stop. At first clients still come, since the load balancer has not noticed it; then the
 * host only takes what is certain to end in time; and all answers are sent before the process is killed.
 */
public final class GracefulStop {
    /** Two health checks, a second apart, must fail. */
    private static final long MAX_NOTICE_MS = 2_300;

    private static final long MAX_ACCEPT_MS = 3_200;
    /** For a process that is slow to end, and for answers on their way. */
    private static final long MARGIN_MS = 700;

    /** A request that cannot be repeated elsewhere gets more time than the average. */
    private static final int UNREPEATABLE_RESPONSE_TIME_FACTOR = 4;

    private static final int REPEATABLE_RESPONSE_TIME_FACTOR = 2;

    private final long startedMs;
    private final long noticedMs;
    private final long acceptUntilMs;
    private final long answerUntilMs;

    /** What is known, when a request is about to be taken or sent, of whether it ends before the host does. */
    public enum Prospect {
        /** Its own deadline comes before the end of the stop. */
        CERTAIN,
        /** Requests of its route usually take less than is left, and other hosts are not used in place of this one yet. */
        PROBABLE,
        /** It may be cut off, so that its client is better served by another host. */
        DOUBTFUL
    }

    /**
     * Begins a stop.
     *
     * @param startedMs the current time, in ms
     * @param graceMs the time from now until the process may be killed, in ms
     */
    public GracefulStop(long startedMs, long graceMs) {
        this.startedMs = startedMs;
        this.noticedMs = startedMs + Math.min(MAX_NOTICE_MS, graceMs / 2);
        this.acceptUntilMs = startedMs + Math.min(MAX_ACCEPT_MS, graceMs / 2);
        this.answerUntilMs = startedMs + Math.max(graceMs / 2, graceMs - MARGIN_MS);
    }

    /**
     * Returns how long ago the stop began.
     *
     * @param nowMs the current time, in ms
     * @return the time since then, in ms
     */
    public long elapsedMs(long nowMs) {
        return nowMs - startedMs;
    }

    /**
     * Returns whether the load balancer has had time to notice the stop, so that new connections go to other hosts.
     *
     * @param nowMs the current time, in ms
     * @return true if a client that is sent away now gets another host
     */
    public boolean isNoticed(long nowMs) {
        return nowMs >= noticedMs;
    }

    /**
     * Returns whether connections are accepted.
     *
     * @param nowMs the current time, in ms
     * @return false some time after the load balancer has noticed
     */
    public boolean acceptsConnections(long nowMs) {
        return nowMs < acceptUntilMs;
    }

    /**
     * Returns the time at which each request must have been answered.
     *
     * @return the time, in ms
     */
    public long answerUntilMs() {
        return answerUntilMs;
    }

    /**
     * Returns whether a request can be answered before the host ends. An average tells little about one request, so that
     * it decides only while a refusal could bring the client to this host again.
     *
     * @param nowMs the current time, in ms
     * @param deadlineMs the time at which the client or the route gives the request up, in ms
     * @param averageMs the average response time of its route, in ms
     * @param repeatable whether it could run once more elsewhere
     * @return what is known
     */
    public Prospect prospect(long nowMs, long deadlineMs, long averageMs, boolean repeatable) {
        if (deadlineMs <= answerUntilMs) {
            return Prospect.CERTAIN;
        }
        int factor = repeatable ? REPEATABLE_RESPONSE_TIME_FACTOR : UNREPEATABLE_RESPONSE_TIME_FACTOR;
        boolean probable = nowMs + factor * averageMs < answerUntilMs;
        return probable && !isNoticed(nowMs) ? Prospect.PROBABLE : Prospect.DOUBTFUL;
    }
}
