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
 * The versions of the configuration as one daemon knows them. A version is accepted when its row and the head row
 * were written in one conditional write; from then on it never changes and lower versions never come back. Not
 * thread-safe: all calls, and the table's answers, come on one thread.
 *
 * <pre>{@code
 * Configurations configs = new Configurations(settings, table, fetcher, writeIds, random, c -> apply(c));
 * configs.tick(nowMs);                       // every 50 to 100 ms
 * configs.announced(version);                // from gossip
 * configs.accept(proposal, nowMs, result -> reply(result));
 * }</pre>
 */
public final class Configurations {
    private static final int MAX_HISTORY = 200;
    /** A read without answer is given up after this time; a late answer is still taken. */
    private static final long ANSWER_TIMEOUT_MS = 2000;
    /** So many intervals without confirmation make a daemon say that it is not confirmed. */
    private static final int STALE_INTERVALS = 3;

    private final ConfigSettings settings;
    private final Table table;
    private final Fetcher fetcher;
    private final Supplier<String> writeIds;
    private final UniformRandomProvider random;
    private final Consumer<AcceptedConfig> onInForce;
    private final List<Acceptance> acceptances = new ArrayList<>();
    private @Nullable AcceptedConfig inForce;
    private int fleetSize = 1;
    private long nowMs;
    private long sinceMs;
    private long announcedVersion;
    private long confirmedAtMs;
    private long nextConfirmMs;
    private long confirmDeadlineMs;
    private boolean storeFailed;
    private long fetchDeadlineMs;
    private long fetchVersion;
    private int attempts;
    private boolean storeFirst;
    private long nextFetchMs;

    /**
     * Makes the versions of a daemon that knows none yet; it learns the newest with the first ticks.
     *
     * @param settings the pace
     * @param table the platform's table
     * @param fetcher asks peers for a version
     * @param writeIds makes ids that never repeat
     * @param random the source of random choices
     * @param onInForce told of each version that comes into force here, in rising order
     */
    public Configurations(
            ConfigSettings settings,
            Table table,
            Fetcher fetcher,
            Supplier<String> writeIds,
            UniformRandomProvider random,
            Consumer<AcceptedConfig> onInForce) {
        this.settings = settings;
        this.table = table;
        this.fetcher = fetcher;
        this.writeIds = writeIds;
        this.random = random;
        this.onInForce = onInForce;
    }

    /** Asks a peer for a version. */
    @FunctionalInterface
    public interface Fetcher {
        /**
         * Asks some peer, another one at each call.
         *
         * @param version the version wanted; 0 for the newest that the peer has
         * @param done given the encoded version, or nothing; called once, later
         */
        void fetch(long version, Consumer<Optional<ByteString>> done);
    }

    /**
     * Does what is due.
     *
     * @param nowMs the time; every 50 to 100 ms
     */
    public void tick(long nowMs) {
        this.nowMs = nowMs;
        List.copyOf(acceptances).forEach(a -> a.tick(nowMs));
        acceptances.removeIf(Acceptance::ended);
        confirmWhenDue();
        fetchWhenDue();
    }

    /**
     * States how many daemons the fleet has, by which the load on the store is shared.
     *
     * @param members the count, this daemon included
     */
    public void fleetSize(int members) {
        fleetSize = Math.max(1, members);
    }

    /**
     * Takes note that a version was accepted somewhere.
     *
     * @param version the version; a lower one than is known has no effect
     */
    public void announced(long version) {
        announcedVersion = Math.max(announcedVersion, version);
    }

    /**
     * Proposes a configuration.
     *
     * @param proposal the content and the version that its author saw
     * @param nowMs the time
     * @param done told once how it ended
     */
    public void accept(Proposal proposal, long nowMs, Consumer<AcceptResult> done) {
        propose(proposal, 0, nowMs, done);
    }

    /**
     * Proposes the content of an older version again, as a new version.
     *
     * @param version the older version
     * @param seenVersion the version that the operator saw as the newest
     * @param actor who asks
     * @param reason why
     * @param nowMs the time
     * @param done told once how it ended
     */
    public void restore(
            long version, long seenVersion, String actor, String reason, long nowMs, Consumer<AcceptResult> done) {
        table.read(List.of(Acceptance.key(version)), answer -> {
            if (!answer.ok()) {
                done.accept(AcceptResult.of(AcceptResult.Status.UNAVAILABLE));
                return;
            }
            Row row = answer.rows().get(0);
            if (!row.exists()) {
                done.accept(AcceptResult.of(AcceptResult.Status.NOT_FOUND));
                return;
            }
            AcceptedConfig old = AcceptedConfig.parse(row.value());
            propose(new Proposal(old.content(), seenVersion, actor, reason), version, nowMs, done);
        });
    }

    /**
     * Reads accepted versions, the newest first.
     *
     * @param beforeVersion only versions below this one; 0 begins with the newest
     * @param limit the most versions, up to 200
     * @param done given the versions, or nothing when the store does not answer
     */
    public void history(long beforeVersion, int limit, Consumer<Optional<List<AcceptedConfig>>> done) {
        if (beforeVersion > 0) {
            readHistory(beforeVersion - 1, limit, done);
            return;
        }
        table.read(List.of(Acceptance.HEAD), answer -> {
            if (answer.ok()) {
                readHistory(Acceptance.headVersion(answer.rows().get(0)), limit, done);
            } else {
                done.accept(Optional.empty());
            }
        });
    }

    /**
     * Returns the version in force here.
     *
     * @return the version, or nothing before the first one is learned
     */
    public Optional<AcceptedConfig> inForce() {
        return Optional.ofNullable(inForce);
    }

