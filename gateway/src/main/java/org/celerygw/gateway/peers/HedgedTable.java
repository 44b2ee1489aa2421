package org.celerygw.gateway.peers;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.celerygw.core.gen.peers.RelayedCall;
import org.celerygw.core.gen.peers.RelayedReply;
import org.celerygw.core.gen.store.ReadRequest;
import org.celerygw.core.gen.store.RowsReply;
import org.celerygw.core.gen.store.ScanRequest;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Scheduler;

/**
 * A partition that is called directly while the store answers this host, and otherwise through a peer. A call that is not
 * answered in time is hedged: a peer that the store answers quickly repeats it. The conditions of a transaction make the
 * repetition idempotent.
 */
final class HedgedTable implements Table {
    private static final long RELAY_DELAY_MS = 200;
    private static final long DIRECT_RETRY_DELAY_MS = 450;
    private static final int FAST_STORE_MS = 90;

    private final int partition;
    private final Table direct;
    private final StoreHealth health;
    private final Peers peers;
    private final Clock clock;
    private final Scheduler scheduler;

    HedgedTable(int partition, Table direct, StoreHealth health, Peers peers, Clock clock, Scheduler scheduler) {
        this.partition = partition;
        this.direct = direct;
        this.health = health;
        this.peers = peers;
        this.clock = clock;
        this.scheduler = scheduler;
    }

    /** Makes one attempt at a call: directly or through a peer. */
    @FunctionalInterface
    private interface Attempt<T> {
        void start(Consumer<Optional<T>> callback);
    }

    @Override
    public void write(Txn txn, Consumer<TxnResult> callback) {
        RelayedCall call = RelayedCall.newBuilder()
                .setPartition(partition)
                .setWrite(RowCodec.encodeTxn(txn))
                .build();
        Attempt<TxnResult> directAttempt = c -> direct.write(txn, r -> c.accept(definite(r)));
        Attempt<TxnResult> relayedAttempt =
                c -> peers.relay(call, r -> c.accept(definite(RowCodec.decodeResult(Relay.writeReply(r)))));
        new HedgedCall<>(directAttempt, relayedAttempt, r -> callback.accept(r.orElse(TxnResult.UNKNOWN))).start();
    }

    @Override
    public void read(List<String> keys, Consumer<ReadResult> callback) {
        RelayedCall call = RelayedCall.newBuilder()
                .setPartition(partition)
                .setRead(ReadRequest.newBuilder().addAllKeys(keys))
                .build();
        readRows(c -> direct.read(keys, a -> c.accept(definite(a))), call, callback);
    }

    @Override
    public void scan(String prefix, String afterKey, int limit, Consumer<ReadResult> callback) {
        RelayedCall call = RelayedCall.newBuilder()
                .setPartition(partition)
                .setScan(ScanRequest.newBuilder()
                        .setPrefix(prefix)
                        .setAfterKey(afterKey)
                        .setLimit(limit))
                .build();
        readRows(c -> direct.scan(prefix, afterKey, limit, a -> c.accept(definite(a))), call, callback);
    }

    private void readRows(Attempt<ReadResult> directAttempt, RelayedCall call, Consumer<ReadResult> callback) {
        Attempt<ReadResult> relayedAttempt = c -> peers.relay(
                call,
                r -> c.accept(r.filter(RelayedReply::hasRows)
                        .map(RelayedReply::getRows)
                        .filter(RowsReply::getComplete)
                        .map(rows -> new ReadResult(true, RowCodec.decodeRows(rows.getRowsList())))));
        new HedgedCall<>(directAttempt, relayedAttempt, a -> callback.accept(a.orElse(ReadResult.FAILED))).start();
    }

    /** Returns the result unless it is unknown whether the transaction took effect. */
    private static Optional<TxnResult> definite(TxnResult result) {
        return result.status() == TxnResult.Status.UNKNOWN ? Optional.empty() : Optional.of(result);
    }

    private static Optional<ReadResult> definite(ReadResult answer) {
        return answer.ok() ? Optional.of(answer) : Optional.empty();
    }

    /** One call with up to three attempts, two direct and one relayed; the first usable answer is the result. */
    private final class HedgedCall<T> {
        private final Attempt<T> directAttempt;
        private final Attempt<T> relayedAttempt;
        private final Consumer<Optional<T>> callback;
        private int attemptsInFlight;
        private boolean relayTried;
        private boolean finished;

        HedgedCall(Attempt<T> directAttempt, Attempt<T> relayedAttempt, Consumer<Optional<T>> callback) {
            this.directAttempt = directAttempt;
            this.relayedAttempt = relayedAttempt;
            this.callback = callback;
        }

        void start() {
            if (!health.isAnswering() && peers.canRelay()) {
                startRelay();
                return;
            }
            startDirect();
            scheduler.schedule(RELAY_DELAY_MS, () -> {
                if (!finished && peers.canRelayQuickly()) {
                    startRelay();
                }
            });
            scheduler.schedule(DIRECT_RETRY_DELAY_MS, () -> {
                // The store typically answers much faster, so a silence this long means a dead connection whose loss
                // was not detected.
                if (!finished && health.smoothedLatencyMs() < FAST_STORE_MS) {
                    startDirect();
                }
            });
        }

        private void startDirect() {
            long startedAtMs = clock.nowMs();
            attemptsInFlight++;
            directAttempt.start(answer -> {
                if (answer.isPresent()) {
                    health.recordAnswer(clock.nowMs() - startedAtMs);
                } else {
                    health.recordFailure();
                }
                attemptEnded(answer);
            });
        }

        private void startRelay() {
            if (!relayTried) {
                relayTried = true;
                attemptsInFlight++;
                relayedAttempt.start(this::attemptEnded);
            }
        }

        private void attemptEnded(Optional<T> answer) {
            attemptsInFlight--;
            if (finished) {
                return;
            }
            if (answer.isEmpty() && !relayTried && peers.canRelay()) {
                startRelay();
            } else if (answer.isPresent() || attemptsInFlight == 0) {
                finished = true;
                callback.accept(answer);
            }
        }
    }
}
