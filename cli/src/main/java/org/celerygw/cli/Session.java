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

/** The context of one subcommand run: the arguments, the output and a connection that is created at first use. */
final class Session implements AutoCloseable {
    private final Namespace arguments;
    private final Output output;
    private @Nullable DaemonConnection connection;

    Session(Namespace arguments, Output output) {
        this.arguments = arguments;
        this.output = output;
    }

    /** Returns the output for results. */
    Output output() {
        return output;
    }

    /**
     * Returns the connection to the daemon named by {@code --server}.
     *
     * @throws GatewayException with code INVALID_ARGUMENT when the operator key or the address is missing or invalid
     */
    DaemonConnection daemon() {
        if (connection == null) {
            connection = new DaemonConnection(
                    requiredText("server"),
                    operatorKey(),
                    flag("tls"),
                    optionalText("ca").orElse(null));
        }
        return connection;
    }

    /** Returns an argument; throws INVALID_ARGUMENT when it is absent. */
    String requiredText(String name) {
        return optionalText(name)
                .orElseThrow(() -> new GatewayException(ErrorCode.INVALID_ARGUMENT, name + " is required"));
    }

    /** Returns an argument that may be absent. */
    Optional<String> optionalText(String name) {
        return Optional.ofNullable(arguments.getString(name));
    }

    /** Returns an integer argument; the parser has validated it and it must be present. */
    long requiredNumber(String name) {
        return ((Number) arguments.get(name)).longValue();
    }

    /** Returns an integer argument that may be absent. */
    Optional<Long> optionalNumber(String name) {
        return Optional.ofNullable((Number) arguments.get(name)).map(Number::longValue);
    }

    /** Returns whether a flag was set on the command line. */
    boolean flag(String name) {
        return Boolean.TRUE.equals(arguments.getBoolean(name));
    }

    /** Reads a file named on the command line; {@code -} selects standard input. */
    static String readFile(String file) {
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

    private String operatorKey() {
        Optional<String> file = optionalText("key_file");
        String key = file.map(Session::readFile)
                .orElseGet(() -> optionalText("key").orElse(""))
                .strip();
        Check.that(!key.isEmpty(), "an operator key is required: --key-file FILE, --key KEY or CELERYGW_KEY_FILE");
        return key;
    }
}
