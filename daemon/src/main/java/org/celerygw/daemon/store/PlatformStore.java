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
 * Client of the platform's table service, object store and host list. A request without a complete response within the
 * timeout yields an unknown result, never an exception. Its connection is closed, since it may have gone silent.
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
        this.objects = new HttpObjectStore(client);
    }

    /**
     * Creates a client. Connections are opened on first use.
     *
     * @param vertx the Vert.x instance that runs the connections
     * @param uri the services' address, in the form http://ADDRESS:PORT
     * @param timeoutMs the maximum duration of a request
     * @return a client, to be closed with {@link #close}
     */
    public static PlatformStore connect(Vertx vertx, URI uri, long timeoutMs) {
        Check.that("http".equals(uri.getScheme()) && uri.getPort() > 0, "uri must be http://ADDRESS:PORT");
        Check.that(timeoutMs > 0, "timeoutMs must be positive");
        return new PlatformStore(new StoreClient(vertx, uri, timeoutMs));
    }

    /**
     * Returns the transactional table.
     *
     * @return a table whose reads and writes are HTTP requests
     */
    public Table table() {
        return table;
    }

    /**
     * Returns the object store.
     *
     * @return an object store whose operations are HTTP requests
     */
    public ObjectStore objects() {
        return objects;
    }

    /**
     * Reads the platform's list of hosts, which may be out of date.
     *
     * @param callback receives the list, or {@link HostList#FAILED}
     */
    public void listHosts(Consumer<HostList> callback) {
        client.get("/hosts", result -> callback.accept(parseHostList(result)));
    }

    /**
     * Closes the connections.
     *
     * @return completes when all connections are closed
     */
    public Future<Void> close() {
        return client.close();
    }

    private static HostList parseHostList(HttpResult result) {
        HostListReply reply = StoreClient.parse(result, HostListReply.parser(), HostListReply.getDefaultInstance());
        return reply.getComplete() ? new HostList(true, reply.getHostsList()) : HostList.FAILED;
    }

    /**
     * The platform's list of hosts.
     *
     * @param ok false if the platform did not return a complete list
     * @param hosts the hosts; empty when not {@code ok}
     */
    public record HostList(boolean ok, List<HostEntry> hosts) {
        static final HostList FAILED = new HostList(false, List.of());

        /** Makes a defensive copy of the list. */
        public HostList {
            hosts = List.copyOf(hosts);
        }
    }
}
