package org.celerygw.gateway.peers;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.util.NetUtil;
import io.vertx.core.Future;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.peers.CrashSuspect;
import org.celerygw.core.gen.peers.Digest;
import org.celerygw.core.gen.peers.PermitRequest;
import org.celerygw.core.gen.peers.QuotaReply;
import org.celerygw.core.gen.peers.QuotaRequest;
import org.celerygw.core.gen.peers.RelayedCall;
import org.celerygw.core.gen.peers.RelayedReply;
import org.celerygw.core.gen.peers.ZoneRoom;
import org.celerygw.core.limits.CustomerQuotas;
import org.celerygw.core.limits.Permits;
import org.celerygw.core.peers.HostGroup;
import org.celerygw.core.peers.WaitingCodec;
import org.celerygw.core.scheduling.QueueLength;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Scheduler;
import org.celerygw.gateway.forward.ServerRelay;
import org.celerygw.gateway.net.ClientRequest;
import org.celerygw.gateway.net.ClientResponse;
import org.celerygw.gateway.net.HttpListener;
import org.celerygw.gateway.net.OriginPool;
import org.celerygw.gateway.net.RequestHandler;
import org.celerygw.gateway.watch.RowDecoder;
import org.celerygw.gateway.watch.RowFeed;
import org.jspecify.annotations.Nullable;

/**
 * The other hosts of the gateway. Each host registers its address in a table at startup and then sends digests to its
 * peers as UDP datagrams. A digest reports whether and how quickly the store answers its host, which configuration is in
 * force there, and how many requests that host has in flight at each backend server.
 */
public final class Peers {
    private static final long REGISTRATION_RETRY_MS = 500;
    private static final long HOST_TABLE_REFRESH_MS = 10_000;
    private static final int FAST_STORE_MS = 90;
    private static final int MAX_HOSTS = 1_000;
    private static final int SERVER_RELAYS = 6;
    private static final int SERVER_RELAYS_PER_REQUEST = 2;
    private static final int RENDEZVOUS_FACTOR = 0x9E3779B1;
    private static final String ROW_PREFIX = "host/";

    private final EventLoop loop;
    private final Clock clock;
    private final Scheduler scheduler;
    private final String host;
    private final InetSocketAddress self;
    private final Table hostTable;
    private final StoreHealth health;
    private final Relay relay;
    private final RowDecoder<InetSocketAddress> hostRows = new RowDecoder<>(
            "hosts", "peers: cannot decode the row of a host, it counts as no host", Peers::decodeAddress);
    private final PeerTable peers;
    private final DigestExchange digests;
    private final LocalState localState;
    private final RequestHandler serverRelay;
    private int nextRelayIndex;
    private boolean knowsHosts;
    private long relayedCalls;

    /** The state of this host that its digests report; notified when a peer is ahead of it. */
    public interface LocalState {
        /**
         * Returns the version of the configuration in force.
         *
         * @return the version; 0 for none
         */
        long configVersion();

        /**
         * Returns the programs that this host has started within the last second.
         *
         * @return hashes of their ids
         */
        List<Integer> recentlyStarted();

        /**
         * Called with the programs that another host has started.
         *
         * @param programHashes hashes of their ids
         */
        void startedElsewhere(List<Integer> programHashes);

        /**
         * Returns how many requests wait at this host until an engine has room.
         *
         * @return the numbers by service
         */
        Map<String, QueueLength> waitingByService();

        /**
         * Returns the same by precedence, while customers compete.
         *
         * @return the numbers by service and precedence; empty unless customers compete
         */
        Map<String, Map<Integer, QueueLength>> waitingByPrecedence();

        /**
         * Returns the work that competing customers have received through this host lately.
         *
         * @return slot time in ms by the hash of the customer; often empty, since it is reported only now and then
         */
        Map<Integer, Double> customerWork();

        /**
         * Called with the work that customers have received through another host of the group.
         *
         * @param peer the other host's name
         * @param workMs slot time in ms by the hash of the customer
         */
        void onCustomerWork(String peer, Map<Integer, Double> workMs);

