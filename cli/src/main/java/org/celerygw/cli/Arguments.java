package org.celerygw.cli;

import java.util.Optional;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The command line's grammar: groups of subcommands, with the options that all of them share. */
final class Arguments {
    /** Where the parsed arguments hold the {@link Command}. */
    static final String COMMAND = "command";

    private static final String DEFAULT_SERVER = "127.0.0.1:8081";

    private Arguments() {}

    static ArgumentParser parser() {
        String tools = Tools.ALL.entrySet().stream()
                .map(tool -> "  " + tool.getKey() + ": " + tool.getValue().help())
                .collect(Collectors.joining("\n"));
        ArgumentParser parser = ArgumentParsers.newFor("celerygw")
                .build()
                .description("Drives and inspects celerygw daemons.")
                .epilog("Tools that need no daemon, each with its own --help:\n" + tools);
        Subparsers groups = parser.addSubparsers().title("commands").metavar("COMMAND");
        ProgramCommands.add(groups);
        ConfigCommands.add(groups);
        EditCommands.add(groups);
        FleetCommands.add(groups);
        return parser;
    }

    /** Adds a group such as {@code program}. */
    static Subparsers group(Subparsers groups, String name, String help) {
        return groups.addParser(name)
                .help(help)
                .description(help)
                .addSubparsers()
                .title("commands")
                .metavar("COMMAND");
    }

    /** Adds a subcommand that works on this machine only. */
    static Subparser local(Subparsers group, String name, String help, Command command) {
        return group.addParser(name).help(help).description(help).setDefault(COMMAND, command);
    }

    /** Adds a subcommand that asks a daemon. */
    static Subparser remote(Subparsers group, String name, String help, Command command) {
        Subparser parser = local(group, name, help, command);
        var shared = parser.addArgumentGroup("shared options");
        shared.addArgument("--server")
                .metavar("HOST:PORT")
                .setDefault(environment("CELERYGW_SERVER").orElse(DEFAULT_SERVER))
                .help("the operators' port of any daemon (CELERYGW_SERVER, or " + DEFAULT_SERVER + ")");
        shared.addArgument("--key-file")
                .metavar("FILE")
                .setDefault(environment("CELERYGW_KEY_FILE").orElse(null))
                .help("a file with your key (CELERYGW_KEY_FILE)");
        shared.addArgument("--key").metavar("KEY").help("your key; other users of this machine may see it");
        shared.addArgument("--tls").action(storeTrue()).help("use TLS");
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
