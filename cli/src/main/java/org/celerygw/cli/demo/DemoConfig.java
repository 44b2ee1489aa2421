package org.celerygw.cli.demo;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.celerygw.core.gen.config.BackendServer;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.gen.config.Customer;
import org.celerygw.core.gen.config.Limits;
import org.celerygw.core.gen.config.PriorityClass;
import org.celerygw.core.gen.config.Service;
import org.celerygw.standin.Standin;

/** Builds the gateway configuration for embedded stand-ins. */
final class DemoConfig {
    private static final List<String> MODELS = List.of("ranch-7b", "master-13b");
    private static final List<String> SERVICES = List.of("records", "queue");

    private DemoConfig() {}

    static Configuration forStandin(Standin standin) {
        Configuration.Builder config = Configuration.newBuilder()
                .addCustomers(customer())
                .addClasses(priorityClass("client-session", 0))
                .addClasses(priorityClass("standard", 1))
                .setLimits(Limits.newBuilder().setMaxBodyBytes(4 << 20).setMaxTurns(200));
        IntStream.range(0, standin.engines().size()).forEach(i -> config.addBackends(engine(standin, i)));
        SERVICES.forEach(name -> config.addServices(service(standin, name)));
        return config.build();
    }

    private static Customer customer() {
        String hash = Hashing.sha256()
                .hashString(LocalDeployment.CALLER_KEY, StandardCharsets.UTF_8)
                .toString();
        return Customer.newBuilder()
                .setId("demo")
                .addKeySha256Hex(hash)
                .setCeilingTokens(100_000_000)
                .setShare(1)
                .build();
    }

    private static PriorityClass priorityClass(String name, int rank) {
        return PriorityClass.newBuilder()
                .setName(name)
                .setRank(rank)
                .setAgeingMs(30_000)
                .setDefaultDeadlineMs(120_000)
                .build();
    }

    private static BackendServer engine(Standin standin, int index) {
        return BackendServer.newBuilder()
                .setId("engine-" + index)
                .setHost("127.0.0.1")
                .setPort(standin.engine(index).port())
                .setZone("zone-" + (char) ('a' + index % 3))
                .addAllModels(MODELS)
                .setHonoursFencing(true)
                .build();
    }

    private static Service service(Standin standin, String name) {
        return Service.newBuilder()
                .setName(name)
                .setHost("127.0.0.1")
                .setPort(standin.tools().port())
                .setZone("zone-a")
                .setOutcomePath("/outcomes/")
                .setTimeoutMs(10_000)
                .build();
    }
}
