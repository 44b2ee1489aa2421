package review;

import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Ordinary programs: each runs some quick turns, one after the other, at any host. */
final class Load {
    final AtomicInteger turns = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();
    private final Deployment deployment;
    private final Random random;

    Load(Deployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new Random(seed);
    }

    /** Starts programs at the given rate until the end. */
    void start(double programsPerS, long untilMs) {
        Http.daemon(() -> {
            try {
                int number = 0;
                while (deployment.record.nowMs() < untilMs) {
                    int program = number++;
                    Http.daemon(() -> program(program));
                    Thread.sleep((long) (1_000 / programsPerS));
                }
            } catch (InterruptedException e) {
                // Ends.
            }
        });
    }

    private void program(int number) {
        int count;
        synchronized (random) {
            count = 2 + random.nextInt(5);
        }
        for (int turn = 0; turn < count; turn++) {
            Deployment.Host host;
            synchronized (random) {
                host = deployment.hosts.get(random.nextInt(deployment.hosts.size()));
            }
            String id = Client.newId();
            String headers = "Celerygw-Model: m\r\nCelerygw-Token-Usage: 1460,80\r\nCelerygw-Program-Id: p" + number
                    + "\r\nCelerygw-Session-Id: s" + number
                    + "\r\nCelerygw-Program-Deadline-Ms: 9000\r\nCelerygw-Token-Budget: 2000\r\n";
            turns.incrementAndGet();
            Client.Answer answer = Client.send(
                    host.ip,
                    deployment.frontPort,
                    Client.request(
                            "POST", Manifest.RESUMABLE + Integer.toHexString(number), id, 5_000, headers, "turn " + turn),
                    5_500);
            deployment.record.line("client " + host.name + " quick " + id + " program p" + number + " -> "
                    + answer.status() + " events " + answer.events().size() + (answer.whole() ? " whole" : " cut"));
            if (answer.status() == 200 && answer.whole()) {
                served.incrementAndGet();
            }
        }
    }
}
