package org.celerygw.core.budget;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.celerygw.core.gen.state.Grant;
import org.celerygw.core.gen.state.Share;
import org.celerygw.core.helper.Check;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.HostId;
import org.celerygw.core.journal.Keys;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;
import org.jspecify.annotations.Nullable;

/**
 * This owner's shares of the customers' ceilings. A share is drawn in chunks by conditional write; the sum of all
 * shares and of what owners that are gone have spent never exceeds the ceiling that the drawing owner knows.
 */
public final class Grants {
    private static final long RETRY_MS = 100;

    private final HostId host;
    private final Table table;
    private final long chunkTokens;
    private final ToLongFunction<CustomerId> spentHere;
    private final Map<CustomerId, Account> accounts = new HashMap<>();

    /**
     * Makes grants of which nothing is drawn yet.
     *
     * @param host this owner
     * @param table where the rows are
     * @param chunkTokens the least to draw at once, where the ceiling allows it
     * @param spentHere gives what a customer spent and reserved through this owner
     */
    public Grants(HostId host, Table table, long chunkTokens, ToLongFunction<CustomerId> spentHere) {
        this.host = host;
        this.table = table;
        this.chunkTokens = chunkTokens;
        this.spentHere = spentHere;
    }

    /** Whether a customer's call may spend its tokens. */
    public enum Answer {
        /** It may. */
        GRANTED,
        /** It is not known yet; ask again. */
        WAIT,
        /** The ceiling is reached. */
        EXHAUSTED
    }

    private static final class Account {
        private long ceilingTokens = Long.MAX_VALUE;
        private long sharedTokens;
        private long version;
        private Grant grant = Grant.getDefaultInstance();
        private long draws;
        private boolean read;
        private boolean fresh;
        private boolean busy;
        private boolean exhausted;
        private long wantedTokens;
        private final Map<String, Long> closing = new HashMap<>();
        private long nextTryMs;
        private @Nullable Txn txn;
        private Grant next = Grant.getDefaultInstance();
    }

    /**
     * Sets a customer's ceiling.
     *
     * @param customer the customer
     * @param ceilingTokens the most tokens; {@code Long.MAX_VALUE} for none
     */
    public void ceiling(CustomerId customer, long ceilingTokens) {
        Check.notNegative(ceilingTokens, "ceilingTokens");
        Account a = account(customer);
        a.exhausted = a.exhausted && ceilingTokens <= a.ceilingTokens;
        a.ceilingTokens = ceilingTokens;
    }

    private Account account(CustomerId customer) {
        return accounts.computeIfAbsent(customer, c -> new Account());
    }

    /**
     * Returns whether a customer may spend more tokens through this owner; draws more when needed.
     *
     * @param customer the customer
     * @param tokens what the next call reserves
     * @return whether it may
     */
    public Answer ask(CustomerId customer, long tokens) {
        Account a = account(customer);
        if (a.ceilingTokens == Long.MAX_VALUE || tokens == 0) {
            return Answer.GRANTED;
        }
        long missing = spentHere.applyAsLong(customer) + tokens - a.sharedTokens;
        if (missing <= 0) {
            return Answer.GRANTED;
        }
        if (a.exhausted) {
            a.exhausted = false;
            return Answer.EXHAUSTED;
        }
        a.wantedTokens = missing;
        return Answer.WAIT;
    }

    /**
     * Draws what is wanted.
     *
     * @param nowMs the time now
     */
    public void tick(long nowMs) {
        accounts.forEach((customer, a) -> draw(customer, a, nowMs));
    }

