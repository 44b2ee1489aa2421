package org.celerygw.gateway.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.slf4j.event.KeyValuePair;

/**
 * Hands lines to another appender on a thread of its own, and drops rather than waits. Warnings have a queue of their
 * own, so that they are never dropped for ordinary lines. The number of lines dropped is told in the next line.
 */
final class BoundedAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {
    private static final int QUEUE_LINES = 2_048;
    private static final int ORDINARY_LINES_A_SECOND = 400;
    private static final int WARNINGS_A_SECOND = 400;
    private static final long FLUSH_MS = 1_000;

    private final LoggerContext context;
    private final Appender<ILoggingEvent> target;
    private final LineBudget budget = new LineBudget(ORDINARY_LINES_A_SECOND, WARNINGS_A_SECOND);
    private final Deque<ILoggingEvent> ordinary = new ArrayDeque<>();
    private final Deque<ILoggingEvent> warnings = new ArrayDeque<>();
    private final Thread writer = new Thread(this::write, "log-writer");
    private boolean writing;

    BoundedAppender(LoggerContext context, Appender<ILoggingEvent> target) {
        this.context = context;
        this.target = target;
        writer.setDaemon(true);
    }

    @Override
    public void start() {
        super.start();
        writer.start();
    }

    @Override
    protected void append(ILoggingEvent event) {
        boolean warning = event.getLevel().isGreaterOrEqual(Level.WARN);
        synchronized (this) {
            Deque<ILoggingEvent> queue = warning ? warnings : ordinary;
            if (queue.size() >= QUEUE_LINES) {
                budget.drop();
            } else if (budget.allows(event.getMessage(), warning, event.getTimeStamp())) {
                queue.add(event);
                notifyAll();
            }
        }
    }

    /** Waits a moment for what is queued to be written. */
    void flush() {
        long endNanos = System.nanoTime() + FLUSH_MS * 1_000_000;
        try {
            synchronized (this) {
                while ((writing || !warnings.isEmpty() || !ordinary.isEmpty()) && System.nanoTime() < endNanos) {
                    wait(20);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write() {
        try {
            while (true) {
                target.doAppend(next());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized ILoggingEvent next() throws InterruptedException {
        writing = false;
        while (warnings.isEmpty() && ordinary.isEmpty()) {
            notifyAll();
            wait();
        }
        writing = true;
        long dropped = budget.takeDropped();
        if (dropped > 0) {
            return droppedLine(dropped);
        }
        return warnings.isEmpty() ? ordinary.poll() : warnings.poll();
    }

    private ILoggingEvent droppedLine(long dropped) {
        LoggingEvent line = new LoggingEvent();
        line.setLoggerContext(context);
        line.setLoggerName("log");
        line.setLevel(Level.WARN);
        line.setTimeStamp(System.currentTimeMillis());
        line.setMessage("log: lines were dropped");
        line.setKeyValuePairs(List.of(new KeyValuePair("dropped", dropped)));
        line.setThreadName("log-writer");
        return line;
    }
}
