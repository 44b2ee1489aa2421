package org.celerygw.core.turns;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.celerygw.core.gen.turns.TurnRow;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Txn;
import org.jspecify.annotations.Nullable;

/** Encodes stored turns into rows and back; a turn larger than a row is split into several. */
final class TurnRowCodec {
    private TurnRowCodec() {}

    /** Returns the changes that write a turn and its index row; a row's value has at most {@code rowBytes} bytes. */
    static List<Txn.Change> encode(String program, String turnId, StoredTurn turn, int rowBytes) {
        ByteString value = TurnRow.newBuilder()
                .setParentProgram(turn.parentProgram())
                .setParentTurn(turn.parentTurn())
                .setInput(ByteString.copyFrom(turn.input()))
                .setOutput(ByteString.copyFrom(turn.output()))
                .setServer(turn.server())
                .setEndedMs(turn.endedMs())
                .setCustomer(turn.customer())
                .build()
                .toByteString();
        List<Txn.Change> changes =
                RowPieces.split(value, rowBytes, number -> ProgramRowKeys.turnRow(program, turnId, number));
        changes.add(Txn.Change.put(ProgramRowKeys.turnIndexRow(turnId), ByteString.copyFromUtf8(program)));
        return changes;
    }

    /** Returns the turns in a program's rows, by escaped id; turns that cannot be decoded are skipped. */
    static Map<String, StoredTurn> decode(String program, List<Row> rows) {
        String turnPrefix = ProgramRowKeys.programPrefix(program) + "t/";
        List<Row> turnRows =
                rows.stream().filter(r -> r.key().startsWith(turnPrefix)).toList();
        Map<String, StoredTurn> turns = new TreeMap<>();
        RowPieces.join(turnRows).forEach((key, value) -> {
            StoredTurn turn = parse(value);
            if (turn != null) {
                turns.put(key.substring(turnPrefix.length()), turn);
            }
        });
        return turns;
    }

    private static @Nullable StoredTurn parse(ByteString value) {
        try {
            TurnRow row = TurnRow.parseFrom(value);
            return new StoredTurn(
                    row.getParentProgram(),
                    row.getParentTurn(),
                    row.getInput().toByteArray(),
                    row.getOutput().toByteArray(),
                    row.getServer(),
                    row.getEndedMs(),
                    row.getCustomer());
        } catch (InvalidProtocolBufferException e) {
            return null;
        }
    }
}
