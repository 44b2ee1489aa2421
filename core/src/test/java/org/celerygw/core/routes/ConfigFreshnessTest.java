package org.celerygw.core.routes;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.stream.LongStream;
import org.testng.annotations.Test;

public final class ConfigFreshnessTest {
    /** Guards against a rejection of new keys by a host that has just started or that the store no longer answers. */
    @Test
    public void onlyAConfirmedConfigurationIsTheNewest() {
        ConfigFreshness freshness = new ConfigFreshness(5_000, true);
        assertFalse(freshness.isNewest(7, 0));
        assertFalse(freshness.acceptsKnownKeys(0));
        freshness.recordStoreAnswer(100);
        assertTrue(freshness.isNewest(7, 3_000));
        assertFalse(freshness.isNewest(7, 3_100));
        assertTrue(freshness.acceptsKnownKeys(5_000));
        assertFalse(freshness.acceptsKnownKeys(5_100));
        assertTrue(new ConfigFreshness(5_000, false).acceptsKnownKeys(1_000_000));
    }

    /** Guards against confirmations by peers that the store does not answer, or that are behind. */
    @Test
    public void peersConfirmOnlyWhatTheStoreToldThem() {
        ConfigFreshness freshness = new ConfigFreshness(5_000, true);
        freshness.recordPeer(7, false, 7, 10_000);
        freshness.recordPeer(6, true, 7, 10_000);
        assertFalse(freshness.isNewest(7, 10_000));
        freshness.recordPeer(7, true, 7, 10_000);
        assertTrue(freshness.isNewest(7, 10_000));
        assertFalse(freshness.acceptsKnownKeys(12_500));
        freshness.recordStoreAnswer(20_000);
        freshness.recordPeer(8, false, 7, 20_000);
        assertFalse(freshness.isNewest(7, 20_001));
        assertTrue(freshness.isNewest(8, 20_001));
    }

    /** The load: a thousand requests per second with unknown keys must not make the host read from its peers each time. */
    @Test
    public void unknownKeysCauseFewReadsFromPeers() {
        ConfigFreshness freshness = new ConfigFreshness(5_000, false);
        assertEquals(LongStream.range(0, 2_000).filter(freshness::startAsking).count(), 4);
    }
}
