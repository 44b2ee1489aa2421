package org.celerygw.cli;

import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.celerygw.api.gen.operator.AcceptConfigReply;
import org.celerygw.api.gen.operator.AcceptConfigRequest;
import org.celerygw.api.gen.operator.ConfigHistoryReply;
import org.celerygw.api.gen.operator.ConfigHistoryRequest;
import org.celerygw.api.gen.operator.ConfigReply;
import org.celerygw.api.gen.operator.ConfigStatusReply;
import org.celerygw.api.gen.operator.ConfigStatusRequest;
import org.celerygw.api.gen.operator.GetConfigRequest;
import org.celerygw.api.gen.operator.OperatorGrpcClient;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.daemon.settings.Settings;

/** {@code celerygw config ...} and {@code celerygw settings example}. */
final class ConfigCommands {
    private ConfigCommands() {}

    static void add(Subparsers groups) {
        Subparsers group = CommandLine.addGroup(groups, "config", "read and change the configuration");
        addReadCommands(group);
        addChangeCommands(group);
        CommandLine.addLocalCommand(
                        group, "example", "print a commented settings file for celerygwd", ConfigCommands::example)
                .addArgument("--document")
                .action(CommandLine.storeTrue())
                .help("print an example for 'config apply' instead, as JSON");
        Subparsers settings = CommandLine.addGroup(groups, "settings", "the daemon's settings file");
        CommandLine.addLocalCommand(
                settings, "example", "print a commented settings file for celerygwd", ConfigCommands::example);
    }

    private static void addReadCommands(Subparsers group) {
        CommandLine.addDaemonCommand(
                        group, "get", "print a configuration as a document for 'apply'", ConfigCommands::get)
                .addArgument("--version")
                .type(Long.class)
                .setDefault(0L)
                .help("0 for the active version");
        Subparser diff =
                CommandLine.addDaemonCommand(group, "diff", "compare two configurations", ConfigCommands::diff);
        diff.addArgument("from").help("a version, or the file of a document");
        diff.addArgument("to")
                .nargs("?")
                .setDefault("0")
                .help("a version, or the file of a document; 0 for the active version");
        CommandLine.addDaemonCommand(group, "history", "list accepted versions", ConfigCommands::history)
                .addArgument("--limit")
                .type(Integer.class)
                .setDefault(20);
        CommandLine.addDaemonCommand(group, "status", "show the active version on each host", ConfigCommands::status);
    }

    private static void addChangeCommands(Subparsers group) {
        Subparser apply =
                CommandLine.addDaemonCommand(group, "apply", "propose a complete configuration", ConfigCommands::apply);
        apply.addArgument("file").help("the file of the document; - for standard input");
        addChangeOptions(apply).help("the version that the change is based on; default: the version in the document");
        Subparser restore = CommandLine.addDaemonCommand(
                group, "restore", "propose the content of an earlier version", ConfigCommands::restore);
        restore.addArgument("version").type(Long.class);
        addChangeOptions(restore).help("the version that the change is based on; default: the active version");
    }

    /**
     * Adds the options of a configuration change, {@code --reason} and {@code --seen}.
     *
     * @return the option {@code --seen}, whose default differs by command
     */
    static net.sourceforge.argparse4j.inf.Argument addChangeOptions(Subparser parser) {
        parser.addArgument("--reason").setDefault("").help("the reason, stored with the version");
        return parser.addArgument("--seen").metavar("VERSION").type(Long.class);
    }

    private static int get(Session session) {
        session.output().printLine(Output.toJson(fetchConfig(session, session.requiredNumber("version"))));
        return 0;
    }

    private static int diff(Session session) {
        List<String> changes = ConfigDiff.between(loadConfiguration(session, "from"), loadConfiguration(session, "to"));
        changes.forEach(session.output()::printLine);
        return 0;
    }

    private static Configuration loadConfiguration(Session session, String argument) {
        String versionOrFile = session.requiredText(argument);
        return versionOrFile.matches("\\d{1,18}")
                ? fetchConfig(session, Long.parseLong(versionOrFile)).getConfiguration()
                : ConfigDocument.parse(Session.readFile(versionOrFile)).getConfiguration();
    }

