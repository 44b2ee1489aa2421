package org.celerygw.core.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.id.HostId;
import org.testng.annotations.Test;

/** Acceptance and rejection of datagrams by a single membership, without a network. */
public final class MembershipTest {
    private static final ByteString OLD_KEY = ByteString.copyFromUtf8("0123456789abcdef-old");
    private static final ByteString NEW_KEY = ByteString.copyFromUtf8("0123456789abcdef-new");
    private static final long NOW_MS = 1_000_000;

    @Test
    public void garbageIsDroppedAndCounted() {
        Membership receiver = newMembership("b", 2, "fleet", MembershipKeys.single(OLD_KEY));
        var random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);
        for (int i = 0; i < 2000; i++) {
            byte[] bytes = new byte[random.nextInt(1, 1200)];
            random.nextBytes(bytes);
            assertTrue(receiver.handle(bytes, endpoint(1), NOW_MS).datagrams().isEmpty());
        }
        assertEquals(
                receiver.droppedDatagrams().values().stream()
                        .mapToLong(Long::longValue)
                        .sum(),
                2000);
        assertEquals(receiver.members().size(), 1);
    }

    @Test
    public void oversizedDatagramIsDropped() {
        Membership receiver = newMembership("b", 2, "fleet", MembershipKeys.single(OLD_KEY));
        receiver.handle(new byte[1201], endpoint(1), NOW_MS);
        assertEquals(receiver.droppedDatagrams(), Map.of(DropReason.OVERSIZED, 1L));
    }

    @Test
    public void replayedDatagramIsDropped() {
        Membership receiver = newMembership("b", 2, "fleet", MembershipKeys.single(OLD_KEY));
        byte[] ping = pingToPort2(newMembership("a", 1, "fleet", MembershipKeys.single(OLD_KEY)));
        assertFalse(receiver.handle(ping, endpoint(1), NOW_MS).datagrams().isEmpty());
        assertTrue(receiver.handle(ping, endpoint(1), NOW_MS).datagrams().isEmpty());
        assertEquals(receiver.droppedDatagrams(), Map.of(DropReason.REPLAYED, 1L));
    }

    @Test
    public void oldDatagramFromUnknownSenderIsDropped() {
        Membership receiver = newMembership("b", 2, "fleet", MembershipKeys.single(OLD_KEY));
        receiver.handle(
                pingToPort2(newMembership("a", 1, "fleet", MembershipKeys.single(OLD_KEY))),
                endpoint(1),
                NOW_MS + 600_000);
        assertEquals(receiver.droppedDatagrams(), Map.of(DropReason.STALE, 1L));
    }

    @Test
    public void datagramFromAnotherFleetIsDropped() {
        Membership receiver = newMembership("b", 2, "fleet", MembershipKeys.single(OLD_KEY));
        receiver.handle(
                pingToPort2(newMembership("a", 1, "other", MembershipKeys.single(OLD_KEY))), endpoint(1), NOW_MS);
        assertEquals(receiver.droppedDatagrams(), Map.of(DropReason.FOREIGN, 1L));
    }

    @Test
    public void datagramWithWrongKeyChangedByteOrUnknownKeyIdIsDropped() {
        Membership receiver = newMembership("b", 2, "fleet", MembershipKeys.single(OLD_KEY));
        receiver.handle(
                pingToPort2(newMembership("a", 1, "fleet", MembershipKeys.single(NEW_KEY))), endpoint(1), NOW_MS);
        byte[] changed = pingToPort2(newMembership("a", 1, "fleet", MembershipKeys.single(OLD_KEY)));
        changed[20] ^= 1;
        receiver.handle(changed, endpoint(1), NOW_MS);
        receiver.handle(
                pingToPort2(newMembership("a", 1, "fleet", new MembershipKeys(9, Map.of(9, OLD_KEY)))),
                endpoint(1),
                NOW_MS);
        assertEquals(receiver.droppedDatagrams(), Map.of(DropReason.BAD_TAG, 2L, DropReason.UNKNOWN_KEY, 1L));
    }

    @Test
    public void keyRotationDropsNoDatagrams() {
        Map<Integer, ByteString> bothKeys = Map.of(1, OLD_KEY, 2, NEW_KEY);
        Membership sender = newMembership("a", 1, "fleet", new MembershipKeys(1, bothKeys));
        Membership receiver = newMembership("b", 2, "fleet", new MembershipKeys(1, bothKeys));
        assertFalse(receiver.handle(pingToPort2(sender), endpoint(1), NOW_MS)
                .datagrams()
                .isEmpty());
        sender.rotateKeys(new MembershipKeys(2, bothKeys));
        sender.setSeeds(List.of(endpoint(2)));
        byte[] signedWithNewKey =
                sender.tick(NOW_MS + 10_000).datagrams().get(0).content().toByteArray();
        assertFalse(receiver.handle(signedWithNewKey, endpoint(1), NOW_MS + 10_000)
                .datagrams()
                .isEmpty());
        assertEquals(receiver.droppedDatagrams(), Map.of());
    }

    @Test
    public void replayWindowAcceptsEachNumberOnceInAnyOrder() {
        ReplayWindow window = new ReplayWindow();
        assertTrue(window.accept(5));
        assertTrue(window.accept(3));
        assertFalse(window.accept(3));
        assertFalse(window.accept(5));
        assertTrue(window.accept(100));
        assertFalse(window.accept(36));
        assertTrue(window.accept(37));
        assertFalse(window.accept(0));
        assertTrue(window.accept(Long.MAX_VALUE));
        assertFalse(window.accept(100));
    }

    @Test
    public void toStringDoesNotRevealKeys() {
        assertFalse(MembershipKeys.single(OLD_KEY).toString().contains("old"));
    }

    private static byte[] pingToPort2(Membership sender) {
        sender.setSeeds(List.of(endpoint(2)));
        return sender.tick(NOW_MS).datagrams().get(0).content().toByteArray();
    }

    private static Endpoint endpoint(int port) {
        return new Endpoint("127.0.0.1", port);
    }

    private static Membership newMembership(String hostId, int port, String fleet, MembershipKeys keys) {
        Member self = new Member(
                new HostId(hostId), "127.0.0.1", port, 10, 11, new AvailabilityZone("z"), "v1", NOW_MS, 0, false);
        return new Membership(
                MembershipSettings.defaults(fleet), keys, self, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
    }
}
