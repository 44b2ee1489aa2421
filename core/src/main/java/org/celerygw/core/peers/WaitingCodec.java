package org.celerygw.core.peers;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.celerygw.core.gen.peers.CustomerWork;
import org.celerygw.core.gen.peers.Digest;
import org.celerygw.core.gen.peers.Waiting;
import org.celerygw.core.gen.peers.WaitingClass;
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

    /**
     * Encodes the lengths of a host's queues with their precedences.
     *
     * @param lengths the lengths by service
     * @param byPrecedence the lengths by service and precedence; empty unless customers compete
     * @return the same for a digest
     */
    public static Map<String, Waiting> encode(
            Map<String, QueueLength> lengths, Map<String, Map<Integer, QueueLength>> byPrecedence) {
        Map<String, Waiting> encoded = new HashMap<>(encode(lengths));
        byPrecedence.forEach((service, classes) -> encoded.computeIfPresent(service, (name, waiting) -> {
            Waiting.Builder withClasses = waiting.toBuilder();
            classes.forEach((precedence, length) -> withClasses.addClasses(WaitingClass.newBuilder()
                    .setPrecedence(precedence)
                    .setUnderWay(length.underWay())
                    .setOthers(length.others())));
            return withClasses.build();
        }));
        return encoded;
    }

    /**
     * Adds up by precedence what waits for a service at several hosts. A host that tells no precedences, because it is of an
     * earlier release or knows one customer only, counts with the first.
     *
     * @param digests the hosts' digests
     * @param service the service's name
     * @return the sums by precedence
     */
    public static Map<Integer, QueueLength> sumByPrecedence(Stream<Digest> digests, String service) {
        Map<Integer, QueueLength> sums = new HashMap<>();
        digests.map(digest -> digest.getWaitingOrDefault(service, Waiting.getDefaultInstance()))
                .filter(waiting -> waiting.getUnderWay() + waiting.getOthers() > 0)
                .forEach(waiting -> {
                    if (waiting.getClassesCount() == 0) {
                        sums.merge(0, new QueueLength(waiting.getUnderWay(), waiting.getOthers()), QueueLength::plus);
                    }
                    waiting.getClassesList()
                            .forEach(one -> sums.merge(
                                    one.getPrecedence(),
                                    new QueueLength(one.getUnderWay(), one.getOthers()),
                                    QueueLength::plus));
                });
        return sums;
    }

    /**
     * Encodes the work of customers.
     *
     * @param workMs slot time in ms by the hash of the customer
     * @return the same for a digest
     */
    public static List<CustomerWork> encodeWork(Map<Integer, Double> workMs) {
        return workMs.entrySet().stream()
                .map(entry -> CustomerWork.newBuilder()
                        .setCustomer(entry.getKey())
                        .setWorkMs(entry.getValue().floatValue())
                        .build())
                .toList();
    }

    /**
     * Decodes the work of customers, without entries that no host sends.
     *
     * @param work the work that a digest tells
     * @return slot time in ms by the hash of the customer
     */
    public static Map<Integer, Double> decodeWork(List<CustomerWork> work) {
        return work.stream()
                .filter(entry -> entry.getWorkMs() > 0 && Float.isFinite(entry.getWorkMs()))
                .collect(Collectors.toMap(CustomerWork::getCustomer, entry -> (double) entry.getWorkMs(), Math::max));
    }
}
