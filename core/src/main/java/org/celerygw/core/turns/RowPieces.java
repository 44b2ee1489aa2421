package org.celerygw.core.turns;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Txn;

/** Splits a value that may be larger than a row into numbered rows, and joins them again. */
final class RowPieces {
    private RowPieces() {}

    /** Returns the changes that write a value; each row has at most {@code rowBytes} bytes and the key of its number. */
    static List<Txn.Change> split(ByteString value, int rowBytes, IntFunction<String> keyOfNumber) {
        List<Txn.Change> rows = new ArrayList<>();
        for (int offset = 0; offset < value.size(); offset += rowBytes) {
            ByteString piece = value.substring(offset, Math.min(value.size(), offset + rowBytes));
            rows.add(Txn.Change.put(keyOfNumber.apply(rows.size()), piece));
        }
        return rows;
    }

    /** Returns the values of rows in the order of their keys, by the part of their keys before the number. */
    static Map<String, ByteString> join(List<Row> rows) {
        Map<String, ByteString> values = new TreeMap<>();
        rows.forEach(r -> values.merge(r.key().substring(0, r.key().lastIndexOf('/')), r.value(), ByteString::concat));
        return values;
    }
}