    /**
     * Answers a peer that asks for a version.
     *
     * @param version the version wanted; 0 for the newest
     * @return the encoded version when it is the one in force here
     */
    public Optional<ByteString> serve(long version) {
        return inForce().filter(c -> version == 0 || c.version() == version).map(AcceptedConfig::toBytes);
    }

    /**
     * Tells what this daemon knows.
     *
     * @param nowMs the time
     * @return the version in force, since when, and whether it is known to be the newest
     */
    public ConfigStatus status(long nowMs) {
        long version = inForceVersion();
        boolean recent = confirmedAtMs > 0 && nowMs - confirmedAtMs <= STALE_INTERVALS * settings.confirmMs(fleetSize);
        return new ConfigStatus(
                version, sinceMs, announcedVersion, confirmedAtMs, recent && version >= announcedVersion);
    }

    private void propose(Proposal proposal, long restores, long nowMs, Consumer<AcceptResult> done) {
        List<ConfigProblem> problems = ConfigCheck.problems(proposal.content());
        if (!problems.isEmpty()) {
            done.accept(new AcceptResult(AcceptResult.Status.INVALID, null, problems));
            return;
        }
        AcceptedConfig proposed = new AcceptedConfig(
                proposal.seenVersion() + 1,
                proposal.content(),
                proposal.actor(),
                nowMs,
                proposal.reason(),
                writeIds.get(),
                restores);
        Acceptance acceptance = new Acceptance(
                table, proposed, nowMs + settings.acceptTimeoutMs(), settings.retryMs(), result -> ended(result, done));
        acceptances.add(acceptance);
        acceptance.tick(nowMs);
    }

    private void ended(AcceptResult result, Consumer<AcceptResult> done) {
        AcceptedConfig config = result.config();
        if (config != null) {
            announced(config.version());
            enforce(config);
        }
        done.accept(result);
    }

    private void confirmWhenDue() {
        if (nowMs < confirmDeadlineMs || nowMs < nextConfirmMs) {
            return;
        }
        confirmDeadlineMs = nowMs + ANSWER_TIMEOUT_MS;
        long intervalMs = inForce == null ? settings.retryMs() * 4 : settings.confirmMs(fleetSize);
        // Spread over the interval, so that daemons that started together do not ask together.
        nextConfirmMs = nowMs + intervalMs / 2 + random.nextLong(intervalMs);
        long askedAtMs = nowMs;
        table.read(List.of(Acceptance.HEAD), answer -> {
            confirmDeadlineMs = 0;
            storeFailed = !answer.ok();
            if (answer.ok()) {
                confirmedAtMs = askedAtMs;
                announced(Acceptance.headVersion(answer.rows().get(0)));
            }
        });
    }

    private void fetchWhenDue() {
        boolean behind = announcedVersion > inForceVersion();
        boolean starting = inForce == null && storeFailed;
        if (nowMs < fetchDeadlineMs || !(behind || starting)) {
            return;
        }
        if (fetchVersion != announcedVersion) {
            beginFetch();
        }
        if (nowMs < nextFetchMs) {
            return;
        }
        fetchDeadlineMs = nowMs + ANSWER_TIMEOUT_MS;
        nextFetchMs = nowMs + settings.retryMs();
        if (fromStore()) {
            table.read(List.of(Acceptance.key(fetchVersion)), this::storeAnswered);
        } else {
            fetcher.fetch(fetchVersion, this::peerAnswered);
        }
        attempts++;
    }

    private void beginFetch() {
        fetchVersion = announcedVersion;
        attempts = 0;
        storeFirst = random.nextInt(fleetSize) < settings.storeFetchers();
        nextFetchMs = storeFirst ? nowMs : nowMs + random.nextLong(settings.retryMs());
    }

    private boolean fromStore() {
        if (fetchVersion == 0) {
            return false;
        }
        // Both sources take turns once one has failed, so that neither outage holds a version back.
        boolean turn =
                storeFirst ? attempts % 2 == 0 : attempts % (settings.peerAttempts() + 1) == settings.peerAttempts();
        return turn;
    }

    private void storeAnswered(Table.Answer answer) {
        fetchDeadlineMs = 0;
        if (answer.ok() && answer.rows().get(0).exists()) {
            take(answer.rows().get(0).value());
        }
    }

    private void peerAnswered(Optional<ByteString> row) {
        fetchDeadlineMs = 0;
        row.ifPresent(this::take);
    }

    private void take(ByteString row) {
        try {
            enforce(AcceptedConfig.parse(row));
        } catch (GatewayException e) {
            // An unreadable copy is no copy: the next attempt asks elsewhere.
            attempts++;
        }
    }

    /** Puts a version into force unless a higher one is known. */
    private void enforce(AcceptedConfig config) {
        if (config.version() <= inForceVersion() || config.version() < announcedVersion) {
            return;
        }
        announced(config.version());
        inForce = config;
        sinceMs = nowMs;
        onInForce.accept(config);
    }

    private long inForceVersion() {
        return inForce == null ? 0 : inForce.version();
    }

    private void readHistory(long newest, int limit, Consumer<Optional<List<AcceptedConfig>>> done) {
        int count = (int) Math.min(newest, Math.min(limit, MAX_HISTORY));
        List<String> keys = LongStream.range(0, count)
                .mapToObj(i -> Acceptance.key(newest - i))
                .toList();
        if (keys.isEmpty()) {
            done.accept(Optional.of(List.of()));
            return;
        }
        table.read(
                keys,
                answer -> done.accept(
                        answer.ok()
                                ? Optional.of(answer.rows().stream()
                                        .filter(Row::exists)
                                        .map(r -> AcceptedConfig.parse(r.value()))
                                        .toList())
                                : Optional.empty()));
    }
}
