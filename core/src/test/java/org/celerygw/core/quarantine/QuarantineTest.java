package org.celerygw.core.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.celerygw.core.gen.peers.CrashSuspect;
import org.celerygw.core.gen.peers.CrashedRun;
import org.testng.annotations.Test;

/** Guards against the failure that one request crashes server after server, since no host remembers it. */
public final class QuarantineTest {
    private static final long RUN_MS = 60;

    private final Quarantine quarantine = new Quarantine("host");
    private final Quarantine peer = new Quarantine("peer");

    private static Fingerprint request(String path, String body) {
        return Fingerprint.of("h", "POST", path, path, body.getBytes(StandardCharsets.UTF_8));
    }

    private static void crash(Quarantine at, Fingerprint request, int server, long endedMs) {
        at.recordCrash(request, server, endedMs - RUN_MS, false, endedMs);
    }

    @Test
    public void requestIsNotSentAfterThreeCrashesOneAfterTheOther() {
        Fingerprint request = request("/a/1", "x");
        Quarantine own = new Quarantine("host");
        crash(own, request, 1, 1_000);
        crash(own, request, 2, 1_100);
        assertEquals(own.remainingMs(request, 1_100), 0);
        crash(own, request, 3, 1_200);
        assertTrue(own.remainingMs(request, 1_200) >= Quarantine.MIN_CONTENT_QUARANTINE_MS);
        assertEquals(own.remainingMs(request, 2 * Quarantine.MIN_CONTENT_QUARANTINE_MS), 0);
        crash(own, request, 4, 120_000);
        assertTrue(own.remainingMs(request, 120_000) >= 2 * Quarantine.MIN_CONTENT_QUARANTINE_MS);
    }

    @Test
    public void requestThatCrashesItsServersLateIsNotSentAfterSixCrashes() {
        Fingerprint request = request("/a/1", "x");
        Quarantine own = new Quarantine("host");
        for (int i = 0; i < 6; i++) {
            assertEquals(own.remainingMs(request, 1_000 + 1_000L * i), 0);
            own.recordCrash(request, i, 1_000 + 1_000L * i, true, 1_900 + 1_000L * i);
        }
        assertTrue(own.remainingMs(request, 7_000) > 0);
    }

    /** Guards against BUDGET: a request that came again before it had crashed its server went on to crash a dozen. */
    @Test
    public void requestThatComesAgainBeforeItsCrashIsHeldBackAfterSixCrashes() {
        Fingerprint request = request("/a/1", "x");
        Quarantine own = new Quarantine("host");
        for (int i = 0; i < 40; i++) {
            long endedMs = 2_500 + 1_000L * i;
            assertEquals(own.remainingMs(request, endedMs) > 0, i >= 6, "after " + i + " crashes");
            own.recordCrash(request, i, endedMs - 2_500, true, endedMs);
        }
    }

    @Test
    public void furtherCrashesNeverEndTheQuarantine() {
        Quarantine own = new Quarantine("host");
        IntStream.range(0, 3).forEach(i -> crash(own, request("/a", "x" + i), i, 1_000 + 100L * i));
        for (int i = 3; i < 40; i++) {
            // All overlap, on one path.
            own.recordCrash(request("/a", "x" + i), i, 1_250, false, 1_300 + i);
            assertTrue(own.remainingMs(request("/a", "y"), 1_400) > 0, "after " + i + " crashes");
        }
    }

    @Test
    public void serversThatFailTogetherCountOnceForOneRequest() {
        Fingerprint request = request("/a", "x");
        Quarantine own = new Quarantine("host");
        IntStream.range(0, 8).forEach(i -> own.recordCrash(request, i, 900, false, 1_000 + 40L * i));
        assertEquals(own.remainingMs(request, 1_400), 0);
    }

    @Test
    public void afterTheQuarantineOneHostSendsOneProbe() {
        Fingerprint request = request("/a/1", "x");
        List<Quarantine> hosts =
                IntStream.range(0, 95).mapToObj(i -> new Quarantine("host" + i)).toList();
        IntStream.range(0, 3).forEach(i -> crash(hosts.get(0), request, i, 1_000 + 100L * i));
        hosts.forEach(host -> host.addTold(hosts.get(0).suspectsToTell(1_300), 1_300, hash -> {}));
        int probes = 0;
        for (long nowMs = 1_300; nowMs < 200_000 && probes == 0; nowMs += 20) {
            for (Quarantine host : hosts) {
                if (host.remainingMs(request, nowMs) == 0) {
                    assertTrue(host.recordSend(request, nowMs));
                    probes++;
                    List<CrashSuspect> told = host.suspectsToTell(nowMs);
                    long toldMs = nowMs;
                    hosts.forEach(other -> other.addTold(told, toldMs, hash -> {}));
                }
            }
            if (nowMs < 1_200 + Quarantine.MIN_CONTENT_QUARANTINE_MS) {
                assertEquals(probes, 0);
            }
        }
        assertEquals(probes, 1);
    }

