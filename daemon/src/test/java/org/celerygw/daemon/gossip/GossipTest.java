package org.celerygw.daemon.gossip;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.simple.RandomSource;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.HostId;
import org.celerygw.core.membership.DropReason;
import org.celerygw.core.membership.Member;
import org.celerygw.core.membership.Membership;
import org.celerygw.core.membership.MembershipKeys;
import org.celerygw.core.membership.MembershipSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Memberships of several daemons over UDP sockets on the loopback interface. */
public final class GossipTest {
    private static final MembershipKeys KEYS =
            MembershipKeys.single(ByteString.copyFromUtf8("a shared key for gossip tests"));

    private final List<Gossip> gossips = new ArrayList<>();

    @AfterMethod
    public void closeAll() {
        gossips.forEach(Gossip::close);
        gossips.clear();
    }

    @Test
    public void daemonsJoinShareFactsAndDetectLeavingAndCrashedMembers() throws Exception {
        for (int i = 0; i < 4; i++) {
            startGossip(freePort());
        }
        Gossip first = gossips.get(0);
        waitUntil(() -> gossips.stream().allMatch(g -> g.members().size() == 4));
        first.markServerLeaving(new BackendServerId("engine"), 1);
        first.announceConfig(7);
        waitUntil(() -> gossips.stream()
                .allMatch(g -> g.query(m -> m.isServerLeaving(new BackendServerId("engine")) && m.configVersion() == 7)
                        .join()));
        Gossip leaving = gossips.get(3);
        leaving.leave().join();
        leaving.close();
        gossips.remove(leaving);
        waitUntil(() -> gossips.stream().allMatch(g -> g.members().size() == 3));
        gossips.remove(2).close();
        waitUntil(() -> gossips.stream().allMatch(g -> g.members().size() == 2));
    }

    @Test
    public void invalidDatagramsFromTheNetworkAreCounted() throws Exception {
        Gossip gossip = startGossip(freePort());
        int port = gossip.members().get(0).gossipPort();
        try (DatagramSocket socket = new DatagramSocket()) {
            InetAddress loopback = InetAddress.getByName("127.0.0.1");
            socket.send(new DatagramPacket(new byte[2000], 2000, loopback, port));
            socket.send(new DatagramPacket(new byte[] {-1, -1, -1}, 3, loopback, port));
        }
        waitUntil(() -> gossip.counters().join().receivedDatagrams() == 2);
        assertEquals(gossip.counters().join().droppedDatagrams().get(DropReason.OVERSIZED), 1L);
        assertEquals(gossip.counters().join().droppedDatagrams().get(DropReason.MALFORMED), 1L);
    }

    private Gossip startGossip(int port) {
        HostId host = new HostId("host-" + port);
        Member self = new Member(
                host, "127.0.0.1", port, 1, 2, new AvailabilityZone("z"), "v1", System.currentTimeMillis(), 0, false);
        Membership membership = new Membership(
                MembershipSettings.defaults("test"), KEYS, self, RandomSource.XO_RO_SHI_RO_128_PP.create(port));
        Gossip gossip = new Gossip(membership, System::currentTimeMillis, change -> {}, update -> {});
        gossip.start(new InetSocketAddress("127.0.0.1", port)).join();
        gossip.setSeeds(gossips.stream()
                .map(g -> g.query(Membership::self).join().gossipEndpoint())
                .toList());
        gossips.add(gossip);
        return gossip;
    }

    private static int freePort() throws Exception {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private static void waitUntil(BooleanSupplier condition) throws InterruptedException {
        // Waits for up to a minute, as the machine may be busy, and returns as soon as the condition holds.
        for (int i = 0; i < 1200 && !condition.getAsBoolean(); i++) {
            Thread.sleep(50);
        }
        assertTrue(condition.getAsBoolean());
    }
}
