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

/** Prints results as JSON, or as tables and lines of text. */
final class Output {
    private static final String COLUMN_SEPARATOR = "  ";

    private final PrintStream out;
    private final boolean json;

    Output(PrintStream out, boolean json) {
        this.out = out;
        this.json = json;
    }

    /** Returns whether results are printed as JSON. */
    boolean isJson() {
        return json;
    }

    /** Prints a line of text in both formats. */
    void printLine(String text) {
        out.println(text);
    }

    /** Prints the message when the format is JSON, else the line of text. */
    void printResult(MessageOrBuilder message, String text) {
        out.println(json ? toJson(message) : text);
    }

    /** Prints the message when the format is JSON, else a table with one cell per column in each row. */
    void printTable(MessageOrBuilder message, List<String> header, List<List<String>> rows) {
        if (json) {
            out.println(toJson(message));
            return;
        }
        printTable(header, rows);
    }

    /** Prints a table with left-aligned columns, whatever the format. */
    void printTable(List<String> header, List<List<String>> rows) {
        List<List<String>> lines = new ArrayList<>();
        lines.add(header);
        lines.addAll(rows);
        int[] widths = IntStream.range(0, header.size())
                .map(i -> lines.stream()
                        .mapToInt(row -> row.get(i).length())
                        .max()
                        .orElse(0))
                .toArray();
        lines.forEach(row -> out.println(alignRow(row, widths)));
    }

    /** Returns the cells of a table row as text. */
    static List<String> row(Object... cells) {
        return Arrays.stream(cells).map(String::valueOf).toList();
    }

    /** Formats a time in epoch milliseconds as ISO 8601, or as a dash when it is 0. */
    static String formatTime(long epochMs) {
        return epochMs == 0 ? "-" : Instant.ofEpochMilli(epochMs).toString();
    }

    /** Returns the text, or a dash when it is empty. */
    static String orDash(String text) {
        return text.isEmpty() ? "-" : text;
    }

    /** Formats a message as JSON, including the fields that have their default value. */
    static String toJson(MessageOrBuilder message) {
        try {
            return JsonFormat.printer().alwaysPrintFieldsWithNoPresence().print(message);
        } catch (InvalidProtocolBufferException e) {
            throw new GatewayException(ErrorCode.INTERNAL, "a message cannot be formatted as JSON");
        }
    }

    private static String alignRow(List<String> row, int[] widths) {
        return IntStream.range(0, row.size())
                .mapToObj(i -> row.get(i) + " ".repeat(widths[i] - row.get(i).length()))
                .collect(Collectors.joining(COLUMN_SEPARATOR))
                .stripTrailing();
    }
}
