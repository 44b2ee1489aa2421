package org.celerygw.cli;

import java.util.Optional;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Builds the argument parser: the groups of subcommands and their shared options. */
final class CommandLine {
    /** The key of the {@link Command} in the parsed arguments. */
    static final String COMMAND_KEY = "command";

    private static final String DEFAULT_SERVER = "127.0.0.1:8081";

    private CommandLine() {}

    static ArgumentParser newParser() {
        String tools = Tools.ALL.entrySet().stream()
                .map(tool -> "  " + tool.getKey() + ": " + tool.getValue().help())
                .collect(Collectors.joining("\n"));
        ArgumentParser parser = ArgumentParsers.newFor("celerygw")
                .build()
                .description("Operates and inspects celerygw daemons.")
                .epilog("Tools that do not use an operator connection; each has its own --help:\n" + tools);
        Subparsers groups = parser.addSubparsers().title("commands").metavar("COMMAND");
        ProgramCommands.add(groups);
        ConfigCommands.add(groups);
        ConfigEditCommands.add(groups);
        FleetCommands.add(groups);
        return parser;
    }

    /** Adds a group of subcommands, such as {@code program}. */
    static Subparsers addGroup(Subparsers groups, String name, String help) {
        return groups.addParser(name)
                .help(help)
                .description(help)
                .addSubparsers()
                .title("commands")
                .metavar("COMMAND");
    }

    /** Adds a subcommand that runs locally, without a connection to a daemon. */
    static Subparser addLocalCommand(Subparsers group, String name, String help, Command command) {
        return group.addParser(name).help(help).description(help).setDefault(COMMAND_KEY, command);
    }

    /** Adds a subcommand that sends requests to a daemon, with the options for the connection and the output. */
    static Subparser addDaemonCommand(Subparsers group, String name, String help, Command command) {
        Subparser parser = addLocalCommand(group, name, help, command);
        var shared = parser.addArgumentGroup("shared options");
        shared.addArgument("--server")
                .metavar("HOST:PORT")
                .setDefault(environment("CELERYGW_SERVER").orElse(DEFAULT_SERVER))
                .help("the operator port of any daemon (default: CELERYGW_SERVER, or " + DEFAULT_SERVER + ")");
        shared.addArgument("--key-file")
                .metavar("FILE")
                .setDefault(environment("CELERYGW_KEY_FILE").orElse(null))
                .help("a file that holds the operator key (default: CELERYGW_KEY_FILE)");
        shared.addArgument("--key").metavar("KEY").help("the operator key; other users of this machine may see it");
        shared.addArgument("--tls").action(storeTrue()).help("connect with TLS");
        shared.addArgument("--ca").metavar("FILE").help("trust the certificate authority in this PEM file");
        shared.addArgument("--json").action(storeTrue()).help("print JSON");
        return parser;
    }

    static net.sourceforge.argparse4j.inf.ArgumentAction storeTrue() {
        return net.sourceforge.argparse4j.impl.Arguments.storeTrue();
    }

    private static Optional<String> environment(String name) {
        return Optional.ofNullable(System.getenv(name)).filter(value -> !value.isEmpty());
    }
}