    @Test
    public void otherRequestsOnThePathAreHeldForAShortTimeOnly() {
        Quarantine own = new Quarantine("host");
        IntStream.range(0, 3).forEach(i -> crash(own, request("/a/1", "x" + i), i, 1_000 + 100L * i));
        assertTrue(own.remainingMs(request("/a/1", "y"), 1_200) > 0);
        assertEquals(own.remainingMs(request("/a/1", "y"), 1_200 + 2 * Quarantine.MIN_PATH_QUARANTINE_MS), 0);
        assertEquals(own.remainingMs(request("/a/2", "x0"), 1_200), 0);
        own.recordSuccess(request("/a/1", "y"), 1_300);
        assertEquals(own.remainingMs(request("/a/1", "z"), 1_300), 0);
    }

    @Test
    public void serversThatFailAtTheSameMomentCountOnce() {
        Quarantine own = new Quarantine("host");
        IntStream.range(0, 8).forEach(i -> own.recordCrash(request("/a", "x" + i), i, 900 + i, false, 1_000 + i));
        assertEquals(own.remainingMs(request("/a", "x0"), 1_010), 0);
    }

    @Test
    public void successClearsARequestAlsoAtPeers() {
        Fingerprint request = request("/b", "x");
        IntStream.range(0, 3).forEach(i -> crash(quarantine, request, i, 1_000 + 100L * i));
        peer.addTold(quarantine.suspectsToTell(1_250), 51_250, hash -> {});
        assertTrue(peer.remainingMs(request, 51_250) > 0);
        peer.recordSuccess(request, 51_300);
        quarantine.addTold(peer.suspectsToTell(51_310), 1_310, hash -> {});
        assertEquals(quarantine.remainingMs(request, 1_310), 0);
        peer.addTold(quarantine.suspectsToTell(1_320), 51_320, hash -> {});
        assertEquals(peer.remainingMs(request, 51_320), 0);
    }

    @Test
    public void crashesAtDifferentHostsAddUpAndAreToldOn() {
        Fingerprint request = request("/c", "x");
        List<Quarantine> hosts =
                IntStream.range(0, 4).mapToObj(i -> new Quarantine("host" + i)).toList();
        IntStream.range(0, 3).forEach(i -> {
            crash(hosts.get(i), request, i, 1_000 + 500L * i);
            hosts.get(i + 1).addTold(hosts.get(i).suspectsToTell(1_010 + 500L * i), 1_012 + 500L * i, hash -> {});
        });
        assertTrue(hosts.get(3).remainingMs(request, 2_100) > 0);
        assertEquals(hosts.get(1).remainingMs(request, 2_100), 0);
    }

    /** Guards against a request whose crashes no other host hears of, because many others are suspects as well. */
    @Test
    public void allSuspectsAreToldInTurnAndTheWorstEachTime() {
        Quarantine own = new Quarantine("host");
        IntStream.range(0, 100).forEach(i -> crash(own, request("/d/" + i, "x"), i, 1_000 + i));
        Fingerprint harmful = request("/d/harmful", "x");
        IntStream.range(0, 3).forEach(i -> crash(own, harmful, i, 2_000 + 100L * i));
        Set<Long> told = new HashSet<>();
        for (int i = 0; i < 8; i++) {
            List<CrashSuspect> suspects = own.suspectsToTell(3_000);
            assertTrue(suspects.stream().anyMatch(suspect -> suspect.getRequest() == harmful.content()));
            assertEquals(
                    suspects.stream().map(CrashSuspect::getRequest).distinct().count(), suspects.size());
            suspects.forEach(suspect -> told.add(suspect.getRequest()));
        }
        // Each request has two fingerprints: of its path, and of its content.
        assertEquals(told.size(), 202);
    }

    @Test
    public void whatPeersTellIsBoundedAndBadValuesAreIgnored() {
        Quarantine own = new Quarantine("host");
        IntStream.range(0, 10_000).forEach(i -> crash(own, request("/d/" + i, "x"), i, 1_000 + i));
        Fingerprint harmful = request("/d/harmful", "x");
        IntStream.range(0, 3).forEach(i -> crash(own, harmful, i, 5_000 + 100L * i));
        List<CrashSuspect> told = own.suspectsToTell(11_000);
        assertTrue(told.size() <= 64, told.size() + " suspects told");
        assertTrue(told.stream().anyMatch(suspect -> suspect.getRequest() == harmful.content()));
        Quarantine other = new Quarantine("host");
        CrashSuspect.Builder bad = CrashSuspect.newBuilder().setRequest(1);
        IntStream.range(0, 5)
                .forEach(i -> bad.addRuns(CrashedRun.newBuilder()
                        .setServer(i)
                        .setSentAgeMs(Long.MIN_VALUE + i)
                        .setEndedAgeMs(Long.MAX_VALUE - i)));
        other.addTold(List.of(bad.build()), 1_000, hash -> {});
        assertEquals(other.size(), 0);
    }
}