    private static int history(Session session) {
        ConfigHistoryReply reply = session.daemon()
                .call(
                        OperatorGrpcClient.ConfigHistory,
                        ConfigHistoryRequest.newBuilder()
                                .setLimit((int) session.requiredNumber("limit"))
                                .build());
        session.output()
                .printTable(
                        reply,
                        List.of("VERSION", "ACCEPTED", "BY", "REASON"),
                        reply.getVersionsList().stream()
                                .map(v -> Output.row(
                                        v.getVersion(),
                                        Output.formatTime(v.getAcceptedAtMs()),
                                        Output.orDash(v.getActor()),
                                        Output.orDash(v.getReason())))
                                .toList());
        return 0;
    }

    private static int status(Session session) {
        ConfigStatusReply reply =
                session.daemon().call(OperatorGrpcClient.ConfigStatus, ConfigStatusRequest.getDefaultInstance());
        session.output()
                .printTable(
                        reply,
                        List.of("HOST", "VERSION", "SINCE", "CONFIRMED"),
                        reply.getHostsList().stream()
                                .map(h -> Output.row(
                                        h.getHost(),
                                        h.getVersion(),
                                        Output.formatTime(h.getSinceMs()),
                                        h.getConfirmed() ? "yes" : "no"))
                                .toList());
        return 0;
    }

    private static int apply(Session session) {
        ConfigReply document = ConfigDocument.parse(Session.readFile(session.requiredText("file")));
        long seenVersion = session.optionalNumber("seen").orElse(document.getVersion());
        String reason = Optional.of(session.requiredText("reason"))
                .filter(r -> !r.isEmpty())
                .orElse(document.getReason());
        return propose(session, seenVersion, document.getConfiguration(), reason);
    }

    private static int restore(Session session) {
        long version = session.requiredNumber("version");
        long seenVersion = session.optionalNumber("seen")
                .orElseGet(() -> fetchConfig(session, 0).getVersion());
        String reason = session.requiredText("reason");
        return propose(
                session,
                seenVersion,
                fetchConfig(session, version).getConfiguration(),
                reason.isEmpty() ? "restore version " + version : reason);
    }

    /** Returns a version of the configuration from the daemon; 0 selects the active version. */
    static ConfigReply fetchConfig(Session session, long version) {
        return session.daemon()
                .call(
                        OperatorGrpcClient.GetConfig,
                        GetConfigRequest.newBuilder().setVersion(version).build());
    }

    /**
     * Proposes a configuration and prints the new version.
     *
     * @param seenVersion the version that the change is based on
     * @throws GatewayException with code CONFLICT when another version is active
     */
    static int propose(Session session, long seenVersion, Configuration content, String reason) {
        AcceptConfigReply reply = session.daemon()
                .call(
                        OperatorGrpcClient.AcceptConfig,
                        AcceptConfigRequest.newBuilder()
                                .setSeenVersion(seenVersion)
                                .setConfiguration(content)
                                .setReason(reason)
                                .build());
        return reportProposal(session, seenVersion, reply);
    }

    /**
     * Prints the version that a proposal created.
     *
     * @param seenVersion the version that the change was based on
     * @throws GatewayException with code CONFLICT when another version is active, so that the proposal was rejected
     */
    static int reportProposal(Session session, long seenVersion, AcceptConfigReply reply) {
        if (reply.getConflict()) {
            ConfigReply active = reply.getTheirs();
            long activeVersion = Math.max(reply.getVersion(), active.getVersion());
            String by = active.getActor().isEmpty() ? "" : " by " + active.getActor();
            throw new GatewayException(
                    ErrorCode.CONFLICT,
                    "the change is based on version " + seenVersion + ", but the active version is " + activeVersion
                            + by
                            + "; review 'celerygw config diff " + seenVersion + " " + activeVersion
                            + "' and propose the change again");
        }
        session.output().printResult(reply, "configuration version " + reply.getVersion() + " is accepted.");
        return 0;
    }

    private static int example(Session session) {
        session.output()
                .printLine(
                        session.flag("document")
                                ? Output.toJson(ConfigDocument.example())
                                : Settings.example().stripTrailing());
        return 0;
    }
}
