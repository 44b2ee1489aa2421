package org.celerygw.core.servers;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;
import java.util.stream.IntStream;

/**
 * Selects the backend server for a request. For engines, requests with the same affinity key go to the same engine by
 * rendezvous hashing (highest random weight) with bounded load, preferably to the subset of the engines in the host's
 * availability zone that its group of hosts uses. Prompts cached on an engine are reused that way without coordination
 * between hosts. For other services, the least loaded server is selected, preferably in the host's zone. Loads are scaled by
 * the speeds of the servers.
 */
public final class ServerSelector {
    private static final int REQUESTS_AHEAD_OF_SLOTS = 1;

    private final EngineGroup group;
    private final EngineSelector engineSelector;
    private final PlainSelector plainSelector;
    private final Spillover spillover;
    private final CacheAffinity cacheAffinity = new CacheAffinity();
    private final Consumer<TrackedServer> onPermitNeeded;
    private int firstAsked;
    private ToIntFunction<String> memoryTokens = service -> 0;

    /**
     * Creates a selector for a host.
     *
     * @param zone the host's availability zone
     * @param onPermitNeeded called with a server that would be selected if this host had a permit under its request limit
     */
    public ServerSelector(String zone, Consumer<TrackedServer> onPermitNeeded) {
        this.group = new EngineGroup(zone);
        this.spillover = new Spillover(group);
        this.engineSelector = new EngineSelector(group, spillover);
        this.plainSelector = new PlainSelector(group);
        this.onPermitNeeded = onPermitNeeded;
    }

    /**
     * Sets the group of hosts that this host belongs to. The engines of the zone are divided among its groups.
     *
     * @param index the group's index, from 0
     * @param count the number of groups in the host's zone
     */
    public void setGroup(int index, int count) {
        group.set(index, count);
    }

    /**
     * Sets the zones in which hosts are, so that the engines of the others are used as well.
     *
     * @param zones the zones of all live hosts
     */
    public void setHostZones(Set<String> zones) {
        group.setHostZones(zones);
    }

    /**
     * Sets the mean service times, by which waits are estimated.
     *
     * @param byService returns the mean service time of a service, in ms
     */
    public void setServiceMs(ToDoubleFunction<String> byService) {
        spillover.setServiceMs(byService);
    }

    /**
     * Returns what is known of the free room of the zones.
     *
     * @return the rooms, to which reports of other hosts are added
     */
    public ZoneRooms zoneRooms() {
        return spillover.rooms();
    }

    /**
     * Returns the room of this host's zone, for hosts of other groups: that of the group's engines times the number of
     * groups.
     *
     * @param servers the service's servers
     * @param waiting the number of requests that wait for them at the hosts of the group
     * @param nowMs the current time, in ms
     * @return the room; empty if the group uses the engines of other zones, since its own have none
     */
    public Optional<ZoneRooms.ZoneRoom> localRoom(List<TrackedServer> servers, int waiting, long nowMs) {
        List<TrackedServer> local = group.subset(servers, candidates(servers, Set.of(), nowMs)).stream()
                .filter(server -> group.isInZone(server) && server.entry().slots() > 0)
                .toList();
        if (local.isEmpty()) {
            return Optional.empty();
        }
        int free = local.stream()
                .mapToInt(server -> Math.max(0, server.entry().slots() - server.load()))
                .sum();
        return Optional.of(new ZoneRooms.ZoneRoom(
                local.get(0).entry().service(), group.zone(), free * group.count(), waiting * group.count(), 0));
    }

    /**
     * Returns how many requests this host may send to engines of other groups and zones now, since these have room.
     *
     * @param servers the service's servers
     * @param nowMs the current time, in ms
     * @return the number of requests; 0 if the zone has one group of hosts
     */
    public double borrowableRoom(List<TrackedServer> servers, long nowMs) {
        return servers.isEmpty() ? 0 : spillover.borrowableRoom(servers, nowMs);
    }

    /**
     * Sets the memory of the engines.
     *
     * @param byService returns how many tokens an engine of a service holds at once; 0 if not known
     */
    public void setMemory(ToIntFunction<String> byService) {
        memoryTokens = byService;
    }

