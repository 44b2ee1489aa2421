package org.celerygw.daemon;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import io.vertx.core.Vertx;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.helper.ProcessSignals;
import org.celerygw.daemon.settings.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs one daemon until it is stopped by a signal or fenced by another host. */
final class DaemonProcess {
    private static final Logger LOG = LoggerFactory.getLogger(DaemonProcess.class);

    private final Settings settings;
    private final ProcessSignals signals;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final CountDownLatch exited = new CountDownLatch(1);
    private volatile int exitCode;

    DaemonProcess(Settings settings, ProcessSignals signals) {
        this.settings = settings;
        this.signals = signals;
    }

    /** Runs the daemon until it ends and returns the exit code of the process: 0 after a graceful stop. */
    int run() {
        ((LoggerContext) LoggerFactory.getILoggerFactory())
                .getLogger(Logger.ROOT_LOGGER_NAME)
                .setLevel(Level.valueOf(settings.logLevel().name()));
        Vertx vertx = Vertx.vertx();
        try {
            Daemon daemon = Daemon.start(vertx, settings)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get();
            signals.deliverTo(() -> requestStop(daemon), DaemonProcess::logUnsupportedReload);
            daemon.stopped().onComplete(r -> exit(r.succeeded() ? 0 : ErrorCode.NOT_OWNER.exitCode()));
            exited.await();
            return exitCode;
        } catch (ExecutionException e) {
            return logStartFailure(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ErrorCode.INTERNAL.exitCode();
        }
    }

    /** Starts a graceful stop on the first signal; on the second, exits at once and logs how many requests are cut off. */
    private void requestStop(Daemon daemon) {
        if (stopping.compareAndSet(false, true)) {
            LOG.info("stop: received a signal; stopping gracefully.");
            daemon.stop().onComplete(r -> exit(0));
            return;
        }
        LOG.warn(
                "stop: received a second signal; exiting at once and cutting off {} requests.",
                daemon.requestsInFlight());
        exit(1);
    }

    private static void logUnsupportedReload() {
        LOG.info("settings: received SIGHUP; the settings file is read at the start only, so that nothing changes.");
    }

    private void exit(int code) {
        exitCode = code;
        exited.countDown();
    }

    private static int logStartFailure(Throwable cause) {
        if (cause instanceof GatewayException e) {
            LOG.error("host: the daemon could not start: {}: {}", e.code(), e.getMessage());
            return e.code().exitCode();
        }
        LOG.error("host: the daemon could not start because of an internal error.", cause);
        return ErrorCode.INTERNAL.exitCode();
    }
}