    private void draw(CustomerId customer, Account a, long nowMs) {
        if (a.busy || nowMs < a.nextTryMs || (a.txn == null && a.wantedTokens == 0 && a.closing.isEmpty())) {
            return;
        }
        a.busy = true;
        a.nextTryMs = nowMs + RETRY_MS;
        if (!a.read) {
            table.read(List.of(Keys.grant(customer)), answer -> {
                a.busy = false;
                if (answer.ok()) {
                    learn(a, answer.rows().get(0));
                    a.fresh = true;
                    a.nextTryMs = 0;
                }
            });
            return;
        }
        Txn txn = a.txn;
        if (txn == null && !a.closing.isEmpty()) {
            txn = closing(customer, a);
            if (txn == null) {
                a.busy = false;
                a.nextTryMs = 0;
                return;
            }
        }
        if (txn == null) {
            txn = drawing(customer, a);
        }
        if (txn == null) {
            a.busy = false;
            a.read = false;
            a.nextTryMs = 0;
            // Another owner may have returned its share since the row was read: only a fresh row says no.
            a.exhausted = a.fresh;
            a.wantedTokens = a.fresh ? 0 : a.wantedTokens;
            return;
        }
        a.txn = txn;
        table.write(txn, result -> drawn(a, result));
    }

    /**
     * Returns what an owner that is gone did not spend: its share is replaced by what it spent.
     *
     * @param gone the owner whose journal is sealed or, when it leaves, this owner
     * @param tallies all that it spent
     */
    public void close(HostId gone, Tallies tallies) {
        accounts.forEach((customer, a) -> {
            if (a.ceilingTokens != Long.MAX_VALUE) {
                a.closing.put(gone.value(), tallies.of(customer));
            }
        });
    }

    private @Nullable Txn closing(CustomerId customer, Account a) {
        List<String> present = a.grant.getSharesList().stream()
                .map(Share::getHost)
                .filter(a.closing::containsKey)
                .toList();
        if (present.isEmpty()) {
            // A share that is absent in a fresh row was closed by another host.
            if (a.fresh) {
                a.closing.clear();
            }
            a.read = a.fresh;
            return null;
        }
        Grant.Builder next = a.grant.toBuilder().clearShares();
        a.grant.getSharesList().stream()
                .filter(s -> !present.contains(s.getHost()))
                .forEach(next::addShares);
        long spent = present.stream().mapToLong(a.closing::get).sum();
        next.setSpentTokens(a.grant.getSpentTokens() + spent);
        return put(customer, a, next.build());
    }

    private static Txn put(CustomerId customer, Account a, Grant next) {
        a.next = next;
        String key = Keys.grant(customer);
        return new Txn(List.of(new Txn.Condition(key, a.version)), List.of(Txn.Change.put(key, next.toByteString())));
    }

    private @Nullable Txn drawing(CustomerId customer, Account a) {
        long taken = a.grant.getSpentTokens()
                + a.grant.getSharesList().stream().mapToLong(Share::getTokens).sum();
        long left = a.ceilingTokens - taken;
        if (left < a.wantedTokens) {
            return null;
        }
        long more = Math.min(left, Math.max(a.wantedTokens, chunkTokens));
        a.draws++;
        Grant.Builder next = a.grant.toBuilder().clearShares();
        a.grant.getSharesList().stream()
                .filter(s -> !s.getHost().equals(host.value()))
                .forEach(next::addShares);
        next.addShares(Share.newBuilder()
                .setHost(host.value())
                .setTokens(a.sharedTokens + more)
                .setDrawNumber(a.draws));
        return put(customer, a, next.build());
    }

    private void drawn(Account a, TxnResult result) {
        a.busy = false;
        switch (result.status()) {
            case COMMITTED -> {
                a.version++;
                a.grant = a.next;
                settle(a);
            }
            case CONFLICT -> {
                learn(a, result.found().get(0));
                settle(a);
            }
            case UNKNOWN -> {
                // The very same write is repeated until its effect is known.
            }
        }
    }

    private void learn(Account a, Row row) {
        try {
            a.grant = Grant.parseFrom(row.value());
            a.version = row.version();
            a.read = true;
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("row " + row.key() + " is not a grant", e);
        }
    }

    private void settle(Account a) {
        a.txn = null;
        a.fresh = false;
        a.nextTryMs = 0;
        a.sharedTokens = a.grant.getSharesList().stream()
                .filter(s -> s.getHost().equals(host.value()))
                .mapToLong(Share::getTokens)
                .sum();
        a.wantedTokens = 0;
    }
}
