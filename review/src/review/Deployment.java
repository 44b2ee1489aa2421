package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Hosts as separate processes, each on a loopback address of its own, with the command of the deploy file. */
final class Deployment {
    private static final String[] ZONES = {"zona-paysandu", "zona-salto", "zona-soriano"};

    /** One host. */
    static final class Host {
        final String name;
        final String ip;
        final Path settings;
        final Path log;
        Process process;

        Host(String name, String ip, Path folder) {
            this.name = name;
            this.ip = ip;
            this.settings = folder.resolve(name + ".toml");
            this.log = folder.resolve(name + ".log");
        }
    }

    final List<Host> hosts = new ArrayList<>();
    final int frontPort;
    final Store store;
    final String storeIp;
    final int storePort;
    final Record record;
    private final Path root;
    private final Path folder;
    private final int readyPort;
    private final int internalPort;
    private final String network;
    private int nextEngine;
    private int nextPort;

    Deployment(int count, Record record, Path root) throws IOException {
        this.record = record;
        this.root = root;
        this.folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
        Random random = new Random();
        // Addresses of this run's own, so that ports are free on all of them.
        network = "127." + (10 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
        int base = 20_000 + 40 * random.nextInt(250);
        frontPort = base;
        readyPort = base + 1;
        internalPort = base + 4;
        nextPort = base + 20;
        storeIp = network + "250";
        storePort = base;
        store = new Store(storeIp, storePort);
        store.put("op", "config", Manifest.text(7));
        for (int i = 0; i < count; i++) {
            Host host = new Host("front-" + ZONES[i % 3] + "-" + (1 + i / 3), network + (1 + i), folder);
            for (int port : new int[] {frontPort, readyPort, internalPort, internalPort + 3}) {
                try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(host.ip))) {
                    probe.getLocalPort();
                }
            }
            hosts.add(host);
        }
    }

    Engine engine(String service, int slots, Engine.Behaviour behaviour) throws IOException {
        int n = nextEngine++;
        String id = String.format("i-%08x", 0x7f3a91c2 + 0x1357 * n);
        return new Engine(store, id, service, network + (100 + n), nextPort, ZONES[n % 3], slots, behaviour);
    }

    void startHosts() throws IOException, InterruptedException {
        for (Host host : hosts) {
            start(host, true);
        }
        awaitReady(hosts, 30_000);
        record.say(hosts.size() + " hosts are ready");
    }

    void start(Host host, boolean bootstrap) throws IOException {
        Files.writeString(host.settings, settings(host, bootstrap));
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.directory(root.toFile());
        builder.environment().clear();
        for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            String value = System.getenv(name);
            if (value != null) {
                builder.environment().put(name, value);
            }
        }
        builder.environment().put("CELERYGW_CONFIG", host.settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(host.log.toFile()));
        host.process = builder.start();
        record.line("start " + host.name + " at " + host.ip + ":" + frontPort);
    }

    void awaitReady(List<Host> waited, long timeoutMs) throws InterruptedException {
        long untilMs = record.nowMs() + timeoutMs;
        for (Host host : waited) {
            while (Client.send(host.ip, readyPort, "GET /ready HTTP/1.1\r\nHost: r\r\n\r\n", 500)
                            .status()
                    != 200) {
                if (record.nowMs() > untilMs || !host.process.isAlive()) {
                    record.say(host.name + " does not get ready");
                    System.exit(2);
                }
                Thread.sleep(50);
            }
        }
    }

    /** Returns the command of the deploy file. */
    private List<String> command() throws IOException {
        String line = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
    }

    private String settings(Host host, boolean bootstrap) {
        String zone = host.name.substring("front-".length(), host.name.lastIndexOf('-'));
        return "nodeName = \"" + host.name + "\"\nrole = \"host\"\nmachineClass = \"front\"\nserves = [\"front\"]\nip = \""
                + host.ip + "\"\nzone = \"" + zone + "\"\nregion = \"litoral-uy\"\ninternalPorts = [" + internalPort
                + "," + (internalPort + 15) + "]\nseedNodes = []\nbootstrap = " + bootstrap
                + "\nlossCounts = false\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\nheartbeatMs = 1200\n"
                + "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\",\"platform\"]\n"
                + "[zones]\nzona-paysandu = \"litoral-uy\"\nzona-salto = \"litoral-uy\"\nzona-soriano = \"litoral-uy\"\n"
                + "[listenAddrs]\nfront = \"" + host.ip + ":" + frontPort + "\"\nreadyAddr = \"" + host.ip + ":"
                + readyPort
                + "\"\n[limits]\ncpuShare = 0.75\ncores = 2\nmemoryMb = 300\nmaxFds = 8200\nlinkMbps = 1000.0\ndiskMb = 0\n"
                + "[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
                + "[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableMs = 3000\nackMs = 4000\ncatchUpS = 4.3\ndrainMs = 2000\n"
                + "graceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\ndowngradeSlackMs = 250\nmaxSkewMs = 5000\n"
                + "recoveryS = 12\npassMs = 120\nretryAfterS = 0\ndeadlineS = 10\nsettleMs = 1000\n"
                + "[platform]\naddress = \"" + storeIp + ":" + storePort
                + "\"\nform = \"table\"\nwritesPerS = 800\nreadsPerS = 2000\ntxMs = 8.0\npartitionWritesS = 150\n"
                + "rowBytes = 65536\nacross = false\nhistoryS = 20\nblobBytes = 8388608\nblobMs = 25.0\nblobMbS = 80.0\n";
    }

    /** Returns how many lines of all hosts' logs contain a text. */
    long logLines(String text) throws IOException {
        long count = 0;
        for (Host host : hosts) {
            try (Stream<String> lines = Files.lines(host.log)) {
                count += lines.filter(l -> l.contains(text)).count();
            }
        }
        return count;
    }

    /** Ends all hosts that were started, and removes their folder. */
    private void stop() {
        for (Host host : hosts) {
            if (host.process != null) {
                host.process.destroyForcibly();
            }
        }
        for (Host host : hosts) {
            try {
                if (host.process != null) {
                    host.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                return;
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs: " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        } catch (IOException e) {
            System.out.println("not removed: " + folder);
        }
    }

}
