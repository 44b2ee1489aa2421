package org.celerygw.core.config;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.jspecify.annotations.Nullable;

/**
 * Manages the configuration versions of one daemon: proposes new versions, learns of accepted ones and activates
 * them. A version is accepted when its row and the head row have been written by one conditional write. From then on
 * it is immutable, and lower versions are never activated again. Not thread-safe: all calls, and the callbacks of the
 * table, must be made on one thread.
 *
 * <pre>{@code
 * ConfigManager configs = new ConfigManager(settings, table, fetcher, writeIds, random, config -> apply(config));
 * configs.tick(nowMs);                       // every 50 to 100 ms
 * configs.versionAnnounced(version);         // learned by gossip
 * configs.propose(proposal, nowMs, result -> reply(result));
 * }</pre>
 */
public final class ConfigManager {
    private static final int MAX_HISTORY = 200;
    /** A read without a response is repeated after this time; a late response is still processed. */
    private static final long RESPONSE_TIMEOUT_MS = 2000;

    private static final long STARTUP_CONFIRM_INTERVAL_MS = 600;
    /** A daemon reports its configuration as unconfirmed after this many intervals without confirmation. */
    private static final int MAX_UNCONFIRMED_INTERVALS = 3;

    private final ConfigSyncSettings settings;
    private final Table table;
    private final PeerFetcher peerFetcher;
    private final Supplier<String> writeIdSupplier;
    private final UniformRandomProvider random;
    private final Consumer<AcceptedConfig> onActivated;
    private final List<ProposalCommit> pendingCommits = new ArrayList<>();
    private @Nullable AcceptedConfig activeConfig;
    private int daemonCount = 1;
    private long nowMs;
    private long activeSinceMs;
    private long announcedVersion;
    private long confirmedAtMs;
    private long nextConfirmAtMs;
    private long confirmTimeoutAtMs;
    private boolean storeFailed;
    private long fetchTimeoutAtMs;
    private long fetchVersion;
    private int fetchAttempts;
    private boolean storeFetchFirst;
    private long nextFetchAtMs;

    /**
     * Creates a manager that knows no version yet. The first ticks read the newest version.
     *
     * @param settings the intervals and limits
     * @param table the table that contains the configuration rows
     * @param peerFetcher requests versions from peers
     * @param writeIdSupplier generates globally unique ids
     * @param random the random source for spreading the load on the store
     * @param onActivated called with each version that becomes active at this daemon, in ascending order
     */
    public ConfigManager(
            ConfigSyncSettings settings,
            Table table,
            PeerFetcher peerFetcher,
            Supplier<String> writeIdSupplier,
            UniformRandomProvider random,
            Consumer<AcceptedConfig> onActivated) {
        this.settings = settings;
        this.table = table;
        this.peerFetcher = peerFetcher;
        this.writeIdSupplier = writeIdSupplier;
        this.random = random;
        this.onActivated = onActivated;
    }

    /** Requests configuration versions from peers. */
    @FunctionalInterface
    public interface PeerFetcher {
        /**
         * Requests a version from a peer, and from a different peer at each call.
         *
         * @param version the requested version; 0 for the newest that the peer has
         * @param callback called once, asynchronously, with the encoded version, or with nothing if the peer
         *     does not have it
         */
        void fetch(long version, Consumer<Optional<ByteString>> callback);
    }

    /**
     * Runs the periodic work: sends the confirmations, fetches and proposal writes that are due.
     *
     * @param nowMs the current time, in milliseconds since 1970; call every 50 to 100 ms
     */
    public void tick(long nowMs) {
        this.nowMs = nowMs;
        List.copyOf(pendingCommits).forEach(c -> c.tick(nowMs));
        pendingCommits.removeIf(ProposalCommit::completed);
        confirmWhenDue();
        fetchWhenDue();
    }

    /**
     * Sets the size of the fleet, by which the load on the store is divided.
     *
     * @param daemons the number of daemons, including this one
     */
    public void setFleetSize(int daemons) {
        daemonCount = Math.max(1, daemons);
    }

    /**
     * Reports that a version was accepted, as learned from another daemon.
     *
     * @param version the accepted version; has no effect if a higher one is already known
     */
    public void versionAnnounced(long version) {
        announcedVersion = Math.max(announcedVersion, version);
    }

    /**
     * Proposes a configuration.
     *
     * @param proposal the content and the version on which it is based
     * @param nowMs the current time, in milliseconds since 1970
     * @param callback called once with the result
     */
    public void propose(ConfigProposal proposal, long nowMs, Consumer<ProposalResult> callback) {
        submit(proposal, 0, nowMs, callback);
    }

