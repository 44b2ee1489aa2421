package org.celerygw.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.id.HostId;

/**
 * Schedules probes, retries them directly and through other members, and detects failed ones. One round probes every
 * present member once, in random order.
 */
final class Prober {
    /** Number of members that are requested to probe the target of an unanswered probe. */
    private static final int INDIRECT_PROBE_HELPERS = 3;

    private final MembershipSettings settings;
    private final MemberTable table;
    private final UniformRandomProvider random;
    private final AvailabilityZone zone;
    private final ProbeSender sender;
    private final Map<Long, Probe> openProbes = new HashMap<>();
    private final Map<Long, RelayedProbe> relayedProbes = new HashMap<>();
    private final List<HostId> remainingInRound = new ArrayList<>();
    private long lastProbeNumber;
    private long nextProbeMs;

    Prober(
            MembershipSettings settings,
            MemberTable table,
            UniformRandomProvider random,
            AvailabilityZone zone,
            ProbeSender sender) {
        this.settings = settings;
        this.table = table;
        this.random = random;
        this.zone = zone;
        this.sender = sender;
    }

    void tick(boolean isolated, Step step) {
        relayedProbes.values().removeIf(r -> r.expiresAtMs <= step.nowMs);
        Iterator<Probe> probes = openProbes.values().iterator();
        while (probes.hasNext()) {
            Probe probe = probes.next();
            MemberEntry entry = table.get(probe.host);
            if (entry == null || !entry.isPresent()) {
                probes.remove();
            } else if (step.nowMs >= probe.startedMs + settings.probeTimeoutMs()) {
                probes.remove();
                table.probeFailed(entry, isolated, step);
            } else if (step.nowMs >= probe.nextRetryMs) {
                retryProbe(probe, entry, step);
            }
        }
        if (step.nowMs >= nextProbeMs) {
            // After a pause of this daemon, the missed probes are not made up for.
            nextProbeMs = Math.max(nextProbeMs, step.nowMs - settings.probeIntervalMs()) + settings.probeIntervalMs();
            startNextProbe(step);
        }
    }

    /** Discards all probes in flight: after a pause of this daemon, a missing acknowledgement proves nothing. */
    void reset() {
        openProbes.clear();
        relayedProbes.clear();
    }

    /** Processes an acknowledgement of a probe; one made on behalf of another member is forwarded to the requester. */
    void ackReceived(long probeNumber, HostId acknowledgingHost, Step step) {
        RelayedProbe relayed = relayedProbes.remove(probeNumber);
        if (relayed != null) {
            sender.sendRelayedAck(relayed.requester, relayed.requesterProbeNumber, acknowledgingHost, step);
            return;
        }
        Probe probe = openProbes.get(probeNumber);
        if (probe != null && probe.host.equals(acknowledgingHost)) {
            openProbes.remove(probeNumber);
        }
    }

    /** Probes a member on behalf of another one. */
    void relayProbe(Endpoint requester, long requesterProbeNumber, Endpoint target, String host, Step step) {
        long probeNumber = ++lastProbeNumber;
        relayedProbes.put(
                probeNumber, new RelayedProbe(requester, requesterProbeNumber, step.nowMs + settings.probeTimeoutMs()));
        sender.sendPing(target, host, probeNumber, false, step);
    }

    /** Sends a ping that is not tracked as a probe: its acknowledgement only serves to receive the target's record. */
    void pingUntracked(Endpoint target, String host, Step step) {
        sender.sendPing(target, host, ++lastProbeNumber, false, step);
    }

    private void startNextProbe(Step step) {
        for (int i = 0; i < 2; i++) {
            while (!remainingInRound.isEmpty()) {
                MemberEntry entry = table.get(remainingInRound.remove(remainingInRound.size() - 1));
                if (entry != null && entry.isPresent()) {
                    startProbe(entry, step);
                    return;
                }
            }
            table.pickRandom(Integer.MAX_VALUE, random, e -> true).forEach(e -> remainingInRound.add(e.host()));
        }
    }

    private void startProbe(MemberEntry entry, Step step) {
        long probeNumber = ++lastProbeNumber;
        openProbes.put(
                probeNumber, new Probe(probeNumber, entry.host(), step.nowMs, step.nowMs + settings.probeRetryMs()));
        sender.sendPing(entry.member.gossipEndpoint(), entry.host().value(), probeNumber, true, step);
    }

    private void retryProbe(Probe probe, MemberEntry entry, Step step) {
        probe.nextRetryMs = step.nowMs + settings.probeRetryMs();
        probe.retries++;
        sender.sendPing(entry.member.gossipEndpoint(), entry.host().value(), probe.number, false, step);
        if (probe.retries % 2 == 1) {
            pickHelpers(entry)
                    .forEach(h -> sender.sendPingReq(h.member.gossipEndpoint(), entry.member, probe.number, step));
        }
    }

    /**
     * Picks the helpers for an indirect probe: one in the target's zone, one in the local zone and the rest from
     * any zone, because their network paths differ.
     */
    private List<MemberEntry> pickHelpers(MemberEntry target) {
        List<MemberEntry> helpers = new ArrayList<>();
        addHelper(helpers, target, target.member.zone());
        addHelper(helpers, target, zone);
        table.pickRandom(INDIRECT_PROBE_HELPERS - helpers.size(), random, e -> e != target && !helpers.contains(e))
                .forEach(helpers::add);
        return helpers;
    }

    private void addHelper(List<MemberEntry> helpers, MemberEntry target, AvailabilityZone helperZone) {
        table.pickRandom(
                        1,
                        random,
                        e -> e != target
                                && !helpers.contains(e)
                                && e.member.zone().equals(helperZone))
                .forEach(helpers::add);
    }

    /** Builds and sends the packets of the prober. */
    interface ProbeSender {
        void sendPing(Endpoint to, String host, long probeNumber, boolean piggyback, Step step);

        void sendPingReq(Endpoint to, Member target, long probeNumber, Step step);

        void sendRelayedAck(Endpoint to, long probeNumber, HostId acknowledgingHost, Step step);
    }

    private static final class Probe {
        private final long number;
        private final HostId host;
        private final long startedMs;
        private long nextRetryMs;
        private int retries;

        Probe(long number, HostId host, long startedMs, long nextRetryMs) {
            this.number = number;
            this.host = host;
            this.startedMs = startedMs;
            this.nextRetryMs = nextRetryMs;
        }
    }

    private record RelayedProbe(Endpoint requester, long requesterProbeNumber, long expiresAtMs) {}
}
