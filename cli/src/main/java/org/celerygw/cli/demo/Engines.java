package org.celerygw.cli.demo;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.celerygw.daemon.backend.BackendAddress;
import org.celerygw.daemon.backend.BackendSettings;
import org.celerygw.daemon.backend.Backends;

/** Asks the stand-in engines what they hold. */
final class Engines {
    private static final long PATIENCE_MS = 30_000;

    private final LocalDeployment deployment;
    private final Backends backends;

    Engines(LocalDeployment deployment) {
        this.deployment = deployment;
        this.backends = Backends.open(deployment.vertx(), System::currentTimeMillis, BackendSettings.DEFAULT);
    }

    /** Returns the programs for which memory is held, after the releases have had time to be confirmed. */
    Set<String> heldAfterAWhile() {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
        Set<String> held = held();
        while (!held.isEmpty() && System.nanoTime() < endNs) {
            LocalDeployment.pause(200);
            held = held();
        }
        return held;
    }

    private Set<String> held() {
        Set<String> all = new HashSet<>();
        deployment.standin().engines().forEach(e -> {
            Promise<Optional<Set<String>>> answer = Promise.promise();
            deployment
                    .vertx()
                    .runOnContext(
                            v -> backends.heldPrograms(new BackendAddress("127.0.0.1", e.port()), answer::complete));
            Future<Optional<Set<String>>> future = answer.future();
            LocalDeployment.await(future).ifPresent(all::addAll);
        });
        return all;
    }
}
