package org.celerygw.gateway.watch;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.celerygw.core.store.Row;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Scheduler;

/**
 * Follows one feed for as long as the process lives. After a failure everything is read anew, since nobody knows what
 * was missed; while the store does not answer this host, a peer's rows stand in. What is told never goes back to an
 * older version.
 */
public final class Watch {
    private static final long WAIT_MS = 1_000;
    private static final long SHORTEST_PAUSE_MS = 100;
    private static final long LONGEST_PAUSE_MS = 500;

    private final RowFeed feed;
    private final Clock clock;
    private final Scheduler scheduler;
    private final long gapMs;
    private final Listener listener;
    private final SortedMap<String, Row> rows = new TreeMap<>();
    private Consumer<Consumer<RowFeed.News>> peers = done -> done.accept(RowFeed.News.none(RowFeed.Status.FAILED));
    private long version = -1;
    private boolean followed;
    private boolean askingPeer;
    private long askedAtMs;
    private int failures;

    /** Hears what a feed tells. */
    public interface Listener {
        /**
         * Everything there is.
         *
         * @param rows all rows at one instant
         */
        void all(List<Row> rows);

        /**
         * Rows that changed.
         *
         * @param rows the rows; one that is gone is absent
         */
        void changed(List<Row> rows);

        /** Neither the store nor a peer answers. */
        void away();

        /** The store, or a peer, answered. */
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
    public Watch(RowFeed feed, Clock clock, Scheduler scheduler, long gapMs, Listener listener) {
        this.feed = feed;
        this.clock = clock;
        this.scheduler = scheduler;
        this.gapMs = gapMs;
        this.listener = listener;
    }

    /**
     * Sets whom to ask while the store does not answer.
     *
     * @param ask asks a peer for all rows of this feed
     */
    public void peers(Consumer<Consumer<RowFeed.News>> ask) {
        peers = ask;
    }

    /** Starts to follow. */
    public void start() {
        ask();
    }

    /**
     * Returns all rows as they are known now.
     *
     * @return an answer; FAILED while nothing is known
     */
    public RowFeed.News known() {
        return version < 0
                ? RowFeed.News.none(RowFeed.Status.FAILED)
                : new RowFeed.News(RowFeed.Status.OK, version, List.copyOf(rows.values()));
    }

    /** Asks a peer for what this host may have missed. */
    public void askPeer() {
        if (askingPeer) {
            return;
        }
        askingPeer = true;
        peers.accept(news -> {
            askingPeer = false;
            if (news.status() == RowFeed.Status.OK) {
                whole(news);
            } else if (failures > 1) {
                listener.away();
            }
        });
    }

    private void ask() {
        askedAtMs = clock.nowMs();
        if (followed) {
            feed.after(version, WAIT_MS, this::followed);
        } else {
            feed.all(news -> {
                if (news.status() == RowFeed.Status.OK) {
                    failures = 0;
                    followed = true;
                    whole(news);
                    next();
                } else {
                    failed();
                }
            });
        }
    }

    private void whole(RowFeed.News news) {
        if (news.version() < version) {
            return;
        }
        version = news.version();
        rows.clear();
        news.rows().stream().filter(Row::exists).forEach(r -> rows.put(r.key(), r));
        listener.back();
        listener.all(List.copyOf(rows.values()));
    }

    private void followed(RowFeed.News news) {
        switch (news.status()) {
            case OK -> {
                failures = 0;
                changed(news);
                next();
            }
            case FORGOTTEN -> {
                followed = false;
                ask();
            }
            case FAILED -> failed();
        }
    }

    private void changed(RowFeed.News news) {
        listener.back();
        if (news.version() < version) {
            return;
        }
        version = news.version();
        news.rows().forEach(r -> {
            if (r.exists()) {
                rows.put(r.key(), r);
            } else {
                rows.remove(r.key());
            }
        });
        if (!news.rows().isEmpty()) {
            listener.changed(news.rows());
        }
    }

    private void failed() {
        followed = false;
        failures++;
        askPeer();
        long pauseMs = Math.min(LONGEST_PAUSE_MS, SHORTEST_PAUSE_MS << Math.min(failures - 1, 3));
        scheduler.after(pauseMs, this::ask);
    }

    private void next() {
        scheduler.after(Math.max(1, askedAtMs + gapMs - clock.nowMs()), this::ask);
    }
}
