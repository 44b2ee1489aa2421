package org.celerygw.standin.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.PriorityClassName;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.owner.Event;
import org.celerygw.core.owner.OwnerSettings;
import org.celerygw.core.owner.ProgramSpec;
import org.celerygw.core.owner.ReplyTag;
import org.jspecify.annotations.Nullable;

/** Hosts, callers, a store and a back end in one simulated time. All randomness comes from one seed. */
final class Simulation {
    private static final long RETRY_MS = 100;
    private static final long NETWORK_DELAY_MS = 2;

    private final SimulatedClock clock = new SimulatedClock();
    private final UniformRandomProvider random;
    private final OwnerSettings settings;
    private final Mutation mutation;
    private final Oracle oracle = new Oracle();
    private final FakeStore store;
    private final FakeBackend backend;
    private final List<SimulatedHost> hosts = new ArrayList<>();
    private final List<Caller> callers = new ArrayList<>();
    private final Map<ReplyTag, Consumer<Outcome>> pendingReplies = new HashMap<>();
    private final Map<CustomerId, Long> ceilingTokens = new HashMap<>();
    private final List<String> log = new ArrayList<>();
    private boolean loggingEnabled;
    private long tagsIssued;
    private long hostsStarted;

    Simulation(long seed, OwnerSettings settings, Mutation mutation) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.settings = settings;
        this.mutation = mutation;
        this.store = new FakeStore(clock, random);
        this.backend = new FakeBackend(clock, random, oracle);
    }

    SimulatedClock clock() {
        return clock;
    }

    OwnerSettings settings() {
        return settings;
    }

    Mutation mutation() {
        return mutation;
    }

    Oracle oracle() {
        return oracle;
    }

    FakeStore store() {
        return store;
    }

    FakeBackend backend() {
        return backend;
    }

    UniformRandomProvider random() {
        return random;
    }

    List<Caller> callers() {
        return callers;
    }

    void setLogging(boolean enabled) {
        loggingEnabled = enabled;
    }

    void log(String line) {
        if (loggingEnabled) {
            log.add("%8d ms  %s".formatted(clock.nowMs() - 1_000_000, line));
        }
    }

    List<String> logLines() {
        return log;
    }

    SimulatedHost startHost() {
        SimulatedHost host = new SimulatedHost(new HostId("h" + (++hostsStarted)), this);
        hosts.add(host);
        log(host.id() + " starts");
        ceilingTokens.forEach((customer, tokens) -> host.deliver(new Event.CeilingUpdated(customer, tokens)));
        host.deliver(new Event.HostsUpdated(hostsInService()));
        publishHostList();
        return host;
    }

    List<SimulatedHost> liveHosts() {
        return hosts.stream().filter(SimulatedHost::isLive).toList();
    }

    private SortedSet<HostId> hostsInService() {
        return liveHosts().stream()
                .filter(h -> !h.isDraining())
                .map(SimulatedHost::id)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** Delivers the current host list to each live host after a random delay of its own. */
    private void publishHostList() {
        liveHosts()
                .forEach(h -> clock.schedule(
                        100 + random.nextLong(1_500), () -> h.deliver(new Event.HostsUpdated(hostsInService()))));
    }

    void crash(SimulatedHost host) {
        log(host.id() + " crashes");
        host.crash();
        hostStopped(host);
    }

    void drain(SimulatedHost host) {
        log(host.id() + " starts a planned stop");
        host.drain();
        publishHostList();
    }

    /** Handles the end of a host, by a crash, a planned stop or fencing. */
    void hostStopped(SimulatedHost host) {
        log(host.id() + " has stopped");
        publishHostList();
    }

    void setCeiling(CustomerId customer, long tokens) {
        ceilingTokens.put(customer, tokens);
        oracle.setCeiling(customer, tokens);
        liveHosts().forEach(h -> h.deliver(new Event.CeilingUpdated(customer, tokens)));
    }

    Caller newCaller(String customer, @Nullable ProgramId parent, long budgetTokens) {
        String name = "p" + (callers.size() + 1);
        ProgramId id = new ProgramId(parent == null ? name : parent + "/" + name);
        return newCaller(id, customer, parent, budgetTokens);
    }

    Caller newCaller(ProgramId id, String customer, @Nullable ProgramId parent, long budgetTokens) {
        ProgramSpec spec = new ProgramSpec(
                id,
                new CustomerId(customer),
                parent,
                new PriorityClassName("standard"),
                budgetTokens,
                clock.nowMs() + 3_600_000,
                36_000_000,
                1_000);
        if (parent == null) {
            oracle.setBudget(id, budgetTokens);
        }
        Caller caller = new Caller(this, random, spec);
        callers.add(caller);
        return caller;
    }

    /** Submits a call through an entry host to its owner. On NOT_OWNER, routes it anew until the deadline. */
    void submit(CallRequest call, Consumer<@Nullable Outcome> callback) {
        request(
                call.id().program(),
                tag -> new Event.CallSubmitted(call, tag),
                call.deadlineMs() - clock.nowMs() + 3_000,
                outcome -> {
                    boolean notOwner = outcome != null && outcome.code() == ErrorCode.NOT_OWNER;
                    if (notOwner && clock.nowMs() < call.deadlineMs()) {
                        clock.schedule(RETRY_MS, () -> submit(call, callback));
                    } else {
                        callback.accept(outcome);
                    }
                });
    }

    /** Sends one request to the owner of a program. The callback receives null after the timeout without a reply. */
    void request(
            ProgramId program, Function<ReplyTag, Event> event, long timeoutMs, Consumer<@Nullable Outcome> callback) {
        ReplyTag tag = new ReplyTag(++tagsIssued);
        pendingReplies.put(tag, callback::accept);
        route(program).ifPresent(host -> clock.schedule(NETWORK_DELAY_MS, () -> host.deliver(event.apply(tag))));
        clock.schedule(timeoutMs, () -> {
            if (pendingReplies.remove(tag) != null) {
                callback.accept(null);
            }
        });
    }

    private Optional<SimulatedHost> route(ProgramId program) {
        List<SimulatedHost> entries =
                liveHosts().stream().filter(h -> !h.isPaused()).toList();
        if (entries.isEmpty()) {
            return Optional.empty();
        }
        SimulatedHost entry = entries.get(random.nextInt(entries.size()));
        if (!entry.owner().owns(program.slot())) {
            entry.deliver(new Event.SlotRefreshRequested(program.slot()));
        }
        HostId owner = entry.owner().ownerOf(program.slot()).orElse(entry.id());
        return Optional.of(liveHosts().stream()
                .filter(h -> h.id().equals(owner))
                .findFirst()
                .orElse(entry));
    }

    void replyReceived(ReplyTag tag, Outcome outcome) {
        Consumer<Outcome> callback = pendingReplies.remove(tag);
        if (callback != null) {
            clock.schedule(NETWORK_DELAY_MS, () -> callback.accept(outcome));
        }
    }

    static String describe(Outcome outcome) {
        return outcome.isAnswer()
                ? "answered with " + outcome.answer().size() + " bytes"
                : outcome.code() + " " + outcome.runState() + " (" + outcome.message() + ")";
    }
}
