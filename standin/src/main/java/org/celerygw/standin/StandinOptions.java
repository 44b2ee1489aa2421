package org.celerygw.standin;

import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import org.celerygw.core.helper.Check;

/**
 * What to start.
 *
 * @param store the store's settings
 * @param engines each engine's settings
 * @param toolPort the tool services' port; 0 for any
 */
public record StandinOptions(StoreOptions store, List<EngineOptions> engines, int toolPort) {
    /** Copies the list. */
    public StandinOptions {
        engines = List.copyOf(engines);
    }

    /**
     * Returns settings for a store, some engines with real rates and the tool services, on any free ports.
     *
     * @param engineCount how many engines
     * @return the settings
     */
    public static StandinOptions anyPorts(int engineCount) {
        Check.notNegative(engineCount, "engineCount");
        return new StandinOptions(StoreOptions.onPort(0), Collections.nCopies(engineCount, EngineOptions.onPort(0)), 0);
    }

    /**
     * Returns settings for fixed ports: the store, the tool services and then one engine on each port that follows.
     *
     * @param storePort the store's port; the tool services take the next one
     * @param engineCount how many engines
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
