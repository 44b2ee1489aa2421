package org.celerygw.cli;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import org.celerygw.api.gen.operator.ConfigReply;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.config.BackendServer;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.gen.config.Customer;
import org.celerygw.core.gen.config.Limits;
import org.celerygw.core.gen.config.PriorityClass;
import org.celerygw.core.gen.config.Service;

/** The JSON document of a configuration version, as {@code config get} prints it and {@code config apply} reads it. */
final class ConfigDocument {
    private ConfigDocument() {}

    /**
     * Parses a document.
     *
     * @throws GatewayException with code INVALID_ARGUMENT when it is malformed or has no field configuration
     */
    static ConfigReply parse(String json) {
        ConfigReply.Builder builder = ConfigReply.newBuilder();
        try {
            JsonFormat.parser().merge(json, builder);
        } catch (InvalidProtocolBufferException e) {
            throw new GatewayException(
                    ErrorCode.INVALID_ARGUMENT, "the document is not a valid configuration: " + e.getMessage());
        }
        if (!builder.hasConfiguration()) {
            throw new GatewayException(ErrorCode.INVALID_ARGUMENT, "the document must have a field 'configuration'");
        }
        return builder.build();
    }

    /** Returns a document for the servers of {@code celerygw standin}; version 0 marks a first configuration. */
    static ConfigReply example() {
        Configuration content = Configuration.newBuilder()
                .addCustomers(customer("litoral", "929588d560caa1e586c047972252c712792a3fa5869032c1b6c4104e3c67746a"))
                .addCustomers(
                        customer("fraserline", "2b55e1def67c9a595515ada4f0b3c589bdbc9ed6ca65115745e896905d7398f9"))
                .addClasses(priorityClass("session", 0))
                .addClasses(priorityClass("batch", 1))
                .addBackends(backend("engine-0", 9_002, "zone-a"))
                .addBackends(backend("engine-1", 9_003, "zone-b"))
                .addServices(service("declarations", false))
                .addServices(service("records", true))
                .setLimits(Limits.newBuilder()
                        .setMaxBodyBytes(4 << 20)
                        .setMaxTurns(200)
                        .setDefaultBudgetTokens(400_000)
                        .setProgramTimeToLiveMs(3_600_000)
                        .setMaxOutputTokens(4_096))
                .build();
        return ConfigReply.newBuilder()
                .setConfiguration(content)
                .setReason("first configuration")
                .build();
    }

    private static Customer customer(String id, String keySha256Hex) {
        return Customer.newBuilder()
                .setId(id)
                .addKeySha256Hex(keySha256Hex)
                .setCeilingTokens(100_000_000)
                .setShare(1)
                .setMaxCalls(200)
                .build();
    }

    private static PriorityClass priorityClass(String name, int rank) {
        return PriorityClass.newBuilder()
                .setName(name)
                .setRank(rank)
                .setAgeingMs(30_000)
                .setDefaultDeadlineMs(600_000)
                .build();
    }

    private static BackendServer backend(String id, int port, String zone) {
        return BackendServer.newBuilder()
                .setId(id)
                .setHost("127.0.0.1")
                .setPort(port)
                .setZone(zone)
                .addModels("draft-1")
                .setHonoursFencing(true)
                .build();
    }

    private static Service service(String name, boolean repeatable) {
        return Service.newBuilder()
                .setName(name)
                .setHost("127.0.0.1")
                .setPort(9_001)
                .setZone("zone-a")
                .setRepeatable(repeatable)
                .setTimeoutMs(10_000)
                .setMaxCalls(100)
                .build();
    }
}
