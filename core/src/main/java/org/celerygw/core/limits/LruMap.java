package org.celerygw.core.limits;

import java.util.LinkedHashMap;
import java.util.Map;

/** A bounded map that forgets the entry that was not used for longest. */
final class LruMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1;

    private final int maxSize;

    LruMap(int maxSize) {
        super(64, 0.75f, true);
        this.maxSize = maxSize;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxSize;
    }
}
