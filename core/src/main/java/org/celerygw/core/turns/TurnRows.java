package org.celerygw.core.turns;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.celerygw.core.gen.turns.TurnRow;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Txn;
import org.jspecify.annotations.Nullable;

/** Turns kept as rows, cut into pieces that fit a row. */
final class TurnRows {
    private TurnRows() {}

    static List<Txn.Change> write(String program, String turn, KeptTurn kept, int rowBytes) {
        ByteString value = TurnRow.newBuilder()
                .setParentProgram(kept.parentProgram())
                .setParentTurn(kept.parentTurn())
                .setInput(ByteString.copyFrom(kept.input()))
                .setOutput(ByteString.copyFrom(kept.output()))
                .setServer(kept.server())
                .setEndedMs(kept.endedMs())
                .build()
                .toByteString();
        List<Txn.Change> changes = new ArrayList<>();
        int piece = 0;
        for (int from = 0; from < value.size(); from += rowBytes) {
            ByteString part = value.substring(from, Math.min(value.size(), from + rowBytes));
            changes.add(Txn.Change.put(Keys.turn(program, turn, piece++), part));
        }
        changes.add(Txn.Change.put(Keys.index(turn), ByteString.copyFromUtf8(program)));
        return changes;
    }

    /** Returns the turns among a program's rows, by id; one that cannot be read is left out. */
    static Map<String, KeptTurn> read(String program, List<Row> rows) {
        String start = Keys.rows(program) + "t/";
        Map<String, ByteString> joined = new TreeMap<>();
        rows.stream().filter(r -> r.key().startsWith(start)).forEach(r -> {
            String turn = r.key().substring(start.length(), r.key().lastIndexOf('/'));
            joined.merge(turn, r.value(), ByteString::concat);
        });
        Map<String, KeptTurn> turns = new TreeMap<>();
        joined.forEach((turn, value) -> {
            KeptTurn kept = parse(value);
            if (kept != null) {
                turns.put(turn, kept);
            }
        });
        return turns;
    }

    private static @Nullable KeptTurn parse(ByteString value) {
        try {
            TurnRow row = TurnRow.parseFrom(value);
            return new KeptTurn(
                    row.getParentProgram(),
                    row.getParentTurn(),
                    row.getInput().toByteArray(),
                    row.getOutput().toByteArray(),
                    row.getServer(),
                    row.getEndedMs());
        } catch (InvalidProtocolBufferException e) {
            return null;
        }
    }
}
