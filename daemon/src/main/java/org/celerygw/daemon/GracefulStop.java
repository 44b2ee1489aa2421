package org.celerygw.daemon;

import io.vertx.core.Vertx;
import org.celerygw.core.time.Clock;
import org.celerygw.daemon.settings.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stops a host without cutting off a request: it reports not ready, goes on serving while the balancer notices, hands
 * its slots over, waits for what is under way, and closes.
 */
final class GracefulStop {
    private static final Logger LOG = LoggerFactory.getLogger(GracefulStop.class);

    private final Vertx vertx;
    private final Settings.Stop settings;
    private final Clock clock;
    private final Steps steps;
    private Stage stage = Stage.RUNNING;
    private long limitAtMs;

    private enum Stage {
        RUNNING,
        GRACE,
        DRAINING,
        CLOSED
    }

    /** What is done at each step. */
    interface Steps {
        /** Tells the balancer and the other hosts. */
        void notReady();

        /** Begins to hand over every slot. */
        void handOver();

        /** Returns whether every slot has been handed over. */
        boolean handedOver();

        /** Returns how many requests are under way. */
        int underWay();

        /** Closes everything. */
        void close();
    }

    GracefulStop(Vertx vertx, Settings.Stop settings, Clock clock, Steps steps) {
        this.vertx = vertx;
        this.settings = settings;
        this.clock = clock;
        this.steps = steps;
    }

    boolean begun() {
        return stage != Stage.RUNNING;
    }

    /** Returns whether new requests are refused: only after the balancer has had its time to notice. */
    boolean refuses() {
        return stage == Stage.DRAINING || stage == Stage.CLOSED;
    }

    void begin() {
        if (begun()) {
            return;
        }
        stage = Stage.GRACE;
        limitAtMs = clock.nowMs() + settings.limitMs();
        LOG.info("stop: not ready; {} ms for the balancer to notice.", settings.balancerGraceMs());
        steps.notReady();
        vertx.setTimer(Math.max(1, settings.balancerGraceMs()), t -> drain());
    }

    private void drain() {
        stage = Stage.DRAINING;
        LOG.info("stop: handing over the slots; {} requests under way.", steps.underWay());
        steps.handOver();
    }

    void tick() {
        if (stage != Stage.DRAINING) {
            return;
        }
        boolean quiet = steps.handedOver() && steps.underWay() == 0;
        if (!quiet && clock.nowMs() < limitAtMs) {
            return;
        }
        stage = Stage.CLOSED;
        if (quiet) {
            LOG.info("stop: all slots handed over, nothing under way; closing.");
        } else {
            LOG.warn("stop: the time limit passed; cutting off {} requests.", steps.underWay());
        }
        steps.close();
    }
}
