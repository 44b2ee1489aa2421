package org.celerygw.gateway;

import java.util.List;
import java.util.Optional;
import org.celerygw.core.routes.RouteTable;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.gateway.forward.Dialect;
import org.celerygw.gateway.watch.RowFeed;

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
     * Returns the table that lists the hosts of the gateway.
     *
     * @return the table
     */
    Table members();

    /**
     * Returns the feed of the operator's configuration.
     *
     * @return the feed
     */
    RowFeed configurations();

    /**
     * Reads a row of that feed.
     *
     * @param row a row that exists
     * @return the configuration; empty when it is another row or cannot be read
     */
    Optional<RouteTable> configuration(Row row);

    /**
     * Returns the feed of the backend servers' entries.
     *
     * @return the feed
     */
    RowFeed servers();

    /**
     * Reads a row of that feed.
     *
     * @param row a row that exists
     * @return the entry; empty when it names no server that could be used
     */
    Optional<BackendServer> server(Row row);

    /**
     * Returns the translation of requests and answers.
     *
     * @return the dialect
     */
    Dialect dialect();
}
