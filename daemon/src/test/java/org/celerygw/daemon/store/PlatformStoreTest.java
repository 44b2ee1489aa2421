package org.celerygw.daemon.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.vertx.core.Vertx;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.celerygw.core.store.ObjectStore;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;
import org.celerygw.standin.Fault;
import org.celerygw.standin.StoreOptions;
import org.celerygw.standin.StoreServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class PlatformStoreTest {
    private static final long TIMEOUT_MS = 300;
    private static final ByteString VALUE = ByteString.copyFromUtf8("value");

    private Vertx vertx;
    private StoreServer server;
    private PlatformStore store;

    @BeforeMethod
    public void start() {
        vertx = Vertx.vertx();
        server = StoreServer.start(vertx, new StoreOptions(0, 0, 1_000_000, 1_000))
                .await();
        store = PlatformStore.connect(vertx, URI.create(server.uri()), TIMEOUT_MS);
    }

    @AfterMethod
    public void stop() {
        vertx.close().await();
    }

    @Test
    public void writesOnlyWhenTheConditionHoldsAndReturnsTheCurrentRowsOtherwise() throws Exception {
        assertEquals(put("a", 0), TxnResult.COMMITTED);
        TxnResult second = put("a", 0);
        assertEquals(second.status(), TxnResult.Status.CONFLICT);
        assertEquals(second.currentRows(), List.of(new Row("a", 1, VALUE)));
        assertEquals(put("a", 1), TxnResult.COMMITTED);
        assertEquals(read("a", "b").rows(), List.of(new Row("a", 2, VALUE), Row.absent("b")));
    }

    @Test
    public void scansByPrefixInPages() throws Exception {
        for (String key : List.of("p/1", "p/2", "p/3", "q/1")) {
            put(key, 0);
        }
        Table.ReadResult firstPage = await(callback -> store.table().scan("p/", "", 2, callback));
        Table.ReadResult secondPage = await(callback -> store.table().scan("p/", "p/2", 2, callback));
        assertEquals(firstPage.rows().stream().map(Row::key).toList(), List.of("p/1", "p/2"));
        assertEquals(secondPage.rows().stream().map(Row::key).toList(), List.of("p/3"));
    }

    @Test
    public void aLostResponseYieldsUnknownThoughTheWriteWasApplied() throws Exception {
        server.faults().injectNext(Fault.LOST_ANSWER, 1);
        assertEquals(put("a", 0), TxnResult.UNKNOWN);
        assertEquals(read("a").rows().get(0).version(), 1);
    }

    @Test
    public void aRefusedWriteYieldsUnknownAndIsNotApplied() throws Exception {
        server.faults().injectNext(Fault.REFUSED, 1);
        assertEquals(put("a", 0), TxnResult.UNKNOWN);
        assertEquals(read("a").rows().get(0).version(), 0);
    }

    @Test
    public void aSlowWriteYieldsUnknownAndIsAppliedLater() throws Exception {
        server.faults().setDelayMs(3 * TIMEOUT_MS);
        assertEquals(put("a", 0), TxnResult.UNKNOWN);
        server.faults().clear();
        while (read("a").rows().get(0).version() == 0) {
            Thread.onSpinWait();
        }
    }

    @Test
    public void aStoreThatIsDownFailsReadsWithoutAnException() throws Exception {
        server.faults().injectAlways(Fault.DOWN);
        assertFalse(read("a").ok());
        assertEquals(put("a", 0), TxnResult.UNKNOWN);
        ObjectStore.GetResult result = await(callback -> store.objects().get("o", callback));
        assertEquals(result.status(), ObjectStore.Status.UNAVAILABLE);
    }

    @Test
    public void aStoreThatDoesNotListenFailsReadsWithoutAnException() throws Exception {
        server.close().await();
        assertFalse(read("a").ok());
        assertFalse(await(store::listHosts).ok());
    }

    @Test
    public void aSilentConnectionIsClosedAndReplaced() throws Exception {
        assertTrue(read("a").ok());
        server.silenceConnections();
        assertFalse(read("a").ok());
        assertTrue(read("a").ok());
    }

    @Test
    public void objectsAreReadableUntilDeleted() throws Exception {
        assertTrue(await(callback -> store.objects().put("seg/1", VALUE, callback)));
        ObjectStore.GetResult found = await(callback -> store.objects().get("seg/1", callback));
        assertEquals(found, new ObjectStore.GetResult(ObjectStore.Status.FOUND, VALUE));
        assertTrue(await(callback -> store.objects().delete("seg/1", callback)));
        ObjectStore.GetResult afterDelete = await(callback -> store.objects().get("seg/1", callback));
        assertEquals(afterDelete.status(), ObjectStore.Status.ABSENT);
    }

    private TxnResult put(String key, long version) throws Exception {
        Txn txn = new Txn(List.of(new Txn.Condition(key, version)), List.of(Txn.Change.put(key, VALUE)));
        return await(callback -> store.table().write(txn, callback));
    }

    private Table.ReadResult read(String... keys) throws Exception {
        return await(callback -> store.table().read(List.of(keys), callback));
    }

    private <T> T await(Consumer<Consumer<T>> call) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        vertx.runOnContext(v -> call.accept(result::complete));
        return result.get(20, TimeUnit.SECONDS);
    }
}
