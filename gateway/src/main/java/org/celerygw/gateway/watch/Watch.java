package org.celerygw.gateway.watch;

import java.util.List;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Scheduler;

/**
 * Follows one feed for as long as the process lives. After a failure everything is read anew, since nobody knows what
 * was missed.
 *
 * @param <T> what a row says
 */
public final class Watch<T> {
    private static final long WAIT_MS = 1_000;
    private static final long SHORTEST_PAUSE_MS = 100;
    private static final long LONGEST_PAUSE_MS = 500;

    private final Feed<T> feed;
    private final Clock clock;
    private final Scheduler scheduler;
    private final long gapMs;
    private final Listener<T> listener;
    private long version = -1;
    private long askedAtMs;
    private int failures;

    /**
     * Hears what a feed tells.
     *
     * @param <T> what a row says
     */
    public interface Listener<T> {
        /**
         * Everything there is.
         *
         * @param rows all rows at one instant
         */
        void all(List<T> rows);

        /**
         * Rows that changed.
         *
         * @param rows the rows
         */
        void changed(List<T> rows);

        /** The store does not answer. */
        void away();

        /** The store answered. */
        void back();
    }

    /**
     * Makes a watch that does not run yet.
     *
     * @param feed what to follow
     * @param clock tells the time
     * @param scheduler runs the next question
     * @param gapMs the shortest time between two questions
     * @param listener hears the news
     */
    public Watch(Feed<T> feed, Clock clock, Scheduler scheduler, long gapMs, Listener<T> listener) {
        this.feed = feed;
        this.clock = clock;
        this.scheduler = scheduler;
        this.gapMs = gapMs;
        this.listener = listener;
    }

    /** Starts to follow. */
    public void start() {
        ask();
    }

    private void ask() {
        askedAtMs = clock.nowMs();
        if (version < 0) {
            feed.all(this::whole);
        } else {
            feed.after(version, WAIT_MS, this::changed);
        }
    }

    private void whole(Feed.News<T> news) {
        if (news.status() != Feed.Status.OK) {
            failed();
            return;
        }
        succeeded(news);
        listener.all(news.rows());
        next();
    }

    private void changed(Feed.News<T> news) {
        switch (news.status()) {
            case OK -> {
                succeeded(news);
                if (!news.rows().isEmpty()) {
                    listener.changed(news.rows());
                }
                next();
            }
            case FORGOTTEN -> {
                version = -1;
                ask();
            }
            case FAILED -> failed();
        }
    }

    private void succeeded(Feed.News<T> news) {
        failures = 0;
        version = news.version();
        listener.back();
    }

    private void failed() {
        version = -1;
        failures++;
        if (failures > 1) {
            listener.away();
        }
        long pauseMs = Math.min(LONGEST_PAUSE_MS, SHORTEST_PAUSE_MS << Math.min(failures - 1, 3));
        scheduler.after(pauseMs, this::ask);
    }

    private void next() {
        scheduler.after(Math.max(1, askedAtMs + gapMs - clock.nowMs()), this::ask);
    }
}