        /**
         * Returns the requests under which servers have crashed, as known to this host.
         *
         * @return the suspects to tell the peers
         */
        List<CrashSuspect> crashSuspects();

        /**
         * Called with the suspects that another host tells.
         *
         * @param peer the other host's name
         * @param suspects its suspects
         */
        void onCrashSuspects(String peer, List<CrashSuspect> suspects);

        /**
         * Returns whether this host reaches no backend server over its own connections.
         *
         * @return true when peers should send no requests to servers through this host
         */
        boolean cutOff();

        /**
         * Returns whether this host is stopping.
         *
         * @return true when peers should relay no more calls through this host
         */
        boolean leaving();

        /**
         * Called once per round with the group of hosts that this host belongs to.
         *
         * @param index the group's index, from 0
         * @param count the number of groups in this host's zone
         */
        void onGroup(int index, int count);

        /**
         * Called with the digest of another host.
         *
         * @param version the version of the configuration in force there
         * @param storeAnswers whether the store answers that host
         */
        void onPeerConfiguration(long version, boolean storeAnswers);

        /**
         * Called once per round with the availability zones of the live hosts.
         *
         * @param zones the zones
         */
        void onHostZones(Set<String> zones);

        /**
         * Returns the free room of the zones, for hosts of other groups.
         *
         * @return the reports, a bounded number
         */
        List<ZoneRoom> zoneRooms();

        /**
         * Called with the free room of zones that another host reports.
         *
         * @param rooms the reports
         */
        void onZoneRooms(List<ZoneRoom> rooms);

        /** Called, once per round, while a live peer reports a newer configuration than this host has. */
        void onNewerConfiguration();
    }

    /**
     * Creates the peers of a host, initially the seeds.
     *
     * @param loop the event loop on which the sockets run
     * @param clock the clock by which the age of digests is measured
     * @param scheduler runs the periodic rounds and the retries
     * @param host this host's name
     * @param zone this host's availability zone
     * @param self the address on which this host receives datagrams and connections of its peers
     * @param seeds addresses of hosts to which the first digests are sent
     * @param direct the partitions, called without a relay
     * @param hostTable the table in which the hosts register
     * @param feeds returns the rows of a feed, by its name, as last received by this host
     * @param servers updated with the load that the peers report
     * @param health whether and how quickly the store answers this host
     * @param localState the state of this host to report
     * @param permits the permits that hosts ask each other for
     * @param quotas the quotas of customers
     * @param serverRelay handles the requests to backend servers that peers send through this host
     */
    public Peers(
            EventLoop loop,
            Clock clock,
            Scheduler scheduler,
            String host,
            String zone,
            InetSocketAddress self,
            List<InetSocketAddress> seeds,
            List<Table> direct,
            Table hostTable,
            Function<String, RowFeed.Result> feeds,
            ServerList servers,
            StoreHealth health,
            LocalState localState,
            Permits permits,
            CustomerQuotas quotas,
            RequestHandler serverRelay) {
        this.loop = loop;
        this.clock = clock;
        this.scheduler = scheduler;
        this.host = host;
        this.self = self;
        this.hostTable = hostTable;
        this.health = health;
        this.localState = localState;
        this.serverRelay = serverRelay;
        this.relay = new Relay(scheduler, direct, feeds);
        this.peers = new PeerTable(loop, clock, self);
        this.digests = new DigestExchange(
                clock,
                scheduler,
                host,
                zone,
                servers,
                peers,
                this::localDigest,
                this::anyWaiting,
                this::onGroup,
                this::onDigest,
                permits,
                quotas);
        seeds.forEach(peers::add);
    }

    /** Sends this host's load to its near peers soon; called when a request to a backend server starts or ends. */
    public void loadChanged() {
        digests.loadChanged();
    }

    /** Sends the requests under which servers have crashed to the near peers soon; called when there is a new one. */
    public void suspectsChanged() {
        digests.suspectsChanged();
    }

