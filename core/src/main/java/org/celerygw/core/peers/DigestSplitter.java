package org.celerygw.core.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.celerygw.core.gen.peers.CrashSuspect;
import org.celerygw.core.gen.peers.Digest;
import org.celerygw.core.gen.peers.DigestPart;
import org.celerygw.core.gen.peers.ServerLoad;
import org.celerygw.core.gen.peers.Waiting;

/**
 * Splits a host's digest into datagrams of at most {@value #MAX_DATAGRAM_BYTES} bytes. The first one is a digest that
 * hosts of earlier releases read; the others have no host, so that those ignore them. What protects servers comes first:
 * request limits and crashes, then loads. Not thread-safe.
 *
 * <pre>{@code
 * splitter.split(digest.build()).forEach(datagram -> send(datagram.toByteArray()));
 * }</pre>
 */
public final class DigestSplitter {
    /** The largest datagram that a host sends, in bytes; hosts of earlier releases cut off what exceeds 2,048. */
    public static final int MAX_DATAGRAM_BYTES = 2_000;

    private static final int MAX_DATAGRAMS = 24;
    private static final int MAX_WAITING_BYTES = 800;
    /** The tag and the length of a message in another one. */
    private static final int FIELD_OVERHEAD_BYTES = 4;

    private static final int MAX_UTF8_BYTES = 3;

    private int sequence;

    /**
     * Splits a digest.
     *
     * @param digest the digest
     * @return the datagrams, in the order in which to send them; what does not fit into {@value #MAX_DATAGRAMS} of them is
     *     left out
     */
    public List<Digest> split(Digest digest) {
        // 0 stands for a digest of an earlier release.
        sequence = sequence == Integer.MAX_VALUE ? 1 : sequence + 1;
        Digest whole = digest.toBuilder().setSequence(sequence).build();
        if (whole.getSerializedSize() <= MAX_DATAGRAM_BYTES) {
            return List.of(whole);
        }
        Packer packer = new Packer(whole);
        Map<Boolean, List<ServerLoad>> loadsByLimit = digest.getLoadsList().stream()
                .sorted(Comparator.comparing((ServerLoad load) -> !load.getDoubtful())
                        .thenComparing(load -> -load.getInFlight()))
                .collect(Collectors.partitioningBy(load -> load.getLimitPerS() > 0));
        List<ServerLoad> limited = loadsByLimit.get(true);
        // By turns, so that neither displaces the other.
        for (int i = 0; i < Math.max(limited.size(), digest.getSuspectsCount()); i++) {
            if (i < digest.getSuspectsCount()) {
                packer.add(digest.getSuspects(i));
            }
            if (i < limited.size()) {
                packer.add(limited.get(i));
            }
        }
        loadsByLimit.get(false).forEach(packer::add);
        digest.getStartedList().forEach(packer::add);
        return packer.datagrams();
    }

    /**
     * Returns whether a part continues a digest.
     *
     * @param digest the digest, as received first
     * @param part the part
     * @return false if the part came late, or if its digest was lost
     */
    public static boolean continues(Digest digest, DigestPart part) {
        return digest.getHost().equals(part.getHost())
                && digest.getSequence() == part.getSequence()
                && part.getSequence() != 0;
    }

    /**
     * Returns what a part tells as a digest of its own.
     *
     * @param part the part
     * @return a digest of the same host with nothing but the content of the part
     */
    public static Digest toDigest(DigestPart part) {
        return Digest.newBuilder()
                .setHost(part.getHost())
                .setSequence(part.getSequence())
                .addAllLoads(part.getLoadsList())
                .addAllSuspects(part.getSuspectsList())
                .addAllStarted(part.getStartedList())
                .build();
    }

    /** Fills one datagram after the other. */
    private static final class Packer {
        private final List<Digest> datagrams = new ArrayList<>();
        private final Digest base;
        private final DigestPart.Builder part = DigestPart.newBuilder();
        private int bytes;

        Packer(Digest digest) {
            Digest.Builder builder = digest.toBuilder()
                    .clearLoads()
                    .clearSuspects()
                    .clearStarted()
                    .clearWaiting();
            addWaiting(builder, digest.getWaitingMap());
            base = builder.build();
            bytes = base.getSerializedSize();
        }

        private static void addWaiting(Digest.Builder digest, Map<String, Waiting> waiting) {
            int waitingBytes = 0;
            for (Map.Entry<String, Waiting> entry : waiting.entrySet()) {
                waitingBytes += Digest.newBuilder()
                        .putWaiting(entry.getKey(), entry.getValue())
                        .build()
                        .getSerializedSize();
                if (waitingBytes > MAX_WAITING_BYTES) {
                    return;
                }
                digest.putWaiting(entry.getKey(), entry.getValue());
            }
        }

        void add(ServerLoad load) {
            if (makeRoom(load.getSerializedSize())) {
                part.addLoads(load);
            }
        }

        void add(CrashSuspect suspect) {
            if (makeRoom(suspect.getSerializedSize())) {
                part.addSuspects(suspect);
            }
        }

        void add(int startedProgram) {
            if (makeRoom(Integer.BYTES)) {
                part.addStarted(startedProgram);
            }
        }

        /** Begins the next datagram if the present one is full; returns false if nothing more may be sent. */
        private boolean makeRoom(int itemBytes) {
            int needed = itemBytes + FIELD_OVERHEAD_BYTES;
            if (bytes + needed + FIELD_OVERHEAD_BYTES > MAX_DATAGRAM_BYTES) {
                if (datagrams.size() + 1 >= MAX_DATAGRAMS) {
                    return false;
                }
                finishDatagram();
            }
            bytes += needed;
            return true;
        }

        private void finishDatagram() {
            DigestPart filled =
                    part.setHost(base.getHost()).setSequence(base.getSequence()).build();
            datagrams.add(
                    datagrams.isEmpty()
                            ? base.toBuilder().mergeFrom(toDigest(filled)).build()
                            : Digest.newBuilder().setContinued(filled).build());
            part.clear();
            bytes = base.getHost().length() * MAX_UTF8_BYTES + 4 * FIELD_OVERHEAD_BYTES;
        }

        List<Digest> datagrams() {
            finishDatagram();
            return datagrams;
        }
    }
}
