package org.celerygw.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import java.util.Optional;
import org.slf4j.LoggerFactory;

/** Configures logging to standard error, so that standard output holds only results. */
final class Logging {
    private Logging() {}

    /** Logs to standard error only, at the level of CELERYGW_LOG, or at WARN when it is unset or unknown. */
    static void toStandardError() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern("%d{HH:mm:ss.SSS} %-5level %msg%n");
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setEncoder(encoder);
        appender.setTarget("System.err");
        appender.start();
        Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.detachAndStopAllAppenders();
        root.addAppender(appender);
        root.setLevel(
                Level.toLevel(Optional.ofNullable(System.getenv("CELERYGW_LOG")).orElse("warn"), Level.WARN));
    }
}