    /**
     * Proposes the content of an older version as a new version.
     *
     * @param version the version to restore
     * @param seenVersion the newest version that the operator had seen
     * @param actor the name of the operator
     * @param reason the reason that the operator stated
     * @param nowMs the current time, in milliseconds since 1970
     * @param callback called once with the result
     */
    public void restore(
            long version,
            long seenVersion,
            String actor,
            String reason,
            long nowMs,
            Consumer<ProposalResult> callback) {
        table.read(List.of(ProposalCommit.versionKey(version)), readResult -> {
            if (!readResult.ok()) {
                callback.accept(ProposalResult.of(ProposalResult.Status.UNAVAILABLE));
                return;
            }
            Row row = readResult.rows().get(0);
            if (!row.exists()) {
                callback.accept(ProposalResult.of(ProposalResult.Status.NOT_FOUND));
                return;
            }
            AcceptedConfig old = AcceptedConfig.parse(row.value());
            submit(new ConfigProposal(old.content(), seenVersion, actor, reason), version, nowMs, callback);
        });
    }

    /**
     * Reads accepted versions in descending order.
     *
     * @param beforeVersion the lowest version to leave out; 0 to begin with the newest
     * @param limit the maximum number of versions, at most 200
     * @param callback called with the versions, or with nothing if the store could not be read
     */
    public void history(long beforeVersion, int limit, Consumer<Optional<List<AcceptedConfig>>> callback) {
        if (beforeVersion > 0) {
            readHistory(beforeVersion - 1, limit, callback);
            return;
        }
        table.read(List.of(ProposalCommit.HEAD_KEY), readResult -> {
            if (readResult.ok()) {
                readHistory(ProposalCommit.headVersion(readResult.rows().get(0)), limit, callback);
            } else {
                callback.accept(Optional.empty());
            }
        });
    }

    /**
     * Returns the version that is active at this daemon.
     *
     * @return the active version, or nothing before the first one was fetched
     */
    public Optional<AcceptedConfig> activeConfig() {
        return Optional.ofNullable(activeConfig);
    }

    /**
     * Returns the active version in encoded form, for a peer that requested it.
     *
     * @param version the requested version; 0 for the newest
     * @return the encoded version, or nothing if the requested version is not active at this daemon
     */
    public Optional<ByteString> encodedVersion(long version) {
        return activeConfig()
                .filter(c -> version == 0 || c.version() == version)
                .map(AcceptedConfig::toBytes);
    }

    /**
     * Returns the state of the configuration at this daemon.
     *
     * @param nowMs the current time, in milliseconds since 1970
     * @return the active version, its activation time, and whether it is confirmed to be the newest
     */
    public ConfigStatus status(long nowMs) {
        long version = activeVersion();
        boolean recent = confirmedAtMs > 0
                && nowMs - confirmedAtMs <= MAX_UNCONFIRMED_INTERVALS * settings.confirmIntervalMs(daemonCount);
        return new ConfigStatus(
                version, activeSinceMs, announcedVersion, confirmedAtMs, recent && version >= announcedVersion);
    }

    private void submit(ConfigProposal proposal, long restoredVersion, long nowMs, Consumer<ProposalResult> callback) {
        List<ConfigProblem> problems = ConfigValidator.validate(proposal.content());
        if (!problems.isEmpty()) {
            callback.accept(new ProposalResult(ProposalResult.Status.INVALID, null, problems));
            return;
        }
        AcceptedConfig proposed = new AcceptedConfig(
                proposal.seenVersion() + 1,
                proposal.content(),
                proposal.actor(),
                nowMs,
                proposal.reason(),
                writeIdSupplier.get(),
                restoredVersion);
        ProposalCommit commit = new ProposalCommit(
                table,
                proposed,
                nowMs + settings.proposalTimeoutMs(),
                settings.retryIntervalMs(),
                result -> proposalCompleted(result, callback));
        pendingCommits.add(commit);
        commit.tick(nowMs);
    }

    private void proposalCompleted(ProposalResult result, Consumer<ProposalResult> callback) {
        AcceptedConfig config = result.config();
        if (config != null) {
            versionAnnounced(config.version());
            activate(config);
        }
        callback.accept(result);
    }

