package org.celerygw.cli;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.jspecify.annotations.Nullable;

/**
 * {@code celerygw explain ID [FILE...]}: prints the log lines of a request, or of all requests of a program, from the
 * logs of all hosts in order of time. Reads standard input when no file is named. Text before the JSON of a line, such
 * as a host name, is printed unchanged.
 */
final class ExplainTool {
    private ExplainTool() {}

    /** A log line whose field {@code request} or {@code program} equals the id. */
    private record LogLine(long timestampMs, String prefix, String message, String fields) {}

    static int run(List<String> args, PrintStream out) {
        if (args.isEmpty() || args.get(0).startsWith("-")) {
            throw new GatewayException(ErrorCode.INVALID_ARGUMENT, "usage: celerygw explain ID [FILE...]");
        }
        List<LogLine> lines = new ArrayList<>();
        if (args.size() == 1) {
            readLines(System.in, args.get(0), lines);
        }
        args.stream().skip(1).forEach(file -> {
            try (InputStream in = Files.newInputStream(Path.of(file))) {
                readLines(in, args.get(0), lines);
            } catch (IOException e) {
                throw new GatewayException(ErrorCode.NOT_FOUND, "cannot read the log file " + file);
            }
        });
        lines.sort(Comparator.comparingLong(LogLine::timestampMs));
        long startMs = lines.isEmpty() ? 0 : lines.get(0).timestampMs();
        lines.forEach(
                l -> out.printf("%+6d ms  %s%s  %s%n", l.timestampMs() - startMs, l.prefix(), l.message(), l.fields()));
        if (lines.isEmpty()) {
            out.println("no log line mentions " + args.get(0));
        }
        return lines.isEmpty() ? ErrorCode.NOT_FOUND.exitCode() : 0;
    }

    private static void readLines(InputStream in, String id, List<LogLine> lines) {
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8))) {
            for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                if (text.contains(id)) {
                    parseLine(text, id).ifPresent(lines::add);
                }
            }
        } catch (IOException e) {
            throw new GatewayException(ErrorCode.NOT_FOUND, "reading a log failed before its end");
        }
    }

    private static Optional<LogLine> parseLine(String text, String id) {
        int brace = text.indexOf('{');
        if (brace < 0) {
            return Optional.empty();
        }
        try {
            JsonObject json = new JsonObject(text.substring(brace));
            JsonArray pairs = json.getJsonArray("kvpList", new JsonArray());
            boolean mentionsId = IntStream.range(0, pairs.size())
                    .mapToObj(pairs::getJsonObject)
                    .anyMatch(p -> id.equals(p.getValue("request")) || id.equals(p.getValue("program")));
            if (!mentionsId) {
                return Optional.empty();
            }
            String fields = IntStream.range(0, pairs.size())
                    .mapToObj(pairs::getJsonObject)
                    .flatMap(p -> p.getMap().entrySet().stream())
                    .map(ExplainTool::formatField)
                    .collect(Collectors.joining(" "));
            return Optional.of(new LogLine(
                    json.getLong("timestamp", 0L), text.substring(0, brace), json.getString("message", ""), fields));
        } catch (DecodeException | ClassCastException e) {
            // Not a log line of a daemon or gateway: skipped.
            return Optional.empty();
        }
    }

    private static String formatField(Map.Entry<String, @Nullable Object> entry) {
        return entry.getKey() + "=" + entry.getValue();
    }
}
