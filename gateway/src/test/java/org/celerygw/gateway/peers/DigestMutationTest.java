package org.celerygw.gateway.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.celerygw.core.gen.peers.CrashSuspect;
import org.celerygw.core.gen.peers.CrashedRun;
import org.celerygw.core.gen.peers.Digest;
import org.celerygw.core.gen.peers.PermitReply;
import org.celerygw.core.gen.peers.PermitRequest;
import org.celerygw.core.gen.peers.QuotaReply;
import org.celerygw.core.gen.peers.QuotaRequest;
import org.celerygw.core.gen.peers.ServerLoad;
import org.celerygw.core.limits.CustomerQuotas;
import org.celerygw.core.limits.Permits;
import org.celerygw.core.limits.QuotaBounds;
import org.celerygw.core.peers.DigestSplitter;
import org.celerygw.core.quarantine.Quarantine;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Scheduler;
import org.celerygw.gateway.MonotonicClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a datagram that costs more than itself: damaged, foreign or too long ones between sound digests. */
public final class DigestMutationTest {
    private static final int FIRST_SEED = Integer.getInteger("celerygw.firstSeed", 1);
    private static final int SEEDS = Integer.getInteger("celerygw.seeds", 1);
    private static final int MUTATIONS = 10_000;
    private static final int MUTATIONS_BETWEEN_DIGESTS = 50;
    private static final int MAX_UDP_BYTES = 65_507;
    private static final long TIMEOUT_MS = 10_000;

    private final Clock clock = new MonotonicClock();
    private MultiThreadIoEventLoopGroup group;
    private EventLoop loop;
    private ServerList servers;
    private Quarantine quarantine;
    private DigestExchange digests;
    private DatagramSocket peer;
    private InetSocketAddress host;
    private volatile long received;

