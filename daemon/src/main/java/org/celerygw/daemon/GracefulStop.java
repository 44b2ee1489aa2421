package org.celerygw.daemon;

import io.vertx.core.Vertx;
import org.celerygw.core.time.Clock;
import org.celerygw.daemon.settings.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stops a host without cutting off requests: reports not ready, keeps serving for the grace period in which the load
 * balancer detects that, hands over its slots, waits for the requests in flight and then until no request has arrived for
 * {@value #QUIET_MS} ms, and closes. When the time limit passes first, the remaining calls are answered with an error.
 */
final class GracefulStop {
    private static final Logger LOG = LoggerFactory.getLogger(GracefulStop.class);
    /** A request sent before its client noticed the stop may still be on its way or unread. */
    private static final long QUIET_MS = 500;

    private final Vertx vertx;
    private final Settings.Stop settings;
    private final Clock clock;
    private final Steps steps;
    private Stage stage = Stage.RUNNING;
    private long deadlineMs;
    private long quietSinceMs;
    private long lastRequestsReceived;

    private enum Stage {
        RUNNING,
        GRACE,
        DRAINING,
        CLOSED
    }

    /** The actions of a graceful stop, in the order in which they are called. */
    interface Steps {
        /** Reports to the load balancer and the other hosts that this host is stopping. */
        void reportNotReady();

        /** Starts to hand over every slot. */
        void startSlotHandover();

        /** Returns whether every slot has been handed over. */
        boolean isSlotHandoverComplete();

        /** Returns the number of requests in flight. */
        int requestsInFlight();

        /** Returns the number of requests received since the start, whether they have ended or not. */
        long requestsReceived();

        /** Answers the calls in flight with an error, since no time is left. */
        void endCalls();

        /** Closes all ports and connections. */
        void close();
    }

    GracefulStop(Vertx vertx, Settings.Stop settings, Clock clock, Steps steps) {
        this.vertx = vertx;
        this.settings = settings;
        this.clock = clock;
        this.steps = steps;
    }

    boolean hasBegun() {
        return stage != Stage.RUNNING;
    }

    /** Returns whether new requests are refused, which starts only after the grace period of the load balancer. */
    boolean refusesRequests() {
        return stage == Stage.DRAINING || stage == Stage.CLOSED;
    }

    void begin() {
        if (hasBegun()) {
            return;
        }
        stage = Stage.GRACE;
        deadlineMs = clock.nowMs() + settings.timeoutMs();
        LOG.info(
                "stop: reporting not ready; serving on for {} ms until the load balancer has detected it.",
                settings.balancerGraceMs());
        steps.reportNotReady();
        vertx.setTimer(Math.max(1, settings.balancerGraceMs()), t -> drain());
    }

    private void drain() {
        stage = Stage.DRAINING;
        quietSinceMs = clock.nowMs();
        LOG.info("stop: handing over the slots; {} requests in flight.", steps.requestsInFlight());
        steps.startSlotHandover();
    }

    void tick() {
        if (stage != Stage.DRAINING) {
            return;
        }
        long nowMs = clock.nowMs();
        boolean drained = steps.isSlotHandoverComplete() && steps.requestsInFlight() == 0;
        long requestsReceived = steps.requestsReceived();
        if (!drained || requestsReceived != lastRequestsReceived) {
            lastRequestsReceived = requestsReceived;
            quietSinceMs = nowMs;
        }
        if (nowMs - quietSinceMs < QUIET_MS && nowMs < deadlineMs) {
            return;
        }
        stage = Stage.CLOSED;
        if (drained) {
            LOG.info("stop: all slots handed over and no requests in flight; closing.");
        } else {
            LOG.warn("stop: the time limit has passed; ending {} requests.", steps.requestsInFlight());
            steps.endCalls();
        }
        steps.close();
    }
}
