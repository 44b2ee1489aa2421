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

/** Hosts, callers, a store and a back end in one model time; everything random comes from one seed. */
final class World {
    private static final long RETRY_MS = 100;
    private static final long WAY_MS = 2;

    private final Timeline time = new Timeline();
    private final UniformRandomProvider random;
    private final OwnerSettings settings;
    private final Mutation mutation;
    private final Oracle oracle = new Oracle();
    private final FakeStore store;
    private final FakeBackend backend;
    private final List<WorldHost> hosts = new ArrayList<>();
    private final List<Caller> callers = new ArrayList<>();
    private final Map<ReplyTag, Consumer<Outcome>> waiting = new HashMap<>();
    private final Map<CustomerId, Long> ceilings = new HashMap<>();
    private final List<String> log = new ArrayList<>();
    private boolean logging;
    private long tags;
    private long hostNumbers;

    World(long seed, OwnerSettings settings, Mutation mutation) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.settings = settings;
        this.mutation = mutation;
        this.store = new FakeStore(time, random);
        this.backend = new FakeBackend(time, random, oracle);
    }

    Timeline time() {
        return time;
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

    void logging(boolean on) {
        logging = on;
    }

    void log(String line) {
        if (logging) {
            log.add("%8d ms  %s".formatted(time.nowMs() - 1_000_000, line));
        }
    }

    List<String> logged() {
        return log;
    }

    WorldHost startHost() {
        WorldHost host = new WorldHost(new HostId("h" + (++hostNumbers)), this);
        hosts.add(host);
        log(host.id() + " starts");
        ceilings.forEach((customer, tokens) -> host.give(new Event.CeilingUpdated(customer, tokens)));
        host.give(new Event.HostsUpdated(seen()));
        tellHosts();
        return host;
    }

    List<WorldHost> live() {
        return hosts.stream().filter(WorldHost::isLive).toList();
    }

    private SortedSet<HostId> seen() {
        return live().stream()
                .filter(h -> !h.isDraining())
                .map(WorldHost::id)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** Each host learns of a change in its own time. */
    private void tellHosts() {
        live().forEach(h -> time.after(100 + random.nextLong(1_500), () -> h.give(new Event.HostsUpdated(seen()))));
    }

    void crash(WorldHost host) {
        log(host.id() + " crashes");
        host.crash();
        lost(host);
    }

    void drain(WorldHost host) {
        log(host.id() + " begins a planned stop");
        host.drain();
        tellHosts();
    }

    /** A host is gone, by crash, by a planned stop or because it was deposed. */
    void lost(WorldHost host) {
        log(host.id() + " is gone");
        tellHosts();
    }

    void ceiling(CustomerId customer, long tokens) {
        ceilings.put(customer, tokens);
        oracle.ceiling(customer, tokens);
        live().forEach(h -> h.give(new Event.CeilingUpdated(customer, tokens)));
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
                time.nowMs() + 3_600_000,
                36_000_000,
                1_000);
        if (parent == null) {
            oracle.budget(id, budgetTokens);
        }
        Caller caller = new Caller(this, random, spec);
        callers.add(caller);
        return caller;
    }

    /** Has an entry host give a call to its owner, and ask elsewhere while it gets NOT_OWNER. */
    void submit(CallRequest call, Consumer<@Nullable Outcome> done) {
        ask(
                call.id().program(),
                tag -> new Event.CallSubmitted(call, tag),
                call.deadlineMs() - time.nowMs() + 3_000,
                outcome -> {
                    boolean elsewhere = outcome != null && outcome.code() == ErrorCode.NOT_OWNER;
                    if (elsewhere && time.nowMs() < call.deadlineMs()) {
                        time.after(RETRY_MS, () -> submit(call, done));
                    } else {
                        done.accept(outcome);
                    }
                });
    }

    /** Asks the owner of a program once; gives null when nothing comes back in time. */
    void ask(ProgramId program, Function<ReplyTag, Event> event, long silenceMs, Consumer<@Nullable Outcome> done) {
        ReplyTag tag = new ReplyTag(++tags);
        waiting.put(tag, done::accept);
        route(program).ifPresent(host -> time.after(WAY_MS, () -> host.give(event.apply(tag))));
        time.after(silenceMs, () -> {
            if (waiting.remove(tag) != null) {
                done.accept(null);
            }
        });
    }

    private Optional<WorldHost> route(ProgramId program) {
        List<WorldHost> entries = live().stream().filter(h -> !h.isPaused()).toList();
        if (entries.isEmpty()) {
            return Optional.empty();
        }
        WorldHost entry = entries.get(random.nextInt(entries.size()));
        if (!entry.owner().owns(program.slot())) {
            entry.give(new Event.SlotRefreshRequested(program.slot()));
        }
        HostId owner = entry.owner().ownerOf(program.slot()).orElse(entry.id());
        return Optional.of(
                live().stream().filter(h -> h.id().equals(owner)).findFirst().orElse(entry));
    }

    void replied(ReplyTag tag, Outcome outcome) {
        Consumer<Outcome> done = waiting.remove(tag);
        if (done != null) {
            time.after(WAY_MS, () -> done.accept(outcome));
        }
    }

    static String show(Outcome o) {
        return o.isAnswer()
                ? "answered with " + o.answer().size() + " bytes"
                : o.code() + " " + o.runState() + " (" + o.message() + ")";
    }
}