    private boolean anyWaiting() {
        return !localState.waitingByService().isEmpty()
                || digests.group().anyMatch(p -> p.digest.getWaitingCount() > 0);
    }

    private void onGroup(int index, int count) {
        localState.onGroup(index, count);
        localState.onHostZones(peers.live()
                .map(p -> p.digest.getZone())
                .filter(zone -> !zone.isEmpty())
                .collect(Collectors.toSet()));
    }

    private void onDigest(Digest digest) {
        if (digest.getConfigVersion() > 0) {
            localState.onPeerConfiguration(digest.getConfigVersion(), digest.getStoreAnswers());
        }
        localState.startedElsewhere(digest.getStartedList());
        localState.onCrashSuspects(digest.getHost(), digest.getSuspectsList());
        localState.onZoneRooms(digest.getZoneRoomList());
        if (digest.getCustomerWorkCount() > 0 && isInGroup(digest.getHost())) {
            localState.onCustomerWork(digest.getHost(), WaitingCodec.decodeWork(digest.getCustomerWorkList()));
        }
    }

    private boolean isInGroup(String peer) {
        return digests.group().anyMatch(p -> p.digest.getHost().equals(peer));
    }

    /** In a small fleet, each host knows the load of each server. */
    private boolean isLargeFleet() {
        return peers.live().count() >= HostGroup.MAX_HOSTS;
    }

    private Digest.Builder localDigest(boolean withSuspects, boolean inRound) {
        return Digest.newBuilder()
                .setConfigVersion(localState.configVersion())
                .setStoreAnswers(health.isAnswering())
                .setStoreMs(health.smoothedLatencyMs())
                .setLeaving(localState.leaving())
                .setCutOff(localState.cutOff())
                .putAllWaiting(WaitingCodec.encode(localState.waitingByService(), localState.waitingByPrecedence()))
                .addAllCustomerWork(WaitingCodec.encodeWork(localState.customerWork()))
                .addAllStarted(localState.recentlyStarted())
                .addAllSuspects(withSuspects ? localState.crashSuspects() : List.of())
                .addAllZoneRoom(inRound && isLargeFleet() ? localState.zoneRooms() : List.of());
    }

    /**
     * Returns how many datagrams of other hosts could not be read.
     *
     * @return the number since the start
     */
    public long unreadDatagrams() {
        return digests.unreadDatagrams();
    }

    /**
     * Returns how many requests wait at the other hosts of this host's group until an engine of a service has room.
     *
     * @param service the service's name
     * @return the number of requests, as last reported
     */
    public QueueLength waitingAtPeers(String service) {
        return WaitingCodec.sum(digests.group().map(p -> p.digest), service);
    }

    /**
     * Returns the same by precedence.
     *
     * @param service the service's name
     * @return the number of requests by precedence, as last reported
     */
    public Map<Integer, QueueLength> waitingAtPeersByPrecedence(String service) {
        return WaitingCodec.sumByPrecedence(digests.group().map(p -> p.digest), service);
    }

    /**
     * Returns tables that call the partitions directly, or through a peer when the store does not answer this host in time.
     *
     * @param direct the partitions, called without a relay
     * @return one table per partition, in the same order
     */
    public List<Table> hedgedTables(List<Table> direct) {
        return IntStream.range(0, direct.size())
                .mapToObj(i -> (Table) new HedgedTable(i, direct.get(i), health, this, clock, scheduler))
                .toList();
    }

    /**
     * Starts to receive and send digests, registers this host and serves relayed calls.
     *
     * @return completes once the sockets are bound; fails when one of them cannot be bound
     */
    public Future<Void> start() {
        return digests.bind(loop, self)
                .compose(v -> HttpListener.start(
                        loop, clock, self.getAddress().getHostAddress(), self.getPort(), this::serve))
                .map(l -> {
                    register();
                    runRound();
                    return null;
                });
    }

    private void serve(ClientRequest request, ClientResponse response) {
        if (ServerRelay.isRelayed(request)) {
            serverRelay.handle(request, response);
        } else {
            relay.serve(request, response);
        }
    }

