package org.celerygw.cli.bench;

import com.google.protobuf.ByteString;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.stream.IntStream;
import org.celerygw.cli.bench.FleetBench.BenchOptions;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.id.HostId;
import org.celerygw.core.membership.MembershipKeys;
import org.celerygw.daemon.peer.PeerCallListener;
import org.celerygw.daemon.peer.PeerLinks;
import org.celerygw.daemon.peer.PeerSettings;
import org.celerygw.standin.fleet.TcpFaultProxy;

/** How long a caller waits until a connection that went silent is found, over loopback in real time. */
final class SilentExperiment {
    private static final MembershipKeys KEYS =
            MembershipKeys.single(ByteString.copyFromUtf8("a shared key for silent links"));
    private static final long DEADLINE_MS = 60_000;

    private SilentExperiment() {}

    static void run(BenchOptions options, PrintStream out) {
        out.println("direction,trials,heartbeat_ms,silence_ms,found_ms_mean,found_ms_max");
        List<Direction> directions = List.of(
                new Direction("both", true, true),
                new Direction("to_server", true, false),
                new Direction("to_client", false, true));
        directions.forEach(d -> out.println(measure(d, options.events())));
    }

    private static String measure(Direction direction, int trials) {
        long[] foundMs =
                IntStream.range(0, trials).mapToLong(i -> trial(direction)).toArray();
        PeerSettings settings = PeerSettings.DEFAULTS;
        return String.format(
                Locale.ROOT,
                "%s,%d,%d,%d,%.0f,%d",
                direction.name,
                trials,
                settings.heartbeatMs(),
                settings.silenceMs(),
                IntStream.range(0, trials).mapToLong(i -> foundMs[i]).average().orElse(-1),
                IntStream.range(0, trials).mapToLong(i -> foundMs[i]).max().orElse(-1));
    }

    private static long trial(Direction direction) {
        CountDownLatch asked = new CountDownLatch(1);
        try (PeerLinks server = links("server");
                PeerLinks client = links("client")) {
            InetSocketAddress peer = server.listen(
                            new InetSocketAddress("127.0.0.1", 0), (method, request, responder) -> asked.countDown())
                    .join();
            try (TcpFaultProxy proxy = new TcpFaultProxy(peer)) {
                CompletableFuture<Long> found = new CompletableFuture<>();
                client.call(
                        proxy.address(),
                        "hang",
                        ByteString.EMPTY,
                        System.currentTimeMillis() + DEADLINE_MS,
                        new Watch(found));
                asked.await();
                long silentAtMs = System.currentTimeMillis();
                proxy.dropTraffic(direction.toServer, direction.toClient);
                return found.join() - silentAtMs;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    private static PeerLinks links(String name) {
        return new PeerLinks(PeerSettings.DEFAULTS, KEYS, new HostId(name), "v1", System::currentTimeMillis);
    }

    private record Direction(String name, boolean toServer, boolean toClient) {}

    /** Notes when the call failed. */
    private record Watch(CompletableFuture<Long> found) implements PeerCallListener {
        @Override
        public void onChunk(ByteString data) {
            // The peer sends none.
        }

        @Override
        public void onEnd(ByteString reply) {
            found.complete(-1L);
        }

        @Override
        public void onFail(GatewayException failure) {
            found.complete(System.currentTimeMillis());
        }
    }
}
