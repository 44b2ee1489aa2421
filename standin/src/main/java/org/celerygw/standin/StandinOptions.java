package org.celerygw.standin;

import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import org.celerygw.core.helper.Check;

/**
 * Settings of the stand-ins to start.
 *
 * @param store the store's settings
 * @param engines one engine's settings each
 * @param toolPort the port of the tool services; 0 for any free port
 */
public record StandinOptions(StoreOptions store, List<EngineOptions> engines, int toolPort) {
    /** Copies the list of engines. */
    public StandinOptions {
        engines = List.copyOf(engines);
    }

    /**
     * Returns settings for a store, engines with realistic rates and the tool services, on any free ports.
     *
     * @param engineCount the number of engines
     * @return the settings
     */
    public static StandinOptions anyPorts(int engineCount) {
        Check.notNegative(engineCount, "engineCount");
        return new StandinOptions(StoreOptions.onPort(0), Collections.nCopies(engineCount, EngineOptions.onPort(0)), 0);
    }

    /**
     * Returns settings for consecutive ports: the store, the tool services and then the engines.
     *
     * @param storePort the store's port; the tool services use the next one
     * @param engineCount the number of engines
     * @return the settings
     */
    public static StandinOptions fromPort(int storePort, int engineCount) {
        Check.that(storePort > 0, "storePort must be positive");
        List<EngineOptions> engines = IntStream.range(0, engineCount)
                .mapToObj(i -> EngineOptions.onPort(storePort + 2 + i))
                .toList();
        return new StandinOptions(StoreOptions.onPort(storePort), engines, storePort + 1);
    }
}