    /**
     * Returns the hosts through which the next request to a backend server may be sent: live ones that reach the servers.
     * Each host uses few of them, so that its connections to them are kept, and different ones than other hosts do.
     *
     * @return at most {@value #SERVER_RELAYS_PER_REQUEST} hosts, in the order in which to try them
     */
    public List<OriginPool> serverRelays() {
        List<Peer> relays = peers.live()
                .filter(p -> !p.digest.getCutOff() && !p.digest.getLeaving())
                .sorted(Comparator.comparingInt(p -> Objects.hash(host, p.digest.getHost()) * RENDEZVOUS_FACTOR))
                .limit(SERVER_RELAYS)
                .toList();
        nextRelayIndex++;
        return IntStream.range(0, Math.min(SERVER_RELAYS_PER_REQUEST, relays.size()))
                .mapToObj(i -> relays.get(Math.floorMod(nextRelayIndex + i, relays.size())).originPool)
                .toList();
    }

    /**
     * Reads all rows of a feed from a peer, one of those with the newest configuration.
     *
     * @param name the feed's name
     * @param callback called with the rows as last received by that peer; with status FAILED when no peer answers
     */
    public void readFeed(String name, Consumer<RowFeed.Result> callback) {
        long newestVersion =
                relayPeers().mapToLong(p -> p.digest.getConfigVersion()).max().orElse(0);
        relay(
                relayPeers().filter(p -> p.digest.getConfigVersion() == newestVersion),
                RelayedCall.newBuilder().setFeed(name).build(),
                reply -> callback.accept(reply.filter(RelayedReply::hasFeed)
                        .map(RelayedReply::getFeed)
                        .map(f -> new RowFeed.Result(
                                RowFeed.Status.OK, f.getVersion(), RowCodec.decodeRows(f.getRowsList())))
                        .orElse(RowFeed.Result.withoutRows(RowFeed.Status.FAILED))));
    }

    /**
     * Returns the other registered hosts, except those that say that they grant no permits. Which of them are down shows
     * when one is asked: in a large fleet, a digest of each arrives only every few seconds.
     *
     * @return the hosts' names
     */
    public Set<String> grantingHosts() {
        return peers.all().stream()
                .filter(p -> p.digest.getHost().isEmpty() || p.digest.getGrantsPermits())
                .map(p -> p.name)
                .filter(name -> !name.isEmpty() && !name.equals(host))
                .collect(Collectors.toSet());
    }

    /**
     * Returns whether the registered hosts were read from the store since the start.
     *
     * @return false while hosts may be unknown that have not sent a digest yet
     */
    public boolean knowsHosts() {
        return knowsHosts;
    }

    /**
     * Sends a request for a permit to another host.
     *
     * @param receiver the host's name
     * @param request the request
     */
    public void sendPermitRequest(String receiver, PermitRequest request) {
        digests.send(receiver, Digest.newBuilder().setPermitRequest(request).build());
    }

    /**
     * Sends a request to the host that may keep the account of a customer's quota.
     *
     * @param receiver the host's name
     * @param request the request
     */
    public void sendQuotaRequest(String receiver, QuotaRequest request) {
        digests.send(receiver, Digest.newBuilder().setQuotaRequest(request).build());
    }

    /**
     * Sends a notice about a customer's quota to another host.
     *
     * @param receiver the host's name
     * @param notice the notice
     */
    public void sendQuotaNotice(String receiver, QuotaReply notice) {
        digests.send(receiver, Digest.newBuilder().setQuotaReply(notice).build());
    }

    /**
     * Sends this host's digest to another host at once.
     *
     * @param receiver the host's name
     */
    public void sendDigest(String receiver) {
        digests.sendDigest(receiver);
    }

    /**
     * Returns how many other hosts sent a digest recently.
     *
     * @return the number of live peers
     */
    public int liveCount() {
        return (int) peers.live().count();
    }

