package org.celerygw.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.id.HostId;

/** Decides who is probed when, and which probes failed. One round probes every present member once, in random order. */
final class Prober {
    private static final int HELPERS = 3;

    private final MembershipSettings settings;
    private final MemberTable table;
    private final UniformRandomProvider random;
    private final AvailabilityZone zone;
    private final Wire wire;
    private final Map<Long, Probe> open = new HashMap<>();
    private final Map<Long, Relay> relays = new HashMap<>();
    private final List<HostId> round = new ArrayList<>();
    private long numbers;
    private long nextProbeMs;

    Prober(
            MembershipSettings settings,
            MemberTable table,
            UniformRandomProvider random,
            AvailabilityZone zone,
            Wire wire) {
        this.settings = settings;
        this.table = table;
        this.random = random;
        this.zone = zone;
        this.wire = wire;
    }

    void tick(boolean isolated, Step step) {
        relays.values().removeIf(r -> r.expiresMs <= step.nowMs);
        Iterator<Probe> probes = open.values().iterator();
        while (probes.hasNext()) {
            Probe probe = probes.next();
            Entry entry = table.get(probe.host);
            if (entry == null || !entry.present()) {
                probes.remove();
            } else if (step.nowMs >= probe.startedMs + settings.probeTimeoutMs()) {
                probes.remove();
                table.noAnswer(entry, isolated, step);
            } else if (step.nowMs >= probe.nextRetryMs) {
                retry(probe, entry, step);
            }
        }
        if (step.nowMs >= nextProbeMs) {
            // After a pause the schedule starts anew, rather than sending all that was missed.
            nextProbeMs = Math.max(nextProbeMs, step.nowMs - settings.probeIntervalMs()) + settings.probeIntervalMs();
            startNext(step);
        }
    }

    /** Forgets probes under way: after a pause of this daemon their silence says nothing. */
    void reset() {
        open.clear();
        relays.clear();
    }

    /** Takes an answer: to a probe of ours, or to one made for another member, to whom it is passed on. */
    void answered(long number, HostId answering, Step step) {
        Relay relay = relays.remove(number);
        if (relay != null) {
            wire.relayAck(relay.requester, relay.theirNumber, answering, step);
            return;
        }
        Probe probe = open.get(number);
        if (probe != null && probe.host.equals(answering)) {
            open.remove(number);
        }
    }

    /** Probes a member on behalf of another one. */
    void relay(Endpoint requester, long theirNumber, Endpoint target, String host, Step step) {
        long number = ++numbers;
        relays.put(number, new Relay(requester, theirNumber, step.nowMs + settings.probeTimeoutMs()));
        wire.ping(target, host, number, false, step);
    }

    /** Sends a ping whose answer only serves to learn of its sender. */
    void greet(Endpoint target, String host, Step step) {
        wire.ping(target, host, ++numbers, false, step);
    }

    private void startNext(Step step) {
        for (int i = 0; i < 2; i++) {
            while (!round.isEmpty()) {
                Entry entry = table.get(round.remove(round.size() - 1));
                if (entry != null && entry.present()) {
                    start(entry, step);
                    return;
                }
            }
            table.pick(Integer.MAX_VALUE, random, e -> true).forEach(e -> round.add(e.host()));
        }
    }

    private void start(Entry entry, Step step) {
        long number = ++numbers;
        open.put(number, new Probe(number, entry.host(), step.nowMs, step.nowMs + settings.probeRetryMs()));
        wire.ping(entry.member.gossip(), entry.host().value(), number, true, step);
    }

    private void retry(Probe probe, Entry entry, Step step) {
        probe.nextRetryMs = step.nowMs + settings.probeRetryMs();
        probe.tries++;
        wire.ping(entry.member.gossip(), entry.host().value(), probe.number, false, step);
        if (probe.tries % 2 == 1) {
            helpers(entry).forEach(h -> wire.pingReq(h.member.gossip(), entry.member, probe.number, step));
        }
    }

    /** Members to ask: one beside the target, one beside us, the rest from anywhere, as their paths differ. */
    private List<Entry> helpers(Entry target) {
        List<Entry> helpers = new ArrayList<>();
        addHelper(helpers, target, target.member.zone());
        addHelper(helpers, target, zone);
        table.pick(HELPERS - helpers.size(), random, e -> e != target && !helpers.contains(e))
                .forEach(helpers::add);
        return helpers;
    }

    private void addHelper(List<Entry> helpers, Entry target, AvailabilityZone in) {
        table.pick(
                        1,
                        random,
                        e -> e != target
                                && !helpers.contains(e)
                                && e.member.zone().equals(in))
                .forEach(helpers::add);
    }

    /** Builds and sends the packets of probes. */
    interface Wire {
        void ping(Endpoint to, String host, long number, boolean withNews, Step step);

        void pingReq(Endpoint to, Member target, long number, Step step);

        void relayAck(Endpoint to, long number, HostId answering, Step step);
    }

    private static final class Probe {
        private final long number;
        private final HostId host;
        private final long startedMs;
        private long nextRetryMs;
        private int tries;

        Probe(long number, HostId host, long startedMs, long nextRetryMs) {
            this.number = number;
            this.host = host;
            this.startedMs = startedMs;
            this.nextRetryMs = nextRetryMs;
        }
    }

    private record Relay(Endpoint requester, long theirNumber, long expiresMs) {}
}
