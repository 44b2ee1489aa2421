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
import org.celerygw.core.journal.RowKeys;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;
import org.jspecify.annotations.Nullable;

/**
 * The shares of the customers' token ceilings that are granted to this owner. A share is drawn in chunks by conditional
 * write to the customer's grant row. The sum of all shares and of the tokens spent by departed owners never exceeds the
 * ceiling that the drawing owner knows.
 */
public final class TokenGrants {
    private static final long RETRY_INTERVAL_MS = 100;

    private final HostId host;
    private final Table table;
    private final long chunkTokens;
    private final ToLongFunction<CustomerId> locallySpentTokens;
    private final Map<CustomerId, Account> accounts = new HashMap<>();

    /**
     * Creates an instance that has not drawn any tokens yet.
     *
     * @param host the host of this owner
     * @param table the table that contains the grant rows
     * @param chunkTokens the minimum number of tokens to draw at once, as far as the ceiling permits
     * @param locallySpentTokens returns the tokens that a customer has spent and reserved through this owner
     */
    public TokenGrants(HostId host, Table table, long chunkTokens, ToLongFunction<CustomerId> locallySpentTokens) {
        this.host = host;
        this.table = table;
        this.chunkTokens = chunkTokens;
        this.locallySpentTokens = locallySpentTokens;
    }

    /** The result of a request for tokens. */
    public enum GrantStatus {
        /** The call may spend its tokens. */
        GRANTED,
        /** The answer is not known until a larger share has been drawn; repeat the request later. */
        WAIT,
        /** The rest of the customer's ceiling is too small for the call. */
        EXHAUSTED
    }

    /**
     * The state for one customer: its grant row as last read or written, and the changes to be written to it. The row
     * is fresh from a read until the next write.
     */
    private static final class Account {
        private long ceilingTokens = Long.MAX_VALUE;
        private long shareTokens;
        private long rowVersion;
        private Grant grant = Grant.getDefaultInstance();
        private long lastDrawNumber;
        private boolean rowLoaded;
        private boolean rowFresh;
        private boolean storeCallInFlight;
        private boolean exhausted;
        private long wantedTokens;
        private final Map<String, Long> departedSpentTokens = new HashMap<>();
        private long nextAttemptAtMs;
        private @Nullable Txn pendingTxn;
        private Grant pendingGrant = Grant.getDefaultInstance();
    }

    /**
     * Sets the token ceiling of a customer.
     *
     * @param customer the customer to which the ceiling applies
     * @param ceilingTokens the maximum number of tokens; {@code Long.MAX_VALUE} for no limit
     */
    public void setCeiling(CustomerId customer, long ceilingTokens) {
        Check.notNegative(ceilingTokens, "ceilingTokens");
        Account account = account(customer);
        account.exhausted = account.exhausted && ceilingTokens <= account.ceilingTokens;
        account.ceilingTokens = ceilingTokens;
    }

    private Account account(CustomerId customer) {
        return accounts.computeIfAbsent(customer, c -> new Account());
    }

    /**
     * Checks whether a customer may spend more tokens through this owner. When the share is too small, the missing
     * tokens are drawn by the next {@link #tick}.
     *
     * @param customer the customer that makes the call
     * @param tokens the number of tokens that the call reserves
     * @return whether the call may spend them
     */
    public GrantStatus requestTokens(CustomerId customer, long tokens) {
        Account account = account(customer);
        if (account.ceilingTokens == Long.MAX_VALUE || tokens == 0) {
            return GrantStatus.GRANTED;
        }
        long missingTokens = locallySpentTokens.applyAsLong(customer) + tokens - account.shareTokens;
        if (missingTokens <= 0) {
            return GrantStatus.GRANTED;
        }
        if (account.exhausted) {
            account.exhausted = false;
            return GrantStatus.EXHAUSTED;
        }
        account.wantedTokens = missingTokens;
        return GrantStatus.WAIT;
    }

    /**
     * Starts the store calls that are due to draw tokens and to close the shares of departed owners.
     *
     * @param nowMs the current time, in milliseconds since 1970
     */
    public void tick(long nowMs) {
        accounts.forEach((customer, account) -> advance(customer, account, nowMs));
    }

