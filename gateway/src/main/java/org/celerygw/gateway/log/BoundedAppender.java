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
 * Passes log events to another appender on a dedicated thread, and drops them rather than block the caller. Warnings and
 * errors have their own queue, so that ordinary events cannot displace them. The next line written after a drop reports
 * the number of dropped lines.
 */
final class BoundedAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {
    private static final int QUEUE_EVENTS = 2_048;
    private static final int MAX_ORDINARY_PER_SECOND = 400;
    private static final int MAX_WARNINGS_PER_SECOND = 400;
    private static final long FLUSH_TIMEOUT_MS = 1_000;

    private final LoggerContext context;
    private final Appender<ILoggingEvent> target;
    private final LogRateLimiter rateLimiter = new LogRateLimiter(MAX_ORDINARY_PER_SECOND, MAX_WARNINGS_PER_SECOND);
    private final Deque<ILoggingEvent> ordinaryQueue = new ArrayDeque<>();
    private final Deque<ILoggingEvent> warningQueue = new ArrayDeque<>();
    private final Thread writerThread = new Thread(this::writeLoop, "log-writer");
    private boolean writeInProgress;

    BoundedAppender(LoggerContext context, Appender<ILoggingEvent> target) {
        this.context = context;
        this.target = target;
        writerThread.setDaemon(true);
    }

    @Override
    public void start() {
        super.start();
        writerThread.start();
    }

    @Override
    protected void append(ILoggingEvent event) {
        boolean warning = event.getLevel().isGreaterOrEqual(Level.WARN);
        synchronized (this) {
            Deque<ILoggingEvent> queue = warning ? warningQueue : ordinaryQueue;
            if (queue.size() >= QUEUE_EVENTS) {
                rateLimiter.countDropped();
            } else if (rateLimiter.tryAcquire(event.getMessage(), warning, event.getTimeStamp())) {
                queue.add(event);
                notifyAll();
            }
        }
    }

    /** Waits until all queued events are written, but no longer than {@link #FLUSH_TIMEOUT_MS}. */
    void flush() {
        long deadlineNanos = System.nanoTime() + FLUSH_TIMEOUT_MS * 1_000_000;
        try {
            synchronized (this) {
                while ((writeInProgress || !warningQueue.isEmpty() || !ordinaryQueue.isEmpty())
                        && System.nanoTime() < deadlineNanos) {
                    wait(20);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeLoop() {
        try {
            while (true) {
                target.doAppend(takeNext());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for the next event to write: a report of dropped lines first, then warnings, then ordinary events. */
    private synchronized ILoggingEvent takeNext() throws InterruptedException {
        writeInProgress = false;
        while (warningQueue.isEmpty() && ordinaryQueue.isEmpty()) {
            notifyAll();
            wait();
        }
        writeInProgress = true;
        long dropped = rateLimiter.takeDroppedCount();
        if (dropped > 0) {
            return droppedEvent(dropped);
        }
        return warningQueue.isEmpty() ? ordinaryQueue.poll() : warningQueue.poll();
    }

    private ILoggingEvent droppedEvent(long dropped) {
        LoggingEvent event = new LoggingEvent();
        event.setLoggerContext(context);
        event.setLoggerName("log");
        event.setLevel(Level.WARN);
        event.setTimeStamp(System.currentTimeMillis());
        event.setMessage("log: lines were dropped");
        event.setKeyValuePairs(List.of(new KeyValuePair("dropped", dropped)));
        event.setThreadName("log-writer");
        return event;
    }
}