    /**
     * Returns whether a request is larger than the memory of each engine, so that it can never run.
     *
     * @param service the service whose engines can run it
     * @param tokens the memory that it can hold at its end, in tokens; 0 if not known
     * @return false if either size is not known
     */
    public boolean exceedsMemory(String service, long tokens) {
        int memory = memoryTokens.applyAsInt(service);
        return memory > 0 && tokens > memory;
    }

    /**
     * Returns the engine with a free slot that comes closest to having the memory for a request.
     *
     * @param servers the service's servers
     * @param placement the request that no engine has the memory for
     * @param nowMs the current time, in ms
     * @return the engine; empty if the request can be placed, or if no engine has a free slot either
     */
    public Optional<TrackedServer> nextWithMemory(List<TrackedServer> servers, Placement placement, long nowMs) {
        List<TrackedServer> withSlot = candidates(servers, placement.excludedIds(), nowMs).stream()
                .filter(server -> slotRoom(server) > 0)
                .toList();
        return withSlot.stream().anyMatch(server -> hasMemory(server, placement.tokens()))
                ? Optional.empty()
                : withSlot.stream().min(Comparator.comparingLong(TrackedServer::tokensInFlight));
    }

    /**
     * Selects an engine that has room. The engine that ran the previous turn may have up to twice the load limit of the
     * others, since it has the program's prompt cached. An engine that needs a permit which this host lacks is passed over
     * for this time, and a permit is asked for.
     *
     * @param servers the service's servers
     * @param placement the request's size and preferences
     * @param nowMs the current time, in ms
     * @return the engine; empty if none is usable, or all are full or need a permit
     */
    public Optional<TrackedServer> selectEngine(List<TrackedServer> servers, Placement placement, long nowMs) {
        List<TrackedServer> candidates = candidates(servers, placement.excludedIds(), nowMs);
        double loadLimit = EngineSelector.loadLimit(candidates, nowMs);
        Predicate<TrackedServer> hasRoom = server -> hasRoom(server, placement.tokens());
        List<TrackedServer> notSlow = Outliers.eject(candidates, nowMs);
        Optional<TrackedServer> first = engineSelector.select(servers, notSlow, placement, hasRoom, loadLimit, nowMs);
        if (first.isEmpty() && notSlow.size() < candidates.size()) {
            first = engineSelector.select(servers, candidates, placement, hasRoom, loadLimit, nowMs);
        }
        if (first.isEmpty() || first.get().limit().allowsRequest(nowMs)) {
            return first;
        }
        onPermitNeeded.accept(first.get());
        return EngineSelector.selectOfAll(allowed(candidates, nowMs), placement, hasRoom, loadLimit, nowMs);
    }

    /**
     * Selects an engine that has room for a request of unknown size.
     *
     * @param servers the service's servers
     * @param affinityKey the key of requests that should go to the same engine, for example the program's id
     * @param previousServer the id of the server that ran the previous turn; empty if unknown
     * @param excludedIds ids of servers that must not be selected
     * @param nowMs the current time, in ms
     * @return the engine; empty if none is usable, or all are full or need a permit
     */
    public Optional<TrackedServer> selectEngine(
            List<TrackedServer> servers,
            String affinityKey,
            String previousServer,
            Set<String> excludedIds,
            long nowMs) {
        return selectEngine(servers, new Placement(affinityKey, previousServer, excludedIds, 0), nowMs);
    }

    /**
     * Returns whether any server can be selected, full or not.
     *
     * @param servers the service's servers
     * @param excludedIds ids of servers that must not be selected
     * @param nowMs the current time, in ms
     * @return false if every server is draining, has left or is excluded
     */
    public boolean hasUsableServer(List<TrackedServer> servers, Set<String> excludedIds, long nowMs) {
        return !candidates(servers, excludedIds, nowMs).isEmpty();
    }

    /**
     * Returns how many requests the usable engines of a service without a request limit can take in addition to those in
     * flight. Counts the engines that this host's group uses if the zone has several groups; if some of these have a
     * limit, the group's part of the room at all engines.
     *
     * @param servers the service's servers
     * @param nowMs the current time, in ms
     * @return the sum over the engines; {@link Integer#MAX_VALUE} if one of them has no limit
     */
    public int freeRoom(List<TrackedServer> servers, long nowMs) {
        return freeRoom(servers, 0, nowMs);
    }

