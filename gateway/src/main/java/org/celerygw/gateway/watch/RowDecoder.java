package org.celerygw.gateway.watch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.celerygw.core.store.Row;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decodes the rows of one table, each on its own. Whatever the decoding of a row throws, the row counts as one that holds
 * nothing, and one line is logged for each of its versions. Not thread-safe.
 *
 * @param <T> what a row holds
 */
public final class RowDecoder<T> {
    private static final Logger LOG = LoggerFactory.getLogger("host");
    private static final int MAX_REMEMBERED_ROWS = 1_000;

    private final String table;
    private final String message;
    private final Function<Row, Optional<T>> decoder;
    /** The versions already logged, by key; the oldest are forgotten first. */
    private final Map<String, Long> loggedVersions = new LinkedHashMap<>();

    /**
     * Creates a decoder.
     *
     * @param table the table's name, for the log
     * @param message the log line for a row that cannot be decoded
     * @param decoder decodes a row that exists; may throw
     */
    public RowDecoder(String table, String message, Function<Row, Optional<T>> decoder) {
        this.table = table;
        this.message = message;
        this.decoder = decoder;
    }

    /**
     * Decodes a row.
     *
     * @param row the row
     * @return what it holds; empty if it does not exist, holds nothing of interest or cannot be decoded
     */
    public Optional<T> decode(Row row) {
        if (!row.exists()) {
            return Optional.empty();
        }
        try {
            return decoder.apply(row);
        } catch (RuntimeException | Error e) {
            // A StackOverflowError or an OutOfMemoryError, too, may come of the row alone.
            logOnce(row, e);
            return Optional.empty();
        }
    }

    private void logOnce(Row row, Throwable cause) {
        Long logged = loggedVersions.remove(row.key());
        loggedVersions.put(row.key(), row.version());
        if (loggedVersions.size() > MAX_REMEMBERED_ROWS) {
            loggedVersions.remove(loggedVersions.keySet().iterator().next());
        }
        if (logged == null || logged != row.version()) {
            LOG.atError()
                    .addKeyValue("table", table)
                    .addKeyValue("key", row.key())
                    .addKeyValue("rowVersion", row.version())
                    .addKeyValue("bytes", row.value().size())
                    .addKeyValue("cause", cause.toString())
                    .log(message);
        }
    }
}