    private void confirmWhenDue() {
        if (nowMs < confirmTimeoutAtMs || nowMs < nextConfirmAtMs) {
            return;
        }
        confirmTimeoutAtMs = nowMs + RESPONSE_TIMEOUT_MS;
        // The short interval ends with the first response, so a fleet without any configuration does not poll the
        // store.
        boolean starting = confirmedAtMs == 0;
        long intervalMs = starting ? STARTUP_CONFIRM_INTERVAL_MS : settings.confirmIntervalMs(daemonCount);
        // Randomized, so that daemons that started at the same time do not read at the same time.
        nextConfirmAtMs = nowMs + intervalMs / 2 + random.nextLong(intervalMs);
        long requestedAtMs = nowMs;
        table.read(List.of(ProposalCommit.HEAD_KEY), readResult -> {
            confirmTimeoutAtMs = 0;
            storeFailed = !readResult.ok();
            if (readResult.ok()) {
                confirmedAtMs = requestedAtMs;
                versionAnnounced(ProposalCommit.headVersion(readResult.rows().get(0)));
            }
        });
    }

    private void fetchWhenDue() {
        boolean behind = announcedVersion > activeVersion();
        boolean starting = activeConfig == null && storeFailed;
        if (nowMs < fetchTimeoutAtMs || !(behind || starting)) {
            return;
        }
        if (fetchVersion != announcedVersion) {
            startFetch();
        }
        if (nowMs < nextFetchAtMs) {
            return;
        }
        fetchTimeoutAtMs = nowMs + RESPONSE_TIMEOUT_MS;
        nextFetchAtMs = nowMs + settings.retryIntervalMs();
        if (shouldFetchFromStore()) {
            table.read(List.of(ProposalCommit.versionKey(fetchVersion)), this::onStoreResponse);
        } else {
            peerFetcher.fetch(fetchVersion, this::onPeerResponse);
        }
        fetchAttempts++;
    }

    private void startFetch() {
        fetchVersion = announcedVersion;
        fetchAttempts = 0;
        storeFetchFirst = random.nextInt(daemonCount) < settings.storeFetchingDaemons();
        nextFetchAtMs = storeFetchFirst ? nowMs : nowMs + random.nextLong(settings.retryIntervalMs());
    }

    private boolean shouldFetchFromStore() {
        if (fetchVersion == 0) {
            return false;
        }
        // Store and peers alternate after failures, so that an outage of either does not prevent the fetch.
        boolean storeTurn = storeFetchFirst
                ? fetchAttempts % 2 == 0
                : fetchAttempts % (settings.peerAttemptsBeforeStore() + 1) == settings.peerAttemptsBeforeStore();
        return storeTurn;
    }

    private void onStoreResponse(Table.ReadResult readResult) {
        fetchTimeoutAtMs = 0;
        if (readResult.ok() && readResult.rows().get(0).exists()) {
            activateEncoded(readResult.rows().get(0).value());
        }
    }

    private void onPeerResponse(Optional<ByteString> row) {
        fetchTimeoutAtMs = 0;
        row.ifPresent(this::activateEncoded);
    }

    private void activateEncoded(ByteString row) {
        try {
            activate(AcceptedConfig.parse(row));
        } catch (GatewayException e) {
            // A copy that cannot be decoded counts as missing; the next attempt uses another source.
            fetchAttempts++;
        }
    }

    /** Activates a version unless a higher version is active or known to be accepted. */
    private void activate(AcceptedConfig config) {
        if (config.version() <= activeVersion() || config.version() < announcedVersion) {
            return;
        }
        versionAnnounced(config.version());
        activeConfig = config;
        activeSinceMs = nowMs;
        onActivated.accept(config);
    }

    private long activeVersion() {
        return activeConfig == null ? 0 : activeConfig.version();
    }

    private void readHistory(long newestVersion, int limit, Consumer<Optional<List<AcceptedConfig>>> callback) {
        int count = (int) Math.min(newestVersion, Math.min(limit, MAX_HISTORY));
        List<String> keys = LongStream.range(0, count)
                .mapToObj(i -> ProposalCommit.versionKey(newestVersion - i))
                .toList();
        if (keys.isEmpty()) {
            callback.accept(Optional.of(List.of()));
            return;
        }
        table.read(
                keys,
                readResult -> callback.accept(
                        readResult.ok()
                                ? Optional.of(readResult.rows().stream()
                                        .filter(Row::exists)
                                        .map(r -> AcceptedConfig.parse(r.value()))
                                        .toList())
                                : Optional.empty()));
    }
}
