package org.celerygw.core.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.celerygw.core.gen.peers.CrashSuspect;
import org.celerygw.core.gen.peers.CrashedRun;
import org.celerygw.core.gen.peers.Digest;
import org.celerygw.core.gen.peers.DigestPart;
import org.celerygw.core.gen.peers.ServerLoad;
import org.celerygw.core.gen.peers.Waiting;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against what hosts tell each other getting lost when it grows beyond one datagram. */
public final class DigestSplitterTest {
    /** What hosts of earlier releases read of a datagram. */
    private static final int EARLIER_BUFFER_BYTES = 2_048;

    private final DigestSplitter splitter = new DigestSplitter();

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{0, 0, 0}, {40, 3, 10}, {60, 10, 20}, {600, 128, 420}, {600, 0, 0}, {0, 128, 0}};
    }

    @Test(dataProvider = "sizes")
    public void everythingArrivesInDatagramsThatEarlierReleasesCanRead(int servers, int suspects, int started)
            throws InvalidProtocolBufferException {
        Digest digest = digest(servers, suspects, started);
        List<Digest> datagrams = splitter.split(digest);
        Digest joined = Digest.parseFrom(datagrams.get(0).toByteArray());
        assertEquals(joined.getHost(), digest.getHost());
        assertEquals(joined.getConfigVersion(), digest.getConfigVersion());
        assertEquals(joined.getWaitingMap(), digest.getWaitingMap());
        for (Digest datagram : datagrams.subList(1, datagrams.size())) {
            assertTrue(datagram.getHost().isEmpty(), "a host of an earlier release takes a part for a digest");
            DigestPart part = Digest.parseFrom(datagram.toByteArray()).getContinued();
            assertTrue(DigestSplitter.continues(joined, part));
            joined = joined.toBuilder().mergeFrom(DigestSplitter.toDigest(part)).build();
        }
        for (Digest datagram : datagrams) {
            assertTrue(datagram.getSerializedSize() <= DigestSplitter.MAX_DATAGRAM_BYTES);
            assertTrue(datagram.getSerializedSize() <= EARLIER_BUFFER_BYTES);
        }
        assertEquals(Set.copyOf(joined.getLoadsList()), Set.copyOf(digest.getLoadsList()));
        assertEquals(joined.getLoadsCount(), digest.getLoadsCount());
        assertEquals(joined.getSuspectsList(), digest.getSuspectsList());
        assertEquals(joined.getStartedList(), digest.getStartedList());
    }

    @Test
    public void limitsAndCrashesComeBeforeLoads() {
        Digest.Builder digest = digest(300, 20, 50).toBuilder();
        digest.getLoadsBuilderList().forEach(ServerLoad.Builder::clearLimitPerS);
        Digest first = splitter.split(digest.addLoads(
                                ServerLoad.newBuilder().setServer("limited").setLimitPerS(2))
                        .build())
                .get(0);
        assertTrue(
                first.getLoadsList().stream().anyMatch(load -> load.getServer().equals("limited")));
        assertTrue(first.getSuspectsCount() > 0);
    }

    @Test
    public void digestThatIsFarTooLongIsCutAtItsEnd() {
        List<Digest> datagrams = splitter.split(digest(5_000, 128, 0));
        assertTrue(datagrams.size() <= 24, datagrams.size() + " datagrams");
        int suspects = datagrams.stream()
                .mapToInt(d -> d.getSuspectsCount() + d.getContinued().getSuspectsCount())
                .sum();
        assertEquals(suspects, 128);
    }

    @Test
    public void manyServicesLeaveRoomForTheRest() {
        Digest.Builder digest = digest(100, 5, 0).toBuilder();
        IntStream.range(0, 500)
                .forEach(i -> digest.putWaiting(
                        "service-with-a-long-name-" + i,
                        Waiting.newBuilder().setOthers(i).build()));
        splitter.split(digest.build()).forEach(d -> assertTrue(d.getSerializedSize() <= EARLIER_BUFFER_BYTES));
    }

    @Test
    public void partOfAnotherDigestDoesNotContinueThisOne() {
        Digest before = splitter.split(digest(300, 0, 0)).get(0);
        DigestPart part = splitter.split(digest(300, 0, 0)).get(1).getContinued();
        assertFalse(DigestSplitter.continues(before, part));
        assertFalse(DigestSplitter.continues(Digest.newBuilder().setHost("host").build(), part));
        Set<Integer> sequences = new HashSet<>();
        IntStream.range(0, 100)
                .forEach(i ->
                        sequences.add(splitter.split(digest(1, 0, 0)).get(0).getSequence()));
        assertEquals(sequences.size(), 100);
    }

    /** A digest as a host of an earlier release writes it: one datagram, whatever its length, without a sequence. */
    @Test
    public void digestOfAnEarlierReleaseIsReadAsAWhole() throws InvalidProtocolBufferException {
        Digest read = Digest.parseFrom(digest(600, 48, 100).toByteArray());
        assertEquals(read.getSequence(), 0);
        assertFalse(read.hasContinued());
        assertEquals(read.getLoadsCount(), 600);
    }

    private static Digest digest(int servers, int suspects, int started) {
        Digest.Builder digest = Digest.newBuilder()
                .setHost("front-zona-paysandu-420")
                .setZone("zona-paysandu")
                .setConfigVersion(1_000_000)
                .setStoreAnswers(true)
                .setStoreMs(12)
                .putWaiting("huvo11a", Waiting.newBuilder().setUnderWay(3).build());
        IntStream.range(0, servers)
                .forEach(i -> digest.addLoads(ServerLoad.newBuilder()
                        .setServer(String.format("i-%08x", i))
                        .setInFlight(i % 50)
                        .setLimitPerS(i % 2 == 0 ? 2.5 : 0)
                        .setLimitAgeMs(i % 2 == 0 ? 9_999 : 0)));
        IntStream.range(0, suspects).forEach(i -> digest.addSuspects(suspect(i)));
        IntStream.range(0, started).forEach(digest::addStarted);
        return digest.build();
    }

    private static CrashSuspect suspect(int number) {
        CrashSuspect.Builder suspect =
                CrashSuspect.newBuilder().setRequest(number).setProbeAgeMs(5_000);
        IntStream.range(0, 1 + number % 12)
                .forEach(i -> suspect.addRuns(CrashedRun.newBuilder()
                        .setServer(i)
                        .setSentAgeMs(500_000)
                        .setEndedAgeMs(400_000)
                        .setHadResult(true)));
        return suspect.build();
    }
}