    /**
     * Returns how many calls this host has sent to peers.
     *
     * @return the number of relayed calls since the start
     */
    public long relayedCalls() {
        return relayedCalls;
    }

    boolean canRelay() {
        return peers.live().anyMatch(p -> p.digest.getStoreAnswers());
    }

    boolean canRelayQuickly() {
        return peers.live().anyMatch(p -> p.digest.getStoreAnswers() && p.digest.getStoreMs() < FAST_STORE_MS);
    }

    /** Relays a store call through a live peer that the store answers, chosen round-robin. */
    void relay(RelayedCall call, Consumer<Optional<RelayedReply>> callback) {
        relay(relayPeers(), call, callback);
    }

    private Stream<Peer> relayPeers() {
        return peers.live().filter(p -> p.digest.getStoreAnswers() && !p.digest.getLeaving());
    }

    private void relay(Stream<Peer> through, RelayedCall call, Consumer<Optional<RelayedReply>> callback) {
        List<Peer> candidates =
                through.sorted(Comparator.comparing(p -> p.digest.getHost())).toList();
        if (candidates.isEmpty()) {
            callback.accept(Optional.empty());
            return;
        }
        Peer peer = candidates.get(Math.floorMod(nextRelayIndex++ + host.hashCode(), candidates.size()));
        relayedCalls++;
        relay.call(peer.originPool, call, callback);
    }

    /**
     * Writes this host's row and reads those of the others, and repeats this until both have succeeded; afterwards only
     * rereads the table periodically to find new hosts.
     */
    private void register() {
        String address = self.getAddress().getHostAddress() + ":" + self.getPort();
        Txn txn = new Txn(List.of(), List.of(Txn.Change.put(ROW_PREFIX + host, ByteString.copyFromUtf8(address))));
        hostTable.write(
                txn,
                result -> hostTable.scan(ROW_PREFIX, "", MAX_HOSTS, answer -> {
                    knowsHosts |= answer.ok();
                    boolean complete = result.currentRows().isEmpty() && answer.ok() && result.version() > 0;
                    scheduler.schedule(
                            complete ? HOST_TABLE_REFRESH_MS : REGISTRATION_RETRY_MS,
                            complete ? this::refreshHosts : this::register);
                    answer.rows().forEach(this::addPeer);
                }));
    }

    private void refreshHosts() {
        hostTable.scan(ROW_PREFIX, "", MAX_HOSTS, answer -> {
            scheduler.schedule(HOST_TABLE_REFRESH_MS, this::refreshHosts);
            answer.rows().forEach(this::addPeer);
        });
    }

    private void addPeer(Row row) {
        hostRows.decode(row).ifPresent(address -> {
            peers.add(address);
            Peer peer = peers.get(address);
            if (peer != null && peer.name.isEmpty()) {
                peer.name = row.key().substring(ROW_PREFIX.length());
            }
        });
    }

    /** Decodes a row's address; throws when it is no IP address with a port. */
    private static Optional<InetSocketAddress> decodeAddress(Row row) {
        String text = row.value().toStringUtf8();
        int colon = text.lastIndexOf(':');
        // A name would be looked up by blocking the event loop.
        byte @Nullable [] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (ip == null) {
            throw new GatewayException(ErrorCode.DAMAGED, "expected an IP address, a colon and a port");
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port <= 0) {
            throw new GatewayException(ErrorCode.DAMAGED, "expected a port from 1 to 65535 but found " + port);
        }
        try {
            return Optional.of(new InetSocketAddress(InetAddress.getByAddress(ip), port));
        } catch (UnknownHostException e) {
            throw new GatewayException(ErrorCode.DAMAGED, "expected an address of 4 or 16 bytes");
        }
    }

    private void runRound() {
        // First, so that the next round does not depend on how this one ends.
        scheduler.schedule(DigestExchange.ROUND_INTERVAL_MS, this::runRound);
        peers.removeExpired();
        digests.runRound();
        if (peers.live().anyMatch(p -> p.digest.getConfigVersion() > localState.configVersion())) {
            localState.onNewerConfiguration();
        }
    }
}
