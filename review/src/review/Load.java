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
        int count = 2 + draw(5);
        try {
            for (int turn = 0; turn < count; turn++) {
                turns.incrementAndGet();
                boolean done = false;
                // A turn that has failed is sent again after .1 to .4 s, at most twice.
                for (int again = 0; again <= 2 && !done; again++) {
                    Thread.sleep(again == 0 ? 0 : 100 + draw(300));
                    done = turn(number, turn);
                }
                if (!done) {
                    return;
                }
                served.incrementAndGet();
            }
        } catch (InterruptedException e) {
            // Ends.
        }
    }

    /** Sends a turn, and once more after a promise that it has not run; returns whether it was served whole. */
    private boolean turn(int number, int turn) throws InterruptedException {
        long leftMs = 5_000;
        for (int attempt = 0; attempt < 2; attempt++) {
            Deployment.Host host = deployment.hosts.get(draw(deployment.hosts.size()));
            String id = Client.newId();
            String headers = "Celerygw-Model: m\r\nCelerygw-Token-Usage: 1460,80\r\nCelerygw-Program-Id: p" + number
                    + "\r\nCelerygw-Session-Id: s" + number
                    + "\r\nCelerygw-Program-Deadline-Ms: 9000\r\nCelerygw-Token-Budget: 2000\r\n";
            long fromMs = deployment.record.nowMs();
            Client.Answer answer = Client.send(
                    host.ip,
                    deployment.frontPort,
                    Client.request(
                            "POST",
                            Manifest.RESUMABLE + Integer.toHexString(number),
                            id,
                            leftMs,
                            headers,
                            "turn " + turn),
                    (int) leftMs + 500);
            deployment.record.line("client " + host.name + " quick " + id + " program p" + number + " -> "
                    + answer.status() + " events " + answer.events().size() + (answer.whole() ? " whole" : " cut"));
            if (answer.status() == 200 && answer.whole()) {
                return true;
            }
            leftMs -= deployment.record.nowMs() - fromMs;
            if (answer.status() != 503 || leftMs < 100) {
                return false;
            }
            long retryMs = answer.retryAfter().isEmpty() ? 0 : (long) (1_000 * Double.parseDouble(answer.retryAfter()));
            retryMs = Math.min(retryMs, leftMs / 3);
            Thread.sleep(retryMs);
            leftMs -= retryMs;
        }
        return false;
    }

    private int draw(int bound) {
        synchronized (random) {
            return random.nextInt(bound);
        }
    }
}