    /**
     * Returns how many requests of some size the same engines can take in addition to those in flight.
     *
     * @param servers the service's servers
     * @param tokens the memory that each request can hold at its end, in tokens; 0 if not known
     * @param nowMs the current time, in ms
     * @return the sum over the engines; {@link Integer#MAX_VALUE} if one of them has no limit
     */
    public int freeRoom(List<TrackedServer> servers, long tokens, long nowMs) {
        return room(
                servers,
                server -> Math.min(
                        slotRoom(server),
                        server.memoryRoom(
                                tokens, memoryTokens.applyAsInt(server.entry().service()))),
                nowMs);
    }

    /**
     * Returns how many requests the same engines can take if none is in flight.
     *
     * @param servers the service's servers
     * @param nowMs the current time, in ms
     * @return the sum over the engines; {@link Integer#MAX_VALUE} if one of them has no limit
     */
    public int totalRoom(List<TrackedServer> servers, long nowMs) {
        return room(
                servers,
                server -> slotRoom(server) == Integer.MAX_VALUE ? Integer.MAX_VALUE : slotRoom(server) + server.load(),
                nowMs);
    }

    private int room(List<TrackedServer> servers, ToIntFunction<TrackedServer> ofServer, long nowMs) {
        List<TrackedServer> candidates = candidates(servers, Set.of(), nowMs);
        Set<TrackedServer> subset = group.subset(servers, candidates);
        boolean limited = subset.stream().anyMatch(server -> server.limit().isInForce(nowMs));
        long sum = candidates.stream()
                .filter(server -> group.count() == 1 || limited || subset.contains(server))
                .filter(server -> !server.limit().isInForce(nowMs))
                .mapToLong(server -> Math.max(0, ofServer.applyAsInt(server)))
                .sum();
        long ownPart =
                group.count() > 1 && limited ? (sum * subset.size() + candidates.size() - 1) / candidates.size() : sum;
        return (int) Math.min(Integer.MAX_VALUE, ownPart);
    }

    /**
     * Asks for permits because requests wait for them: for as many servers as requests wait, less those for which a permit
     * is held or expected, since a permit that is not used is lost for all hosts.
     *
     * @param servers the service's servers
     * @param waiting the number of waiting requests
     * @param nowMs the current time, in ms
     * @return the number of permits that this host holds and can use now
     */
    public int requestPermits(List<TrackedServer> servers, int waiting, long nowMs) {
        List<TrackedServer> limited = candidates(servers, Set.of(), nowMs).stream()
                .filter(server -> server.limit().isInForce(nowMs) && slotRoom(server) > 0)
                .toList();
        long expected = limited.stream()
                .filter(server -> server.limit().expectsPermit(nowMs))
                .count();
        firstAsked++;
        IntStream.range(0, limited.size())
                .mapToObj(i -> limited.get(Math.floorMod(firstAsked + i, limited.size())))
                .filter(server -> server.limit().mayRequestPermit(nowMs))
                .limit(Math.max(0, waiting - expected))
                .forEach(onPermitNeeded);
        return allowed(limited, nowMs).size();
    }

    /**
     * Returns the rate at which a service's servers accept requests from all hosts.
     *
     * @param servers the service's servers
     * @param nowMs the current time, in ms
     * @return the sum of their request limits, in requests per second; infinite if a usable one has none
     */
    public double limitPerS(List<TrackedServer> servers, long nowMs) {
        return candidates(servers, Set.of(), nowMs).stream()
                .mapToDouble(server -> server.limit().perS(nowMs))
                .sum();
    }

    /**
     * Selects a server of a service that does not run engines.
     *
     * @param servers the service's servers
     * @param excludedIds ids of servers that must not be selected
     * @param affinityKey the key that decides between servers with the same load and zone
     * @param nowMs the current time, in ms
     * @return the server; empty if none is usable or all need a permit that this host lacks
     */
    public Optional<TrackedServer> selectServer(
            List<TrackedServer> servers, Set<String> excludedIds, String affinityKey, long nowMs) {
        List<TrackedServer> candidates = candidates(servers, excludedIds, nowMs);
        return selectServer(candidates, Outliers.eject(candidates, nowMs), affinityKey, nowMs);
    }