    @BeforeMethod
    public void start() throws Exception {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
        Scheduler scheduler = (delayMs, task) -> {
            var unused = loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
        };
        servers = new ServerList(server -> {});
        IntStream.range(0, 50)
                .forEach(
                        i -> servers.put(new BackendServer("i-" + i, "s", "127.0.0.1", 1 + i, "z", "v1", 8, false, 1)));
        quarantine = new Quarantine("host");
        peer = new DatagramSocket(new InetSocketAddress("127.0.0.1", 0));
        host = freeAddress();
        Permits permits = new Permits("host", clock, scheduler, servers, new NoHosts());
        digests = new DigestExchange(
                clock,
                scheduler,
                "host",
                "z",
                servers,
                new PeerTable(loop, clock, host),
                (withSuspects, inRound) -> Digest.newBuilder(),
                () -> false,
                (index, count) -> {},
                this::onDigest,
                permits,
                new CustomerQuotas("host", clock, scheduler, new QuotaBounds(5_000, 0.1, 20), new NoQuotaHosts()));
        digests.bind(loop, host).toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    @AfterMethod
    public void stop() {
        peer.close();
        var unused = group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static InetSocketAddress freeAddress() throws Exception {
        try (DatagramSocket probe = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            return new InetSocketAddress("127.0.0.1", probe.getLocalPort());
        }
    }

    private void onDigest(Digest digest) {
        quarantine.addTold(digest.getSuspectsList(), clock.nowMs(), hash -> {});
        if (digest.getConfigVersion() > received) {
            received = digest.getConfigVersion();
        }
    }

    @DataProvider
    public static Object[][] seeds() {
        return IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                .mapToObj(seed -> new Object[] {(long) seed})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds", timeOut = 120_000)
    public void soundDigestsAreReadBetweenDamagedDatagrams(long seed) throws Exception {
        Random random = new Random(seed);
        DigestSplitter splitter = new DigestSplitter();
        long version = 1_000_000_000_000L;
        for (int sent = 0; sent < MUTATIONS; sent += MUTATIONS_BETWEEN_DIGESTS) {
            for (int i = 0; i < MUTATIONS_BETWEEN_DIGESTS; i++) {
                List<Digest> sound = splitter.split(digest(random, random.nextInt(1_000)));
                send(mutate(random, sound.get(random.nextInt(sound.size())).toByteArray()));
            }
            // Above what a damaged version can be taken for.
            version = Math.max(version, received) + 1;
            awaitRead(splitter, random, version);
        }
        assertTrue(digests.unreadDatagrams() > MUTATIONS / 10, digests.unreadDatagrams() + " unread");
        String limited = "i-7";
        CompletableFuture<Double> limit = new CompletableFuture<>();
        loop.execute(() -> limit.complete(servers.byId(limited).limit().perS(clock.nowMs())));
        assertEquals(limit.get(5, TimeUnit.SECONDS), 2.5);
    }

    /** Guards against the failure that a datagram overflows the stack of the event loop, or ends what reads the next one. */
    @Test
    public void datagramsThatNestOrExceedTheirRangeAreDropped() throws Exception {
        int levels = 8_000;
        byte[] groups = new byte[2 * levels];
        // The start and the end tag of a group of an unknown field.
        Arrays.fill(groups, 0, levels, (byte) 0x7B);
        Arrays.fill(groups, levels, groups.length, (byte) 0x7C);
        send(groups);
        byte[] numbers = Digest.newBuilder()
                .setHost("peer")
                .setConfigVersion(Long.MIN_VALUE)
                .setStoreMs(Integer.MIN_VALUE)
                .setSequence(Integer.MIN_VALUE)
                .addLoads(ServerLoad.newBuilder()
                        .setServer("i-7")
                        .setInFlight(Integer.MIN_VALUE)
                        .setLimitPerS(Double.NaN))
                .build()
                .toByteArray();
        send(numbers);
        awaitRead(new DigestSplitter(), new Random(1), 1_000_000_000_000L);
        assertEquals(digests.unreadDatagrams(), 1);
    }

    /** Sends a digest until the host has read it, since a datagram may be lost. */
    private void awaitRead(DigestSplitter splitter, Random random, long version) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (received < version) {
            assertTrue(System.nanoTime() < endNs, "a sound digest was not read");
            Digest digest = digest(random, version).toBuilder()
                    .addLoads(0, ServerLoad.newBuilder().setServer("i-7").setLimitPerS(2.5))
                    .build();
            for (Digest datagram : splitter.split(digest)) {
                send(datagram.toByteArray());
            }
            Thread.sleep(2);
        }
    }

    private void send(byte[] bytes) throws Exception {
        peer.send(new DatagramPacket(bytes, bytes.length, host));
    }

    private static byte[] mutate(Random random, byte[] sound) {
        byte[] bytes = sound.clone();
        switch (random.nextInt(4)) {
            case 0 -> {
                return Arrays.copyOf(bytes, random.nextInt(bytes.length));
            }
            case 1 -> {
                byte[] longer = Arrays.copyOf(bytes, bytes.length + random.nextInt(MAX_UDP_BYTES - bytes.length));
                for (int i = bytes.length; i < longer.length; i++) {
                    longer[i] = (byte) random.nextInt();
                }
                return longer;
            }
            case 2 -> random.nextBytes(bytes);
            default -> {
                for (int i = 0; i < 1 + random.nextInt(8); i++) {
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
                }
            }
        }
        return bytes;
    }

    private static Digest digest(Random random, long version) {
        Digest.Builder digest = Digest.newBuilder()
                .setHost("peer")
                .setZone("z")
                .setConfigVersion(version)
                .setGrantsPermits(true);
        IntStream.range(0, random.nextInt(50))
                .forEach(i -> digest.addLoads(
                        ServerLoad.newBuilder().setServer("i-" + (8 + i % 40)).setInFlight(random.nextInt(9))));
        IntStream.range(0, random.nextInt(64))
                .forEach(i -> digest.addSuspects(CrashSuspect.newBuilder()
                        .setRequest(random.nextLong())
                        .addRuns(CrashedRun.newBuilder()
                                .setServer(random.nextInt())
                                .setSentAgeMs(random.nextInt())
                                .setEndedAgeMs(random.nextInt()))));
        if (random.nextInt(5) == 0) {
            digest.clearHost()
                    .setPermitRequest(
                            PermitRequest.newBuilder().setServer("i-1").setLimitPerS(random.nextDouble()))
                    .setPermitReply(PermitReply.newBuilder().setId(random.nextLong()))
                    .setQuotaRequest(QuotaRequest.newBuilder()
                            .setCustomer("c")
                            .setLimitPerS(random.nextDouble())
                            .setUsedTokens(random.nextInt(9)))
                    .setQuotaReply(QuotaReply.newBuilder().setCustomer("c").setValidityMs(random.nextInt()));
        }
        return digest.build();
    }

    /** A host that knows no others. */
    private static final class NoHosts implements Permits.Network {
        @Override
        public Collection<String> grantingHosts() {
            return List.of();
        }

        @Override
        public void announce(String host) {}

        @Override
        public boolean mayGrant() {
            return true;
        }

        @Override
        public void send(String host, PermitRequest request) {}
    }

    /** The same for quotas. */
    private static final class NoQuotaHosts implements CustomerQuotas.Network {
        @Override
        public Collection<String> hosts() {
            return List.of();
        }

        @Override
        public boolean mayKeep() {
            return true;
        }

        @Override
        public void send(String host, QuotaRequest request) {}

        @Override
        public void sendNotice(String host, QuotaReply notice) {}

        @Override
        public void announce(String host) {}
    }
}
