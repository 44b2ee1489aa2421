package org.celerygw.core.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Guards against a configuration that is late in a fleet whose connections to the store have all gone silent. */
public final class FeedWaitTest {
    private static final int HOSTS = 86;
    private static final int FANOUT = 6;
    private static final long ROUND_MS = 400;
    /** A poll is given up this long after its wait; the read and the one from a peer take the rest. */
    private static final long DETECTION_MS = 400 + 100 + 50;

    @Test
    public void smallFleetsAndHostsThatMustConfirmSoonWaitNoLongerThanBefore() {
        assertEquals(FeedWait.nextMs(12, Long.MAX_VALUE, () -> 0.99), 1_000);
        assertTrue(FeedWait.nextMs(HOSTS, 5_000, () -> 0.99) <= 2_500);
        assertTrue(FeedWait.nextMs(1_000, Long.MAX_VALUE, () -> 0.999) <= FeedWait.MAX_WAIT_MS);
    }

    /** All connections are silent from the moment at which the configuration is written; digests tell of its version. */
    @Test
    public void configurationReachesAllHostsWithin3sOfItsWrite() {
        long worstMs =
                IntStream.range(0, 200).mapToLong(FeedWaitTest::spreadMs).max().orElseThrow();
        assertTrue(worstMs <= 3_000, "in force after " + worstMs + " ms");
    }

    private static long spreadMs(int seed) {
        Random random = new Random(seed);
        long[] knownAtMs = new long[HOSTS];
        for (int i = 0; i < HOSTS; i++) {
            // At 86 hosts, some 45 are heard of within the age at which a host counts as live.
            long waitMs = FeedWait.nextMs(46, Long.MAX_VALUE, random::nextDouble);
            knownAtMs[i] = (long) (random.nextDouble() * waitMs) + DETECTION_MS;
        }
        int[] firstRoundMs = random.ints(HOSTS, 0, (int) ROUND_MS).toArray();
        for (int nowMs = 0; nowMs < 10_000; nowMs++) {
            for (int i = 0; i < HOSTS; i++) {
                if (nowMs % ROUND_MS == firstRoundMs[i] && knownAtMs[i] <= nowMs) {
                    for (int k = 0; k < FANOUT; k++) {
                        int receiver = random.nextInt(HOSTS);
                        // The receiver looks at the versions once per round of its own, and then reads from a peer.
                        knownAtMs[receiver] = Math.min(knownAtMs[receiver], nowMs + ROUND_MS + 50);
                    }
                }
            }
        }
        return IntStream.range(0, HOSTS).mapToLong(i -> knownAtMs[i]).max().orElseThrow();
    }
}
