package org.celerygw.core.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.celerygw.core.gen.peers.PermitReply;
import org.celerygw.core.gen.peers.PermitRequest;
import org.celerygw.core.gen.peers.PermitResult;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.servers.ServerList;
import org.testng.annotations.Test;

/** Guards against permits that are lost for all hosts because their server's entry lapsed while they were asked for. */
public final class LapsedServerPermitTest {
    private static final BackendServer ENTRY = new BackendServer("s", "e", "10.0.0.1", 1, "z", "v1", 8, false, 1);

    private final List<PermitRequest> sent = new ArrayList<>();
    private long nowMs = 1_000;

    @Test
    public void permitThatArrivesWhileTheEntryIsGoneIsReturnedLater() {
        ServerList servers = new ServerList(server -> {});
        servers.put(ENTRY);
        servers.byId("s").limit().recordResponse(2, nowMs);
        Permits permits = new Permits("host", () -> nowMs, (delayMs, task) -> {}, servers, new OtherHost());
        permits.request(servers.byId("s"));
        servers.remove("s", nowMs);
        permits.onReply(PermitReply.newBuilder()
                .setId(sent.get(0).getId())
                .setResult(PermitResult.GRANTED)
                .build());
        nowMs += 4_000;
        servers.put(ENTRY);
        assertEquals(servers.byId("s").limit().perS(nowMs), 2.0);
        permits.request(servers.byId("s"));
        assertEquals(sent.size(), 2);
        assertTrue(sent.get(1).getReturnsUnused());
    }

    /** Issues all permits. */
    private final class OtherHost implements Permits.Network {
        @Override
        public Collection<String> grantingHosts() {
            return List.of("other");
        }

        @Override
        public void announce(String host) {}

        @Override
        public boolean mayGrant() {
            return false;
        }

        @Override
        public void send(String host, PermitRequest request) {
            sent.add(request);
        }
    }
}
