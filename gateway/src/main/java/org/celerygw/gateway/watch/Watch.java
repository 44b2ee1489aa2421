package org.celerygw.gateway.watch;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.celerygw.core.peers.FeedWait;
import org.celerygw.core.store.Row;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Scheduler;

/**
 * Watches one feed for the lifetime of the process. After a failure it reads a complete snapshot again, since changes may
 * have been missed; while the store does not answer this host, it reads the rows from a peer. The listener never receives
 * a version older than one that it has already received.
 */
public final class Watch {
    private static final long MIN_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 500;

    private final RowFeed feed;
    private final Clock clock;
    private final Scheduler scheduler;
    private final LongSupplier pollIntervalMs;
    private final LongSupplier pollWaitMs;
    private final Listener listener;
    private final SortedMap<String, Row> rows = new TreeMap<>();
    private Consumer<Consumer<RowFeed.Result>> peerSource =
            callback -> callback.accept(RowFeed.Result.withoutRows(RowFeed.Status.FAILED));
    private long version = -1;
    private boolean hasSnapshot;
    private boolean peerReadInFlight;
    private boolean rereadInFlight;
    private long requestedAtMs;
    private int consecutiveFailures;

    /** Receives the rows of a feed and its availability. */
    public interface Listener {
        /**
         * Called with a complete snapshot, which replaces all rows received before.
         *
         * @param rows all rows that exist, in key order
         */
        void onSnapshot(List<Row> rows);

        /**
         * Called with the rows that changed since the previous call.
         *
         * @param rows the changed rows; a deleted row is included as one that does not exist
         */
        void onChanges(List<Row> rows);

        /** Called when neither the store nor a peer answers; may be called repeatedly. */
        void onUnavailable();

        /** Called whenever the store or a peer has answered. */
        void onAvailable();
    }

    /**
     * Creates a watch that is not started yet and whose polls wait for {@value FeedWait#MIN_WAIT_MS} ms.
     *
     * @param feed the feed to watch
     * @param clock the clock by which the poll interval is measured
     * @param scheduler runs the polls and retries
     * @param pollIntervalMs returns the minimum time between the starts of two polls, in ms
     * @param listener receives snapshots and changes
     */
    public Watch(RowFeed feed, Clock clock, Scheduler scheduler, LongSupplier pollIntervalMs, Listener listener) {
        this(feed, clock, scheduler, pollIntervalMs, () -> FeedWait.MIN_WAIT_MS, listener);
    }

    /**
     * Creates a watch that is not started yet.
     *
     * @param feed the feed to watch
     * @param clock the clock by which the poll interval is measured
     * @param scheduler runs the polls and retries
     * @param pollIntervalMs returns the minimum time between the starts of two polls, in ms
     * @param pollWaitMs returns how long the store may hold the next poll, in ms
     * @param listener receives snapshots and changes
     */
    public Watch(
            RowFeed feed,
            Clock clock,
            Scheduler scheduler,
            LongSupplier pollIntervalMs,
            LongSupplier pollWaitMs,
            Listener listener) {
        this.feed = feed;
        this.clock = clock;
        this.scheduler = scheduler;
        this.pollIntervalMs = pollIntervalMs;
        this.pollWaitMs = pollWaitMs;
        this.listener = listener;
    }

    /**
     * Sets the source of the rows while the store does not answer.
     *
     * @param source reads all rows of this feed from a peer and passes them to its callback
     */
    public void setPeerSource(Consumer<Consumer<RowFeed.Result>> source) {
        peerSource = source;
    }

    /** Starts polling; polls until the process ends. */
    public void start() {
        poll();
    }

    /**
     * Returns the rows as last received.
     *
     * @return all rows with their version; status FAILED while none have been received
     */
    public RowFeed.Result snapshot() {
        return version < 0
                ? RowFeed.Result.withoutRows(RowFeed.Status.FAILED)
                : new RowFeed.Result(RowFeed.Status.OK, version, List.copyOf(rows.values()));
    }

    /** Reads the rows from a peer, for changes that this host may have missed; at most one such read is in flight. */
    public void readFromPeer() {
        if (peerReadInFlight) {
            return;
        }
        peerReadInFlight = true;
        peerSource.accept(result -> {
            peerReadInFlight = false;
            if (result.status() == RowFeed.Status.OK) {
                applySnapshot(result);
            } else if (consecutiveFailures > 1) {
                listener.onUnavailable();
            }
        });
    }

    /** Reads the rows anew beside the poll in flight, whose connection may have gone silent; one such read at a time. */
    public void reread() {
        if (rereadInFlight || !hasSnapshot) {
            return;
        }
        rereadInFlight = true;
        feed.readAll(result -> {
            rereadInFlight = false;
            if (result.status() == RowFeed.Status.OK) {
                applySnapshot(result);
            }
        });
    }

    private void poll() {
        requestedAtMs = clock.nowMs();
        if (hasSnapshot) {
            feed.awaitChanges(version, pollWaitMs.getAsLong(), this::onPollResult);
        } else {
            feed.readAll(result -> {
                if (result.status() == RowFeed.Status.OK) {
                    consecutiveFailures = 0;
                    hasSnapshot = true;
                    // First, so that the next poll does not depend on what the listener does.
                    scheduleNextPoll();
                    applySnapshot(result);
                } else {
                    retryAfterFailure();
                }
            });
        }
    }

    private void applySnapshot(RowFeed.Result result) {
        if (result.version() < version) {
            return;
        }
        version = result.version();
        rows.clear();
        result.rows().stream().filter(Row::exists).forEach(r -> rows.put(r.key(), r));
        listener.onAvailable();
        listener.onSnapshot(List.copyOf(rows.values()));
    }

    private void onPollResult(RowFeed.Result result) {
        switch (result.status()) {
            case OK -> {
                consecutiveFailures = 0;
                scheduleNextPoll();
                applyChanges(result);
            }
            case HISTORY_EXPIRED -> {
                hasSnapshot = false;
                poll();
            }
            case FAILED -> retryAfterFailure();
        }
    }

    private void applyChanges(RowFeed.Result result) {
        listener.onAvailable();
        if (result.version() < version) {
            return;
        }
        version = result.version();
        result.rows().forEach(r -> {
            if (r.exists()) {
                rows.put(r.key(), r);
            } else {
                rows.remove(r.key());
            }
        });
        if (!result.rows().isEmpty()) {
            listener.onChanges(result.rows());
        }
    }

    private void retryAfterFailure() {
        hasSnapshot = false;
        consecutiveFailures++;
        long backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << Math.min(consecutiveFailures - 1, 3));
        scheduler.schedule(backoffMs, this::poll);
        readFromPeer();
    }

    private void scheduleNextPoll() {
        scheduler.schedule(Math.max(1, requestedAtMs + pollIntervalMs.getAsLong() - clock.nowMs()), this::poll);
    }
}
