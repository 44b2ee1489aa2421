package org.celerygw.gateway;

import java.util.function.Consumer;
import org.celerygw.gateway.peers.StoreHealth;
import org.celerygw.gateway.watch.RowFeed;

/** Decorates a feed: records in {@link StoreHealth} whether the store answered each read. */
final class HealthTrackingFeed implements RowFeed {
    private final RowFeed feed;
    private final StoreHealth health;

    HealthTrackingFeed(RowFeed feed, StoreHealth health) {
        this.feed = feed;
        this.health = health;
    }

    @Override
    public void readAll(Consumer<Result> callback) {
        feed.readAll(recordingOutcome(callback));
    }

    @Override
    public void awaitChanges(long version, long waitMs, Consumer<Result> callback) {
        feed.awaitChanges(version, waitMs, recordingOutcome(callback));
    }

    private Consumer<Result> recordingOutcome(Consumer<Result> callback) {
        return result -> {
            if (result.status() == Status.FAILED) {
                health.recordFailure();
            } else {
                health.recordAnswer();
            }
            callback.accept(result);
        };
    }
}
