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
 * Prints the way of a request, or of all requests of a program, over all hosts in order of time, from their logs:
 * {@code celerygw explain ID [FILE...]}. Text before a line's JSON, for example a host's name, is kept.
 */
final class ExplainTool {
    private ExplainTool() {}

    /** One log line that speaks of the id. */
    private record Line(long atMs, String before, String message, String fields) {}

    static int run(List<String> args, PrintStream out) {
        if (args.isEmpty() || args.get(0).startsWith("-")) {
            throw new GatewayException(ErrorCode.INVALID_ARGUMENT, "usage: celerygw explain ID [FILE...]");
        }
        List<Line> lines = new ArrayList<>();
        if (args.size() == 1) {
            read(System.in, args.get(0), lines);
        }
        args.stream().skip(1).forEach(file -> {
            try (InputStream in = Files.newInputStream(Path.of(file))) {
                read(in, args.get(0), lines);
            } catch (IOException e) {
                throw new GatewayException(ErrorCode.NOT_FOUND, "cannot read " + file);
            }
        });
        lines.sort(Comparator.comparingLong(Line::atMs));
        long startMs = lines.isEmpty() ? 0 : lines.get(0).atMs();
        lines.forEach(l -> out.printf("%+6d ms  %s%s  %s%n", l.atMs() - startMs, l.before(), l.message(), l.fields()));
        if (lines.isEmpty()) {
            out.println("no line names " + args.get(0));
        }
        return lines.isEmpty() ? ErrorCode.NOT_FOUND.exitCode() : 0;
    }

    private static void read(InputStream in, String id, List<Line> lines) {
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8))) {
            for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                if (text.contains(id)) {
                    line(text, id).ifPresent(lines::add);
                }
            }
        } catch (IOException e) {
            throw new GatewayException(ErrorCode.NOT_FOUND, "a log cannot be read to its end");
        }
    }

    private static Optional<Line> line(String text, String id) {
        int brace = text.indexOf('{');
        if (brace < 0) {
            return Optional.empty();
        }
        try {
            JsonObject json = new JsonObject(text.substring(brace));
            JsonArray pairs = json.getJsonArray("kvpList", new JsonArray());
            boolean names = IntStream.range(0, pairs.size())
                    .mapToObj(pairs::getJsonObject)
                    .anyMatch(p -> id.equals(p.getValue("request")) || id.equals(p.getValue("program")));
            if (!names) {
                return Optional.empty();
            }
            String fields = IntStream.range(0, pairs.size())
                    .mapToObj(pairs::getJsonObject)
                    .flatMap(p -> p.getMap().entrySet().stream())
                    .map(ExplainTool::field)
                    .collect(Collectors.joining(" "));
            return Optional.of(new Line(
                    json.getLong("timestamp", 0L), text.substring(0, brace), json.getString("message", ""), fields));
        } catch (DecodeException | ClassCastException e) {
            // Not a line of ours.
            return Optional.empty();
        }
    }

    private static String field(Map.Entry<String, @Nullable Object> field) {
        return field.getKey() + "=" + field.getValue();
    }
}
