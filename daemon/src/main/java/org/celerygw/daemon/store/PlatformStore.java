package org.celerygw.daemon.store;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.net.URI;
import java.util.List;
import java.util.function.Consumer;
import org.celerygw.core.gen.store.HostEntry;
import org.celerygw.core.gen.store.HostListReply;
import org.celerygw.core.helper.Check;
import org.celerygw.core.store.ObjectStore;
import org.celerygw.core.store.Table;
import org.celerygw.daemon.client.HttpResult;

/**
 * The platform's services as one daemon uses them. A request that is not answered whole within the timeout yields an
 * unknown result, never an exception; its connection is closed, as it may have gone silent.
 *
 * <pre>{@code
 * PlatformStore store = PlatformStore.connect(vertx, URI.create("http://127.0.0.1:7000"), 2_000);
 * store.table().read(List.of("key"), answer -> ...);
 * }</pre>
 */
public final class PlatformStore {
    private final StoreClient client;
    private final Table table;
    private final ObjectStore objects;

    private PlatformStore(StoreClient client) {
        this.client = client;
        this.table = new HttpTable(client);
        this.objects = new HttpObjects(client);
    }

    /**
     * Returns the services at an address; connections open at the first use.
     *
     * @param vertx runs the connections
     * @param uri the address: http, an IP number and a port
     * @param timeoutMs how long a request may take
     * @return the services
     */
    public static PlatformStore connect(Vertx vertx, URI uri, long timeoutMs) {
        Check.that("http".equals(uri.getScheme()) && uri.getPort() > 0, "uri must be http://ADDRESS:PORT");
        Check.that(timeoutMs > 0, "timeoutMs must be positive");
        return new PlatformStore(new StoreClient(vertx, uri, timeoutMs));
    }

    /**
     * Returns the transactional table.
     *
     * @return the table
     */
    public Table table() {
        return table;
    }

    /**
     * Returns the object store.
     *
     * @return the object store
     */
    public ObjectStore objects() {
        return objects;
    }

    /**
     * Reads the platform's list of hosts, which lags.
     *
     * @param done given the list
     */
    public void hosts(Consumer<HostList> done) {
        client.get("/hosts", reply -> done.accept(hostList(reply)));
    }

    /**
     * Closes the connections.
     *
     * @return done once they are closed
     */
    public Future<Void> close() {
        return client.close();
    }

    private static HostList hostList(HttpResult reply) {
        HostListReply list = StoreClient.parse(reply, HostListReply.parser(), HostListReply.getDefaultInstance());
        return list.getComplete() ? new HostList(true, list.getHostsList()) : HostList.FAILED;
    }

    /**
     * The platform's hosts as it last told.
     *
     * @param ok false when it did not answer
     * @param hosts the hosts; empty when it did not answer
     */
    public record HostList(boolean ok, List<HostEntry> hosts) {
        static final HostList FAILED = new HostList(false, List.of());

        /** Copies the list. */
        public HostList {
            hosts = List.copyOf(hosts);
        }
    }
}
