package org.celerygw.daemon.send;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.celerygw.core.gen.config.BackendServer;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.daemon.backend.BackendAddress;

/** The engines of the active configuration, by id. */
final class EngineTable {
    private Map<BackendServerId, BackendServer> engines = Map.of();

    void configure(Configuration configuration) {
        engines = configuration.getBackendsList().stream()
                .collect(Collectors.toMap(
                        server -> new BackendServerId(server.getId()),
                        server -> server,
                        (first, second) -> second,
                        LinkedHashMap::new));
    }

    Map<BackendServerId, BackendServer> byId() {
        return engines;
    }

    Optional<BackendAddress> address(BackendServerId id) {
        return Optional.ofNullable(engines.get(id)).map(EngineTable::address);
    }

    static BackendAddress address(BackendServer server) {
        return new BackendAddress(server.getHost(), server.getPort());
    }
}
