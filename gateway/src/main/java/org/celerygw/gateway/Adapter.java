package org.celerygw.gateway;

import java.util.List;
import java.util.Optional;
import org.celerygw.core.routes.RouteTable;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.gateway.forward.Dialect;
import org.celerygw.gateway.watch.RowFeed;

/** Connects the gateway to the platform on which it runs: the store, the two feeds and the request protocol. */
public interface Adapter {
    /**
     * Returns the tables that store the programs.
     *
     * @param count the number of partitions
     * @return one table per partition, in the order of the partition numbers
     */
    List<Table> partitions(int count);

    /**
     * Returns the table in which gateway hosts register their addresses.
     *
     * @return a table with one row per host
     */
    Table hostTable();

    /**
     * Returns the feed of the operator's configuration.
     *
     * @return the feed, whose rows {@link #parseConfiguration} parses
     */
    RowFeed configurationFeed();

    /**
     * Parses a row of the configuration feed.
     *
     * @param row a row that exists
     * @return the configuration; empty when the row holds something else; throws when it is malformed
     */
    Optional<RouteTable> parseConfiguration(Row row);

    /**
     * Returns the feed of registered backend servers.
     *
     * @return the feed, whose rows {@link #parseServer} parses
     */
    RowFeed serverFeed();

    /**
     * Parses a row of the backend server feed.
     *
     * @param row a row that exists
     * @return the backend server; throws when the row does not describe a usable one
     */
    Optional<BackendServer> parseServer(Row row);

    /**
     * Returns the mapping between the platform's HTTP headers and the gateway's request model.
     *
     * @return the dialect; one instance serves all requests
     */
    Dialect dialect();
}
