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
 * A partition reached directly while the store answers this host, else by a peer. A call that has no answer for long is
 * made a second time by a peer that the store answers quickly; conditions make that harmless.
 */
final class PathTable implements Table {
    private static final long SECOND_TRY_MS = 200;
    private static final long THIRD_TRY_MS = 450;
    private static final int QUICK_STORE_MS = 90;

    private final int partition;
    private final Table direct;
    private final StoreHealth health;
    private final Peers peers;
    private final Clock clock;
    private final Scheduler scheduler;

    PathTable(int partition, Table direct, StoreHealth health, Peers peers, Clock clock, Scheduler scheduler) {
        this.partition = partition;
        this.direct = direct;
        this.health = health;
        this.peers = peers;
        this.clock = clock;
        this.scheduler = scheduler;
    }

    /** Makes a call on one way. */
    @FunctionalInterface
    private interface Way<T> {
        void call(Consumer<Optional<T>> done);
    }

    @Override
    public void write(Txn txn, Consumer<TxnResult> done) {
        RelayedCall call = RelayedCall.newBuilder()
                .setPartition(partition)
                .setWrite(RowCodec.request(txn))
                .build();
        Way<TxnResult> straight = d -> direct.write(txn, r -> d.accept(known(r)));
        Way<TxnResult> relayed = d -> peers.relay(call, r -> d.accept(known(RowCodec.result(Relay.written(r)))));
        new Race<>(straight, relayed, r -> done.accept(r.orElse(TxnResult.UNKNOWN))).start();
    }

    @Override
    public void read(List<String> keys, Consumer<Answer> done) {
        RelayedCall call = RelayedCall.newBuilder()
                .setPartition(partition)
                .setRead(ReadRequest.newBuilder().addAllKeys(keys))
                .build();
        rows(d -> direct.read(keys, a -> d.accept(known(a))), call, done);
    }

    @Override
    public void scan(String prefix, String afterKey, int limit, Consumer<Answer> done) {
        RelayedCall call = RelayedCall.newBuilder()
                .setPartition(partition)
                .setScan(ScanRequest.newBuilder()
                        .setPrefix(prefix)
                        .setAfterKey(afterKey)
                        .setLimit(limit))
                .build();
        rows(d -> direct.scan(prefix, afterKey, limit, a -> d.accept(known(a))), call, done);
    }

    private void rows(Way<Answer> straight, RelayedCall call, Consumer<Answer> done) {
        Way<Answer> relayed = d -> peers.relay(
                call,
                r -> d.accept(r.filter(RelayedReply::hasRows)
                        .map(RelayedReply::getRows)
                        .filter(RowsReply::getComplete)
                        .map(rows -> new Answer(true, RowCodec.rows(rows.getRowsList())))));
        new Race<>(straight, relayed, a -> done.accept(a.orElse(Answer.FAILED))).start();
    }

    private static Optional<TxnResult> known(TxnResult result) {
        return result.status() == TxnResult.Status.UNKNOWN ? Optional.empty() : Optional.of(result);
    }

    private static Optional<Answer> known(Answer answer) {
        return answer.ok() ? Optional.of(answer) : Optional.empty();
    }

    /** Up to two calls for the same thing; the first answer counts. */
    private final class Race<T> {
        private final Way<T> straight;
        private final Way<T> relayed;
        private final Consumer<Optional<T>> done;
        private int open;
        private boolean relayTried;
        private boolean over;

        Race(Way<T> straight, Way<T> relayed, Consumer<Optional<T>> done) {
            this.straight = straight;
            this.relayed = relayed;
            this.done = done;
        }

        void start() {
            if (!health.answers() && peers.canRelay()) {
                relay();
                return;
            }
            direct();
            scheduler.after(SECOND_TRY_MS, () -> {
                if (!over && peers.canRelayQuickly()) {
                    relay();
                }
            });
            scheduler.after(THIRD_TRY_MS, () -> {
                // Where the store is usually quick, so long a silence means a connection that died unseen.
                if (!over && health.usualMs() < QUICK_STORE_MS) {
                    direct();
                }
            });
        }

        private void direct() {
            long sinceMs = clock.nowMs();
            open++;
            straight.call(answer -> {
                if (answer.isPresent()) {
                    health.answered(clock.nowMs() - sinceMs);
                } else {
                    health.failed();
                }
                end(answer);
            });
        }

        private void relay() {
            if (!relayTried) {
                relayTried = true;
                open++;
                relayed.call(this::end);
            }
        }

        private void end(Optional<T> answer) {
            open--;
            if (over) {
                return;
            }
            if (answer.isEmpty() && !relayTried && peers.canRelay()) {
                relay();
            } else if (answer.isPresent() || open == 0) {
                over = true;
                done.accept(answer);
            }
        }
    }
}
