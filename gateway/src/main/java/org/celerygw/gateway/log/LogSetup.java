package org.celerygw.gateway.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sets up logs: one JSON object a line on standard output, written by another thread and dropped rather than waited for. */
public final class LogSetup {
    private static volatile @Nullable BoundedAppender appender;

    private LogSetup() {}

    /** Replaces whatever was set up before. */
    public static void install() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithThreadName(false);
        encoder.setWithMDC(false);
        encoder.setWithArguments(false);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setEncoder(encoder);
        console.start();
        BoundedAppender bounded = new BoundedAppender(context, console);
        bounded.setContext(context);
        bounded.start();
        appender = bounded;
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN);
        root.addAppender(bounded);
        for (String ours : new String[] {"host", "request", "store", "platform", "org.celerygw"}) {
            context.getLogger(ours).setLevel(Level.INFO);
        }
    }

    /** Writes what still waits; to be called before the process ends. */
    public static void flush() {
        BoundedAppender installed = appender;
        if (installed != null) {
            installed.flush();
        }
    }
}
