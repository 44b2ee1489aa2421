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

/** What a single membership takes and refuses. */
public final class MembershipTest {
    private static final ByteString OLD_KEY = ByteString.copyFromUtf8("0123456789abcdef-old");
    private static final ByteString NEW_KEY = ByteString.copyFromUtf8("0123456789abcdef-new");
    private static final long NOW_MS = 1_000_000;

    @Test
    public void garbageIsCountedAndDropped() {
        Membership b = make("b", 2, "fleet", MembershipKeys.single(OLD_KEY));
        var random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);
        for (int i = 0; i < 2000; i++) {
            byte[] bytes = new byte[random.nextInt(1, 1200)];
            random.nextBytes(bytes);
            assertTrue(b.handle(bytes, at(1), NOW_MS).datagrams().isEmpty());
        }
        assertEquals(b.dropped().values().stream().mapToLong(Long::longValue).sum(), 2000);
        assertEquals(b.members().size(), 1);
    }

    @Test
    public void anOversizedDatagramIsDropped() {
        Membership b = make("b", 2, "fleet", MembershipKeys.single(OLD_KEY));
        b.handle(new byte[1201], at(1), NOW_MS);
        assertEquals(b.dropped(), Map.of(DropReason.OVERSIZED, 1L));
    }

    @Test
    public void aReplayedDatagramIsDropped() {
        Membership b = make("b", 2, "fleet", MembershipKeys.single(OLD_KEY));
        byte[] ping = pingTo2(make("a", 1, "fleet", MembershipKeys.single(OLD_KEY)));
        assertFalse(b.handle(ping, at(1), NOW_MS).datagrams().isEmpty());
        assertTrue(b.handle(ping, at(1), NOW_MS).datagrams().isEmpty());
        assertEquals(b.dropped(), Map.of(DropReason.REPLAYED, 1L));
    }

    @Test
    public void anOldDatagramOfAnUnknownSenderIsDropped() {
        Membership b = make("b", 2, "fleet", MembershipKeys.single(OLD_KEY));
        b.handle(pingTo2(make("a", 1, "fleet", MembershipKeys.single(OLD_KEY))), at(1), NOW_MS + 600_000);
        assertEquals(b.dropped(), Map.of(DropReason.STALE, 1L));
    }

    @Test
    public void aForeignFleetsDatagramIsDropped() {
        Membership b = make("b", 2, "fleet", MembershipKeys.single(OLD_KEY));
        b.handle(pingTo2(make("a", 1, "other", MembershipKeys.single(OLD_KEY))), at(1), NOW_MS);
        assertEquals(b.dropped(), Map.of(DropReason.FOREIGN, 1L));
    }

    @Test
    public void anotherKeyOrAChangedByteIsDropped() {
        Membership b = make("b", 2, "fleet", MembershipKeys.single(OLD_KEY));
        b.handle(pingTo2(make("a", 1, "fleet", MembershipKeys.single(NEW_KEY))), at(1), NOW_MS);
        byte[] changed = pingTo2(make("a", 1, "fleet", MembershipKeys.single(OLD_KEY)));
        changed[20] ^= 1;
        b.handle(changed, at(1), NOW_MS);
        b.handle(pingTo2(make("a", 1, "fleet", new MembershipKeys(9, Map.of(9, OLD_KEY)))), at(1), NOW_MS);
        assertEquals(b.dropped(), Map.of(DropReason.BAD_TAG, 2L, DropReason.UNKNOWN_KEY, 1L));
    }

    @Test
    public void keysRotateWithoutAGap() {
        Map<Integer, ByteString> both = Map.of(1, OLD_KEY, 2, NEW_KEY);
        Membership a = make("a", 1, "fleet", new MembershipKeys(1, both));
        Membership b = make("b", 2, "fleet", new MembershipKeys(1, both));
        assertFalse(b.handle(pingTo2(a), at(1), NOW_MS).datagrams().isEmpty());
        a.rotate(new MembershipKeys(2, both));
        a.seed(List.of(at(2)));
        byte[] signedAnew = a.tick(NOW_MS + 10_000).datagrams().get(0).content().toByteArray();
        assertFalse(b.handle(signedAnew, at(1), NOW_MS + 10_000).datagrams().isEmpty());
        assertEquals(b.dropped(), Map.of());
    }

    @Test
    public void theReplayWindowTakesEachNumberOnceInAnyOrder() {
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
    public void keysAreNotPrinted() {
        assertFalse(MembershipKeys.single(OLD_KEY).toString().contains("old"));
    }

    private static byte[] pingTo2(Membership from) {
        from.seed(List.of(at(2)));
        return from.tick(NOW_MS).datagrams().get(0).content().toByteArray();
    }

    private static Endpoint at(int port) {
        return new Endpoint("127.0.0.1", port);
    }

    private static Membership make(String name, int port, String fleet, MembershipKeys keys) {
        Member self = new Member(
                new HostId(name), "127.0.0.1", port, 10, 11, new AvailabilityZone("z"), "v1", NOW_MS, 0, false);
        return new Membership(
                MembershipSettings.defaults(fleet), keys, self, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
    }
}
