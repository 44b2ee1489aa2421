package org.celerygw.gateway;

import java.util.List;
import org.celerygw.core.routes.RouteTable;
import org.celerygw.core.store.Table;
import org.celerygw.gateway.forward.Dialect;
import org.celerygw.gateway.watch.Feed;

/** Everything that the gateway has from the platform it runs on, translated into its own terms. */
public interface Adapter {
    /**
     * Returns the partitions that hold the programs.
     *
     * @param count how many
     * @return one table for each
     */
    List<Table> partitions(int count);

    /**
     * Returns the feed of configurations.
     *
     * @return a feed whose rows are whole configurations
     */
    Feed<RouteTable> configurations();

    /**
     * Returns the feed of backend servers.
     *
     * @return a feed of entries, also of those that are gone or cannot be read
     */
    Feed<ServerNews> servers();

    /**
     * Returns the translation of requests and answers.
     *
     * @return the dialect
     */
    Dialect dialect();
}
