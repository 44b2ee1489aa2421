package org.celerygw.core.helper;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map of bounded size that drops the least recently used entry when it is full. Not thread-safe.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
public final class LruMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1;

    private final int maxSize;

    /**
     * Creates an empty map.
     *
     * @param maxSize the maximum number of entries
     */
    public LruMap(int maxSize) {
        super(64, 0.75f, true);
        this.maxSize = maxSize;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxSize;
    }
}
