package org.celerygw.core.peers;

import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.celerygw.core.gen.peers.Digest;
import org.celerygw.core.gen.peers.Waiting;
import org.celerygw.core.scheduling.QueueLength;

/** Translates the lengths of queues from and to digests. */
public final class WaitingCodec {
    private WaitingCodec() {}

    /**
     * Encodes the lengths of a host's queues.
     *
     * @param lengths the lengths by service
     * @return the same for a digest
     */
    public static Map<String, Waiting> encode(Map<String, QueueLength> lengths) {
        return lengths.entrySet().stream().collect(Collectors.toMap(Map.Entry::getKey, entry -> Waiting.newBuilder()
                .setUnderWay(entry.getValue().underWay())
                .setOthers(entry.getValue().others())
                .build()));
    }

    /**
     * Adds up what waits for a service at several hosts.
     *
     * @param digests the hosts' digests
     * @param service the service's name
     * @return the sum
     */
    public static QueueLength sum(Stream<Digest> digests, String service) {
        return digests.map(digest -> digest.getWaitingOrDefault(service, Waiting.getDefaultInstance()))
                .map(waiting -> new QueueLength(waiting.getUnderWay(), waiting.getOthers()))
                .reduce(QueueLength.NONE, QueueLength::plus);
    }
}
