package org.celerygw.gateway;

import java.util.function.Consumer;
import org.celerygw.core.routes.ConfigFreshness;
import org.celerygw.core.time.Clock;
import org.celerygw.gateway.watch.RowFeed;

/** Decorates the feed of configurations: an answer of the store that was applied confirms the configuration. */
final class ConfirmingFeed implements RowFeed {
    private final RowFeed feed;
    private final Clock clock;
    private final ConfigFreshness freshness;

    ConfirmingFeed(RowFeed feed, Clock clock, ConfigFreshness freshness) {
        this.feed = feed;
        this.clock = clock;
        this.freshness = freshness;
    }

    @Override
    public void readAll(Consumer<Result> callback) {
        feed.readAll(confirming(callback));
    }

    @Override
    public void awaitChanges(long version, long waitMs, Consumer<Result> callback) {
        feed.awaitChanges(version, waitMs, confirming(callback));
    }

    private Consumer<Result> confirming(Consumer<Result> callback) {
        long requestedAtMs = clock.nowMs();
        return result -> {
            callback.accept(result);
            if (result.status() == Status.OK) {
                freshness.recordStoreAnswer(requestedAtMs);
            }
        };
    }
}
