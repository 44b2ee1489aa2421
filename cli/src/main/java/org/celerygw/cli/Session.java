package org.celerygw.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.helper.Check;
import org.jspecify.annotations.Nullable;

/** One run of a subcommand: its arguments, its output, and the connection, opened at first use. */
final class Session implements AutoCloseable {
    private final Namespace arguments;
    private final Output output;
    private @Nullable Connection connection;

    Session(Namespace arguments, Output output) {
        this.arguments = arguments;
        this.output = output;
    }

    /** Returns where results are printed. */
    Output output() {
        return output;
    }

    /** Returns the connection to the daemon. */
    Connection daemon() {
        if (connection == null) {
            connection = new Connection(
                    text("server"), key(), flag("tls"), optional("ca").orElse(null));
        }
        return connection;
    }

    /** Returns a mandatory argument. */
    String text(String name) {
        return optional(name).orElseThrow(() -> new GatewayException(ErrorCode.INVALID_ARGUMENT, name + " is missing"));
    }

    /** Returns an argument that may be absent. */
    Optional<String> optional(String name) {
        return Optional.ofNullable(arguments.getString(name));
    }

    /** Returns a whole number; the parser has checked it. */
    long number(String name) {
        return ((Number) arguments.get(name)).longValue();
    }

    /** Returns a whole number that may be absent. */
    Optional<Long> optionalNumber(String name) {
        return Optional.ofNullable((Number) arguments.get(name)).map(Number::longValue);
    }

    /** Returns whether a switch was given. */
    boolean flag(String name) {
        return Boolean.TRUE.equals(arguments.getBoolean(name));
    }

    /** Reads a file named on the command line; {@code -} stands for the standard input. */
    static String read(String file) {
        try {
            return file.equals("-")
                    ? new String(System.in.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8)
                    : Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new GatewayException(ErrorCode.INVALID_ARGUMENT, "the file " + file + " cannot be read");
        }
    }

    @Override
    public void close() {
        if (connection != null) {
            connection.close();
        }
    }

    private String key() {
        Optional<String> file = optional("key_file");
        String key = file.map(Session::read)
                .orElseGet(() -> optional("key").orElse(""))
                .strip();
        Check.that(!key.isEmpty(), "a key is needed: --key-file FILE, --key KEY or CELERYGW_KEY_FILE");
        return key;
    }
}
