package org.celerygw.gateway;

import java.util.function.Consumer;
import org.celerygw.gateway.peers.StoreHealth;
import org.celerygw.gateway.watch.RowFeed;

/** A feed that tells the store's health how it was answered. */
final class NotedFeed implements RowFeed {
    private final RowFeed feed;
    private final StoreHealth health;

    NotedFeed(RowFeed feed, StoreHealth health) {
        this.feed = feed;
        this.health = health;
    }

    @Override
    public void all(Consumer<News> done) {
        feed.all(note(done));
    }

    @Override
    public void after(long version, long waitMs, Consumer<News> done) {
        feed.after(version, waitMs, note(done));
    }

    private Consumer<News> note(Consumer<News> done) {
        return news -> {
            if (news.status() == Status.FAILED) {
                health.failed();
            } else {
                health.answered();
            }
            done.accept(news);
        };
    }
}
