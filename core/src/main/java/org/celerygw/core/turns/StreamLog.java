package org.celerygw.core.turns;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.celerygw.core.gen.turns.AttemptLog;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;

/**
 * The write-ahead log of streams that are kept and can be resumed: holds what each client attempt was given of a stream,
 * so that any host can go on with it and keep the whole of it. Rows are only ever inserted, beside the program's row and
 * independent of its version. They are removed with the program. Must be called on the event loop of its program store.
 *
 * <p>A log is a prefix of what its attempt was given if each part is written before its events are passed on and before
 * the next part is.
 */
public final class StreamLog {
    /** The largest part that a transaction can hold, in bytes of encoded events. */
    public static final int MAX_PART_BYTES = 400_000;

    private final ProgramStore programStore;
    private final int rowBytes;

    StreamLog(ProgramStore programStore, int rowBytes) {
        this.programStore = programStore;
        this.rowBytes = rowBytes;
    }

    /**
     * Identifies the log of one client attempt. An ordinal belongs to the attempt that writes its first row; another one that
     * has read the same earlier attempts cannot write to it.
     *
     * @param program the id of the program that the stream is stored under
     * @param stream the id of the attempt that brought the stream's first event
     * @param ordinal 0 for the attempt that begins the stream; see {@link ReceivedStream#attempts}
     */
    public record AttemptKey(String program, String stream, int ordinal) {
        private String row(int number) {
            return ProgramRowKeys.streamRow(
                    ProgramRowKeys.safeId(program), ProgramRowKeys.safeId(stream), ordinal, number);
        }
    }

    /**
     * Inserts one part of an attempt's log; retries until the deadline while the store is unavailable.
     *
     * @param attempt the log
     * @param firstRow the number of rows that the attempt's log has so far
     * @param part the part; at most {@value #MAX_PART_BYTES} bytes
     * @param deadlineMs when to stop retrying, in ms since 1970-01-01 UTC
     * @param callback called once: with {@link UpdateResult#COMMITTED} when the part is stored
     * @return the number of rows that the log has with this part
     */
    public int append(
            AttemptKey attempt, int firstRow, AttemptLog part, long deadlineMs, Consumer<UpdateResult> callback) {
        List<Txn.Change> rows =
                RowPieces.split(part.toByteString(), rowBytes, number -> attempt.row(firstRow + number));
        insert(programStore.cachedProgram(attempt.program()), rows, deadlineMs, callback);
        return firstRow + rows.size();
    }

    private void insert(
            CachedProgram program, List<Txn.Change> rows, long deadlineMs, Consumer<UpdateResult> callback) {
        Txn.Change first = rows.get(0);
        Txn txn = new Txn(List.of(new Txn.Condition(first.key(), 0)), rows);
        program.table.write(txn, result -> {
            boolean known = result.status() != TxnResult.Status.UNKNOWN;
            programStore.recordCall(program, known);
            if (known) {
                // The row exists after a conflict: written by an earlier try whose response was lost, or by another
                // attempt that resumes the stream.
                boolean stored = result.status() == TxnResult.Status.COMMITTED
                        || result.currentRows().stream().anyMatch(r -> r.value().equals(first.value()));
                callback.accept(stored ? UpdateResult.COMMITTED : UpdateResult.UNAVAILABLE);
            } else if (!programStore.retryBefore(
                    deadlineMs, program, () -> insert(program, rows, deadlineMs, callback))) {
                callback.accept(UpdateResult.UNAVAILABLE);
            }
        });
    }

    /**
     * Reads what a client has received of a stream; retries until the deadline while the store is unavailable.
     *
     * @param program the id of the program that the stream is stored under
     * @param stream the id of the attempt that brought the stream's first event
     * @param lastEventId the id of the last event that the client has received
     * @param deadlineMs when to stop retrying, in ms since 1970-01-01 UTC
     * @param callback called once with the result
     */
    public void read(
            String program, String stream, long lastEventId, long deadlineMs, Consumer<ReceivedStream> callback) {
        CachedProgram cached = programStore.cachedProgram(program);
        String prefix = ProgramRowKeys.streamPrefix(cached.safeId, ProgramRowKeys.safeId(stream));
        programStore.scanAll(cached, prefix, result -> {
            if (result.ok()) {
                callback.accept(decode(result.rows(), lastEventId));
            } else if (!programStore.retryBefore(
                    deadlineMs, cached, () -> read(program, stream, lastEventId, deadlineMs, callback))) {
                callback.accept(ReceivedStream.UNAVAILABLE);
            }
        });
    }

    private static ReceivedStream decode(List<Row> rows, long lastEventId) {
        List<AttemptLog> attempts = new ArrayList<>();
        try {
            // Sorted by the ordinals in the keys.
            for (ByteString value : RowPieces.join(rows).values()) {
                attempts.add(AttemptLog.parseFrom(value));
            }
        } catch (InvalidProtocolBufferException e) {
            return ReceivedStream.UNKNOWN;
        }
        return ReceivedStream.of(attempts, lastEventId);
    }
}
