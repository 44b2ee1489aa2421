import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One host of the project as a process of its own, with the command of deploy/system.toml. */
final class Host implements AutoCloseable {
    final String name;
    final String ip;
    final int front;
    private final int ready;
    private final Path settings;
    private final Path logFile;
    private Process process;

    /** Hosts are in turn in zona-a and zona-b. */
    Host(Path folder, int number, int storePort) throws IOException {
        String zone = number % 2 == 1 ? "zona-a" : "zona-b";
        name = "front-" + zone + "-" + number;
        ip = "127.0.7." + number;
        front = freePort();
        ready = freePort();
        int internal = freePort();
        settings = folder.resolve("settings-" + number + ".toml");
        logFile = folder.resolve("host-" + number + ".log");
        // As DEPLOY.md shows them, with the figures of sites/rgal-mov.toml.
        Files.writeString(
                settings,
                "nodeName = \"" + name + "\"\nrole = \"host\"\nmachineClass = \"front\"\nserves = [\"front\"]\nip = \"" + ip
                        + "\"\nzone = \"" + zone + "\"\nregion = \"r\"\ninternalPorts = [" + internal + "," + (internal + 15)
                        + "]\nseedNodes = []\nbootstrap = true\nlossCounts = false\ndiscovery = \"platform\"\n"
                        + "entry = \"virtual_ip\"\nheartbeatMs = 1200\ncontracts = [\"base\",\"drain\",\"config\",\"cost\","
                        + "\"recover\",\"agent\",\"stream\",\"engine\",\"platform\"]\n[zones]\nzona-a = \"r\"\nzona-b = \"r\"\n[listenAddrs]\n"
                        + "front = \"" + ip + ":" + front + "\"\nreadyAddr = \"" + ip + ":" + ready + "\"\n[limits]\n"
                        + "cpuShare = 0.75\ncores = 2\nmemoryMb = 300\nmaxFds = 8200\nlinkMbps = 1000.0\ndiskMb = 0\n"
                        + "[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseedLagS = 3\nreuseAfterS = 2\n"
                        + "stableMs = 3000\nackMs = 4000\ncatchUpS = 4.3\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n"
                        + "configApplyMs = 2000\ndowngradeSlackMs = 250\nmaxSkewMs = 5000\nrecoveryS = 12\npassMs = 120\n"
                        + "retryAfterS = 0\ndeadlineS = 10\nsettleMs = 1000\n[platform]\naddress = \"127.0.0.1:" + storePort
                        + "\"\nform = \"table\"\nwritesPerS = 800\nreadsPerS = 2000\ntxMs = 8.0\npartitionWritesS = 150\n"
                        + "rowBytes = 65536\nacross = false\nhistoryS = 20\nblobBytes = 8388608\nblobMs = 25.0\n"
                        + "blobMbS = 80.0\n");
        start();
    }

    void start() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("deploy/system.toml"));
        String line = lines.stream().filter(l -> l.startsWith("run = ")).findFirst().orElseThrow();
        String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        ProcessBuilder builder = new ProcessBuilder(command.split(" "));
        builder.environment().put("CELERYGW_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
        process = builder.start();
    }

    private int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return s.getLocalPort();
        }
    }

    boolean isReady() {
        try (java.net.Socket s = new java.net.Socket()) {
            s.connect(new java.net.InetSocketAddress(ip, ready), 500);
            s.setSoTimeout(500);
            s.getOutputStream().write(Http.latin("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"));
            return Http.read(new java.io.BufferedInputStream(s.getInputStream()), true).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    /** SIGKILL, and waits until the process is gone. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws Exception {
        kill();
    }
}
