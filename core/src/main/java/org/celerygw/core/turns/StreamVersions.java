package org.celerygw.core.turns;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.celerygw.core.gen.turns.ProgramRow;
import org.celerygw.core.gen.turns.StreamVersion;

/**
 * The software versions of the backend servers at which the streams of one program began, as its row holds them. The
 * oldest are dropped when there are more than {@value #MAX_STREAMS}.
 */
final class StreamVersions {
    private static final int MAX_STREAMS = 100;

    private final Map<String, String> byTurn = new LinkedHashMap<>();
    private boolean dropped;

    static StreamVersions parse(ProgramRow row) {
        StreamVersions versions = new StreamVersions();
        row.getStreamsList()
                .forEach(s -> s.getTurnsList().forEach(turn -> versions.byTurn.put(turn, s.getSoftwareVersion())));
        versions.dropped = row.getStreamsDropped();
        return versions;
    }

    void addTo(ProgramRow.Builder row) {
        Map<String, StreamVersion.Builder> byVersion = new LinkedHashMap<>();
        byTurn.forEach((turn, version) -> byVersion
                .computeIfAbsent(version, v -> StreamVersion.newBuilder().setSoftwareVersion(v))
                .addTurns(turn));
        byVersion.values().forEach(row::addStreams);
        row.setStreamsDropped(dropped);
    }

    StreamVersions copy() {
        StreamVersions copy = new StreamVersions();
        copy.byTurn.putAll(byTurn);
        copy.dropped = dropped;
        return copy;
    }

    Optional<String> of(String turn) {
        return Optional.ofNullable(byTurn.get(turn));
    }

    /** Returns whether every stream that was recorded is still listed. */
    boolean isComplete() {
        return !dropped;
    }

    /** Records at which version a stream began; returns whether that was not recorded yet. */
    boolean record(String turn, String version) {
        if (version.equals(byTurn.put(turn, version))) {
            return false;
        }
        Iterator<String> oldest = byTurn.keySet().iterator();
        while (byTurn.size() > MAX_STREAMS) {
            oldest.next();
            oldest.remove();
            dropped = true;
        }
        return true;
    }
}
