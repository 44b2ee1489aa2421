package org.celerygw.gateway;

import java.util.List;
import org.celerygw.core.scheduling.GracefulStop;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Scheduler;
import org.celerygw.gateway.forward.Forwarder;
import org.celerygw.gateway.forward.ServerRelay;
import org.celerygw.gateway.net.HttpListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries out the graceful stop of a host: completes the requests that it has received, or answers them at the end. */
final class HostStop {
    private static final Logger LOG = LoggerFactory.getLogger("host");
    private static final long CHECK_INTERVAL_MS = 50;
    /** The first request of a new connection may still be on its way. */
    private static final long MIN_IDLE_MS = 200;

    private final Clock clock;
    private final Scheduler scheduler;
    private final List<HttpListener> clientListeners;
    private final Forwarder forwarder;
    private final ServerRelay serverRelay;
    private final GracefulStop stop;

    HostStop(
            Clock clock,
            Scheduler scheduler,
            List<HttpListener> clientListeners,
            Forwarder forwarder,
            ServerRelay serverRelay,
            long graceMs) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.clientListeners = clientListeners;
        this.forwarder = forwarder;
        this.serverRelay = serverRelay;
        this.stop = new GracefulStop(clock.nowMs(), graceMs);
    }

    /** Begins the stop; runs the task when the process may end. */
    void start(Runnable onStopped) {
        LOG.atInfo().addKeyValue("underWay", forwarder.requestsInFlight()).log("host: stopping");
        clientListeners.forEach(listener -> listener.stopping(true));
        forwarder.beginStop(stop);
        serverRelay.beginStop();
        check(onStopped);
    }

    private void check(Runnable onStopped) {
        long nowMs = clock.nowMs();
        boolean over = nowMs >= stop.answerUntilMs();
        if (over) {
            endAll();
        }
        forwarder.refuseOutlasting();
        if (stop.isNoticed(nowMs)) {
            clientListeners.forEach(listener -> listener.closeIdle(MIN_IDLE_MS));
        }
        if (!stop.acceptsConnections(nowMs)) {
            clientListeners.forEach(HttpListener::stopAccepting);
        }
        if (over || isDrained(nowMs)) {
            LOG.atInfo().log("host: stopped");
            // The last answers and the closing of connections are on their way.
            scheduler.schedule(CHECK_INTERVAL_MS, onStopped);
        } else {
            scheduler.schedule(CHECK_INTERVAL_MS, () -> check(onStopped));
        }
    }

    private void endAll() {
        LOG.atInfo()
                .addKeyValue("underWay", forwarder.requestsInFlight())
                .addKeyValue("relayed", serverRelay.requestsInFlight())
                .log("host: no time left; answering what is under way");
        forwarder.endAll();
    }

    private boolean isDrained(long nowMs) {
        return !stop.acceptsConnections(nowMs)
                && forwarder.requestsInFlight() == 0
                && serverRelay.requestsInFlight() == 0
                && clientListeners.stream().allMatch(listener -> listener.openConnections() == 0);
    }
}
