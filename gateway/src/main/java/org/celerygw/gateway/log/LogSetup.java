package org.celerygw.gateway.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Configures logging: JSON lines on standard output, written on a separate thread and dropped rather than waited for. */
public final class LogSetup {
    private static volatile @Nullable BoundedAppender installedAppender;

    private LogSetup() {}

    /** Replaces the current logging configuration of the process. */
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
        BoundedAppender appender = new BoundedAppender(context, console);
        appender.setContext(context);
        appender.start();
        installedAppender = appender;
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN);
        root.addAppender(appender);
        for (String loggerName : new String[] {"host", "request", "store", "platform", "org.celerygw"}) {
            context.getLogger(loggerName).setLevel(Level.INFO);
        }
    }

    /** Waits for at most a second until queued lines are written; call it before the process exits. */
    public static void flush() {
        BoundedAppender appender = installedAppender;
        if (appender != null) {
            appender.flush();
        }
    }
}
