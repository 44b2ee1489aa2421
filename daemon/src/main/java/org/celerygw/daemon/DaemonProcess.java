package org.celerygw.daemon;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import io.vertx.core.Vertx;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.daemon.settings.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/** Runs one daemon as a process until it is told to stop by a signal. */
final class DaemonProcess {
    private static final Logger LOG = LoggerFactory.getLogger(DaemonProcess.class);

    private final Settings settings;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile int exitCode;

    DaemonProcess(Settings settings) {
        this.settings = settings;
    }

    /** Runs the daemon and returns the exit code: 0 after a graceful stop. */
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
            watchSignals(daemon);
            daemon.stopped().onComplete(r -> end(r.succeeded() ? 0 : ErrorCode.NOT_OWNER.exitCode()));
            ended.await();
            return exitCode;
        } catch (ExecutionException e) {
            return cannotStart(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ErrorCode.INTERNAL.exitCode();
        }
    }

    private void watchSignals(Daemon daemon) {
        Signal.handle(new Signal("TERM"), s -> signalled(daemon));
        Signal.handle(new Signal("INT"), s -> signalled(daemon));
    }

    /** The first signal stops gracefully; the second ends at once and says what it cuts off. */
    private void signalled(Daemon daemon) {
        if (stopping.compareAndSet(false, true)) {
            LOG.info("stop: a signal asks for a graceful stop.");
            daemon.stop().onComplete(r -> end(0));
            return;
        }
        LOG.warn("stop: a second signal; cutting off {} requests.", daemon.underWay());
        end(1);
    }

    private void end(int code) {
        exitCode = code;
        ended.countDown();
    }

    private static int cannotStart(Throwable cause) {
        if (cause instanceof GatewayException e) {
            LOG.error("host: cannot start: {} {}", e.code(), e.getMessage());
            return e.code().exitCode();
        }
        LOG.error("host: cannot start.", cause);
        return ErrorCode.INTERNAL.exitCode();
    }
}
