package org.celerygw.cli;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import java.io.PrintStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;

/** Prints a result as JSON, or as a readable table or line. */
final class Output {
    private static final String GAP = "  ";

    private final PrintStream out;
    private final boolean json;

    Output(PrintStream out, boolean json) {
        this.out = out;
        this.json = json;
    }

    /** Returns whether JSON was asked for. */
    boolean json() {
        return json;
    }

    /** Prints a line as it is. */
    void line(String text) {
        out.println(text);
    }

    /** Prints the message as JSON, or else the readable line. */
    void result(MessageOrBuilder message, String readable) {
        out.println(json ? toJson(message) : readable);
    }

    /** Prints the message as JSON, or else a table. */
    void table(MessageOrBuilder message, List<String> header, List<List<String>> rows) {
        if (json) {
            out.println(toJson(message));
            return;
        }
        table(header, rows);
    }

    /** Prints a table with aligned columns. */
    void table(List<String> header, List<List<String>> rows) {
        List<List<String>> all = new ArrayList<>();
        all.add(header);
        all.addAll(rows);
        int[] widths = IntStream.range(0, header.size())
                .map(i ->
                        all.stream().mapToInt(row -> row.get(i).length()).max().orElse(0))
                .toArray();
        all.forEach(row -> out.println(aligned(row, widths)));
    }

    /** Returns one row of a table. */
    static List<String> row(Object... cells) {
        return Arrays.stream(cells).map(String::valueOf).toList();
    }

    /** Returns a time for readers; a dash for 0. */
    static String time(long ms) {
        return ms == 0 ? "-" : Instant.ofEpochMilli(ms).toString();
    }

    /** Returns the text, or a dash when it is empty. */
    static String orDash(String text) {
        return text.isEmpty() ? "-" : text;
    }

    /** Returns a message as JSON, with fields that are zero or empty. */
    static String toJson(MessageOrBuilder message) {
        try {
            return JsonFormat.printer().alwaysPrintFieldsWithNoPresence().print(message);
        } catch (InvalidProtocolBufferException e) {
            throw new GatewayException(ErrorCode.INTERNAL, "a message cannot be shown as JSON");
        }
    }

    private static String aligned(List<String> row, int[] widths) {
        return IntStream.range(0, row.size())
                .mapToObj(i -> row.get(i) + " ".repeat(widths[i] - row.get(i).length()))
                .collect(Collectors.joining(GAP))
                .stripTrailing();
    }
}
