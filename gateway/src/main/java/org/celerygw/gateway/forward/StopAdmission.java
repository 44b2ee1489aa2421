package org.celerygw.gateway.forward;

import java.util.Optional;
import org.celerygw.core.routes.ResponseTimeAverages;
import org.celerygw.core.routes.Route;
import org.celerygw.core.scheduling.GracefulStop;
import org.celerygw.core.scheduling.GracefulStop.Prospect;
import org.celerygw.core.time.Clock;
import org.jspecify.annotations.Nullable;

/** Refuses requests that this host may not be able to answer before a graceful stop ends; without a stop, none. */
final class StopAdmission {
    private final Clock clock;
    private final ResponseTimeAverages responseTimes;
    private final RequestLog requestLog;
    private @Nullable GracefulStop stop;

    StopAdmission(Clock clock, ResponseTimeAverages responseTimes, RequestLog requestLog) {
        this.clock = clock;
        this.responseTimes = responseTimes;
        this.requestLog = requestLog;
    }

    /** Begins to refuse requests. */
    void begin(GracefulStop begun) {
        stop = begun;
    }

    /** Returns the time by which each request must have been answered, in ms. */
    long answerUntilMs() {
        return stop == null ? Long.MAX_VALUE : stop.answerUntilMs();
    }

    /** Returns the refusal of a request that arrives; empty if it is accepted. */
    Optional<Forwarder.Refusal> onArrival(RequestMetadata metadata, Route route, long deadlineMs) {
        if (stop == null) {
            return Optional.empty();
        }
        Prospect prospect = prospect(stop, route, deadlineMs);
        log(stop, metadata, route, deadlineMs, prospect);
        return refusal(prospect);
    }

    /** Returns the refusal of an accepted request that no server has been sent yet; empty if it may still be sent. */
    Optional<Forwarder.Refusal> beforeSend(RequestMetadata metadata, Route route, long deadlineMs) {
        if (stop == null) {
            return Optional.empty();
        }
        Prospect prospect = prospect(stop, route, deadlineMs);
        if (prospect == Prospect.DOUBTFUL) {
            log(stop, metadata, route, deadlineMs, prospect);
        }
        return refusal(prospect);
    }

    private Prospect prospect(GracefulStop begun, Route route, long deadlineMs) {
        return begun.prospect(clock.nowMs(), deadlineMs, responseTimes.averageMs(route), route.repeatable());
    }

    private static Optional<Forwarder.Refusal> refusal(Prospect prospect) {
        return prospect == Prospect.DOUBTFUL
                ? Optional.of(new Forwarder.Refusal(503, "this host may stop before the request could be answered", 0))
                : Optional.empty();
    }

    private void log(GracefulStop begun, RequestMetadata metadata, Route route, long deadlineMs, Prospect prospect) {
        long nowMs = clock.nowMs();
        requestLog.logDuringStop(
                metadata,
                route,
                prospect,
                new RequestLog.StopTimes(
                        begun.elapsedMs(nowMs),
                        begun.answerUntilMs() - nowMs,
                        deadlineMs - nowMs,
                        responseTimes.averageMs(route)));
    }
}