    private void advance(CustomerId customer, Account account, long nowMs) {
        if (account.storeCallInFlight
                || nowMs < account.nextAttemptAtMs
                || (account.pendingTxn == null && account.wantedTokens == 0 && account.departedSpentTokens.isEmpty())) {
            return;
        }
        account.storeCallInFlight = true;
        account.nextAttemptAtMs = nowMs + RETRY_INTERVAL_MS;
        if (!account.rowLoaded) {
            table.read(List.of(RowKeys.grant(customer)), readResult -> {
                account.storeCallInFlight = false;
                if (readResult.ok()) {
                    loadRow(account, readResult.rows().get(0));
                    account.rowFresh = true;
                    account.nextAttemptAtMs = 0;
                }
            });
            return;
        }
        Txn txn = account.pendingTxn;
        if (txn == null && !account.departedSpentTokens.isEmpty()) {
            txn = buildReturnTxn(customer, account);
            if (txn == null) {
                account.storeCallInFlight = false;
                account.nextAttemptAtMs = 0;
                return;
            }
        }
        if (txn == null) {
            txn = buildDrawTxn(customer, account);
        }
        if (txn == null) {
            account.storeCallInFlight = false;
            account.rowLoaded = false;
            account.nextAttemptAtMs = 0;
            // Another owner may have returned its share since the row was read, so only a fresh row proves exhaustion.
            account.exhausted = account.rowFresh;
            account.wantedTokens = account.rowFresh ? 0 : account.wantedTokens;
            return;
        }
        account.pendingTxn = txn;
        table.write(txn, result -> writeCompleted(account, result));
    }

    /**
     * Returns the tokens that a departed owner did not spend: in the grant rows its shares are replaced by the tokens
     * that it spent.
     *
     * @param departed the owner whose journal is sealed or, when it leaves, this owner
     * @param tallies the tokens that the owner spent
     */
    public void returnUnspent(HostId departed, CustomerTallies tallies) {
        accounts.forEach((customer, account) -> {
            if (account.ceilingTokens != Long.MAX_VALUE) {
                account.departedSpentTokens.put(departed.value(), tallies.tokensOf(customer));
            }
        });
    }

    private @Nullable Txn buildReturnTxn(CustomerId customer, Account account) {
        List<String> hostsToClose = account.grant.getSharesList().stream()
                .map(Share::getHost)
                .filter(account.departedSpentTokens::containsKey)
                .toList();
        if (hostsToClose.isEmpty()) {
            // If the share is absent from a fresh row, another host has already closed it.
            if (account.rowFresh) {
                account.departedSpentTokens.clear();
            }
            account.rowLoaded = account.rowFresh;
            return null;
        }
        Grant.Builder updated = account.grant.toBuilder().clearShares();
        account.grant.getSharesList().stream()
                .filter(s -> !hostsToClose.contains(s.getHost()))
                .forEach(updated::addShares);
        long spentTokens = hostsToClose.stream()
                .mapToLong(account.departedSpentTokens::get)
                .sum();
        updated.setSpentTokens(account.grant.getSpentTokens() + spentTokens);
        return buildTxn(customer, account, updated.build());
    }

    private static Txn buildTxn(CustomerId customer, Account account, Grant updated) {
        account.pendingGrant = updated;
        String key = RowKeys.grant(customer);
        return new Txn(
                List.of(new Txn.Condition(key, account.rowVersion)),
                List.of(Txn.Change.put(key, updated.toByteString())));
    }

    private @Nullable Txn buildDrawTxn(CustomerId customer, Account account) {
        long allocatedTokens = account.grant.getSpentTokens()
                + account.grant.getSharesList().stream()
                        .mapToLong(Share::getTokens)
                        .sum();
        long availableTokens = account.ceilingTokens - allocatedTokens;
        if (availableTokens < account.wantedTokens) {
            return null;
        }
        long additionalTokens = Math.min(availableTokens, Math.max(account.wantedTokens, chunkTokens));
        account.lastDrawNumber++;
        Grant.Builder updated = account.grant.toBuilder().clearShares();
        account.grant.getSharesList().stream()
                .filter(s -> !s.getHost().equals(host.value()))
                .forEach(updated::addShares);
        updated.addShares(Share.newBuilder()
                .setHost(host.value())
                .setTokens(account.shareTokens + additionalTokens)
                .setDrawNumber(account.lastDrawNumber));
        return buildTxn(customer, account, updated.build());
    }

    private void writeCompleted(Account account, TxnResult result) {
        account.storeCallInFlight = false;
        switch (result.status()) {
            case COMMITTED -> {
                account.rowVersion++;
                account.grant = account.pendingGrant;
                writeResolved(account);
            }
            case CONFLICT -> {
                loadRow(account, result.currentRows().get(0));
                writeResolved(account);
            }
            case UNKNOWN -> {
                // The identical write is repeated until its outcome is known.
            }
        }
    }

    private void loadRow(Account account, Row row) {
        try {
            account.grant = Grant.parseFrom(row.value());
            account.rowVersion = row.version();
            account.rowLoaded = true;
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("row " + row.key() + " does not contain a valid grant", e);
        }
    }

    private void writeResolved(Account account) {
        account.pendingTxn = null;
        account.rowFresh = false;
        account.nextAttemptAtMs = 0;
        account.shareTokens = account.grant.getSharesList().stream()
                .filter(s -> s.getHost().equals(host.value()))
                .mapToLong(Share::getTokens)
                .sum();
        account.wantedTokens = 0;
    }
}