    /**
     * Selects a server of a service that does not run engines, for a request about an object that some server may have in
     * its cache.
     *
     * @param servers the service's servers
     * @param excludedIds ids of servers that must not be selected
     * @param route the route's name
     * @param objectKey the object's key
     * @param nowMs the current time, in ms
     * @return the server; empty if none is usable or all need a permit that this host lacks
     */
    public Optional<TrackedServer> selectStickyServer(
            List<TrackedServer> servers, Set<String> excludedIds, String route, String objectKey, long nowMs) {
        List<TrackedServer> candidates = candidates(servers, excludedIds, nowMs);
        List<TrackedServer> notSlow = Outliers.eject(candidates, nowMs);
        Optional<TrackedServer> other = selectServer(candidates, notSlow, objectKey, nowMs);
        return allowedOr(
                cacheAffinity.select(allowed(notSlow, nowMs), other, route, objectKey, nowMs), () -> other, nowMs);
    }

    private Optional<TrackedServer> selectServer(
            List<TrackedServer> candidates, List<TrackedServer> notSlow, String affinityKey, long nowMs) {
        return allowedOr(
                plainSelector.select(notSlow, affinityKey, nowMs),
                () -> plainSelector.select(allowed(candidates, nowMs), affinityKey, nowMs),
                nowMs);
    }

    /**
     * Returns how long engines take for a token of a prompt.
     *
     * @return the times, to which first events are reported
     */
    public PrefillTimes prefillTimes() {
        return engineSelector.prefillTimes();
    }

    /**
     * Returns what is known of the caches of servers.
     *
     * @return the affinity, to which responses about objects are reported
     */
    public CacheAffinity cacheAffinity() {
        return cacheAffinity;
    }

    /** Returns the first choice, or else asks for a permit for it and returns another one. */
    private Optional<TrackedServer> allowedOr(
            Optional<TrackedServer> first, Supplier<Optional<TrackedServer>> other, long nowMs) {
        if (first.isEmpty() || first.get().limit().allowsRequest(nowMs)) {
            return first;
        }
        onPermitNeeded.accept(first.get());
        return other.get();
    }

    private static List<TrackedServer> allowed(List<TrackedServer> servers, long nowMs) {
        return servers.stream()
                .filter(server -> server.limit().allowsRequest(nowMs))
                .toList();
    }

    /**
     * Returns the usable servers that are neither paused nor failing; if there are none, those that are not paused; if
     * there are none either, all usable ones.
     */
    private static List<TrackedServer> candidates(List<TrackedServer> servers, Set<String> excludedIds, long nowMs) {
        List<TrackedServer> accepting = servers.stream()
                .filter(server -> server.isUsable()
                        && !excludedIds.contains(server.entry().id()))
                .toList();
        List<TrackedServer> notPaused =
                accepting.stream().filter(server -> !server.isPaused(nowMs)).toList();
        List<TrackedServer> healthy = notPaused.stream()
                .filter(server -> !server.hasHighFailureRate(nowMs))
                .toList();
        if (!healthy.isEmpty()) {
            return healthy;
        }
        return notPaused.isEmpty() ? accepting : notPaused;
    }

    /**
     * Returns how many more requests an engine can take: up to its slots, and a few more that fill a slot as soon as it
     * becomes free, before any host hears of that.
     */
    private static int slotRoom(TrackedServer server) {
        int slots = server.entry().slots();
        return slots <= 0 ? Integer.MAX_VALUE : slots + REQUESTS_AHEAD_OF_SLOTS - server.load();
    }

    private boolean hasRoom(TrackedServer server, long tokens) {
        return slotRoom(server) > 0 && hasMemory(server, tokens);
    }

    private boolean hasMemory(TrackedServer server, long tokens) {
        return server.hasMemory(tokens, memoryTokens.applyAsInt(server.entry().service()));
    }
}
