import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A case: hosts, a store, clients and servers on loopback. Exit code: 1 the rule was broken, 0 it held, 2 it couldn't run. */
abstract class Case {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    final Path temporary;
    private final PrintStream record;
    private final long startNs = System.nanoTime();
    final List<AutoCloseable> resources = new ArrayList<>();
    final List<Host> hosts = new ArrayList<>();
    Store store;

    Case(String folder) throws IOException {
        this.folder = Path.of(folder);
        this.temporary = Files.createTempDirectory("review3-");
        this.record = new PrintStream(Files.newOutputStream(this.folder.resolve("record.txt")), true);
    }

    abstract boolean holds() throws Exception;

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void record(String text) {
        record.printf("%7d ms  %s%n", nowMs(), text);
    }

    final void run() {
        int code = 2;
        Thread watchdog = new Thread(() -> {
            try {
                Thread.sleep(110_000);
                record("out of time");
                end();
                Runtime.getRuntime().halt(2);
            } catch (InterruptedException e) {
                // the case has ended
            }
        });
        watchdog.setDaemon(true);
        watchdog.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        try {
            record("TROUBLE=" + (trouble ? 1 : 0));
            store = new Store(this);
            resources.add(store);
            code = holds() ? 0 : 1;
        } catch (Throwable e) {
            code = 2;
            record("the case couldn't run: " + e);
            e.printStackTrace();
        }
        record(code == 0 ? "the rule held" : code == 1 ? "THE RULE WAS BROKEN" : "no result");
        end();
        Runtime.getRuntime().halt(code);
    }

    private synchronized void end() {
        for (AutoCloseable resource : resources) {
            try {
                resource.close();
            } catch (Exception e) {
                // goes on with the others
            }
        }
        resources.clear();
        for (Host host : hosts) {
            try {
                host.close();
            } catch (Exception e) {
                // goes on with the others
            }
        }
        if (System.getenv("KEEP") != null) {
            System.out.println("kept " + temporary);
            return;
        }
        try (var files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            // nothing left
        }
    }

    void startHosts(int count) throws Exception {
        for (int i = 1; i <= count; i++) {
            hosts.add(new Host(temporary, i, store.server.port()));
        }
        awaitReady();
    }

    void awaitReady() throws Exception {
        for (Host host : hosts) {
            long until = nowMs() + 30_000;
            while (!host.isReady()) {
                if (nowMs() > until) {
                    throw new IOException(host.name + " is not ready");
                }
                Thread.sleep(50);
            }
            record(host.name + " is ready, process " + host.pid());
        }
        // All machines are in touch from stableMs after their start.
        Thread.sleep(4_000);
    }

    static String route(String name, String prefix, String kind, String service, int attempts, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeoutMs\":5000,\"targetLatencyMs\":200,\"weightedServices\":[{\"service\":\"" + service
                + "\",\"weight\":1}],\"maxAttempts\":" + attempts + more + "}";
    }

    /** Writes the manifest, as the operator does before the traffic starts. */
    void manifest(String... routes) {
        store.put(
                "op",
                "config",
                "{\"version\":3,\"routes\":[" + String.join(",", routes) + "],\"services\":[{\"name\":\"modelos\","
                        + "\"healthPath\":\"/health\",\"maxConnections\":310,\"engine\":{\"slots\":48,"
                        + "\"kvCapacityTokens\":175763,\"strideTokens\":3}},{\"name\":\"registros\",\"healthPath\":\"/health\","
                        + "\"maxConnections\":110}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
    }

    static String entry(String service, int port, long sequence, long born, int slots) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"zona-a\",\"version\":\"v1\","
                + "\"slots\":" + slots + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":" + sequence + ",\"born\":"
                + born + "}";
    }

    /** Opens a channel of a client to a host. */
    static Socket connect(Host host) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(host.ip, host.front), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(8_000);
        return socket;
    }

    /** Sends bytes and reads one answer, on a kept channel. */
    static Http.Message exchange(Socket socket, InputStream in, byte[] request) throws IOException {
        socket.getOutputStream().write(request);
        socket.getOutputStream().flush();
        return Http.read(in, true);
    }

    static InputStream input(Socket socket) throws IOException {
        return new BufferedInputStream(socket.getInputStream());
    }
}
