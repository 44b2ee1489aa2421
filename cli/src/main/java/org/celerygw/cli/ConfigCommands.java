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
        Subparsers group = Arguments.group(groups, "config", "read and change the configuration");
        addReads(group);
        addChanges(group);
        Arguments.local(group, "example", "print a commented settings file for celerygwd", ConfigCommands::example)
                .addArgument("--document")
                .action(Arguments.storeTrue())
                .help("print an example for 'config apply' instead, as JSON");
        Subparsers settings = Arguments.group(groups, "settings", "the daemon's settings file");
        Arguments.local(settings, "example", "print a commented settings file for celerygwd", ConfigCommands::example);
    }

    private static void addReads(Subparsers group) {
        Arguments.remote(group, "get", "print a configuration as the document that 'apply' takes", ConfigCommands::get)
                .addArgument("--version")
                .type(Long.class)
                .setDefault(0L)
                .help("0 for the one in force");
        Subparser diff = Arguments.remote(group, "diff", "compare two configurations", ConfigCommands::diff);
        diff.addArgument("from").help("a version, or a document's file");
        diff.addArgument("to")
                .nargs("?")
                .setDefault("0")
                .help("a version, or a document's file; 0 for the one in force");
        Arguments.remote(group, "history", "list accepted versions", ConfigCommands::history)
                .addArgument("--limit")
                .type(Integer.class)
                .setDefault(20);
        Arguments.remote(group, "status", "show the version in force on each host", ConfigCommands::status);
    }

    private static void addChanges(Subparsers group) {
        Subparser apply = Arguments.remote(group, "apply", "propose a whole configuration", ConfigCommands::apply);
        apply.addArgument("file").help("the document; - for the standard input");
        addSeen(apply).help("the version that you saw; the document's own version by default");
        Subparser restore =
                Arguments.remote(group, "restore", "propose an earlier version's content", ConfigCommands::restore);
        restore.addArgument("version").type(Long.class);
        addSeen(restore).help("the version that you saw; the one in force by default");
    }

    /** Adds the options that every change of the configuration takes. */
    static net.sourceforge.argparse4j.inf.Argument addSeen(Subparser parser) {
        parser.addArgument("--reason").setDefault("").help("why, for the record");
        return parser.addArgument("--seen").metavar("VERSION").type(Long.class);
    }

    private static int get(Session session) {
        session.output().line(Output.toJson(fetch(session, session.number("version"))));
        return 0;
    }

    private static int diff(Session session) {
        List<String> changes = Difference.between(side(session, "from"), side(session, "to"));
        changes.forEach(session.output()::line);
        return 0;
    }

    private static Configuration side(Session session, String name) {
        String text = session.text(name);
        return text.matches("\\d{1,18}")
                ? fetch(session, Long.parseLong(text)).getConfiguration()
                : Document.parse(Session.read(text)).getConfiguration();
    }

    private static int history(Session session) {
        ConfigHistoryReply reply = session.daemon()
                .call(
                        OperatorGrpcClient.ConfigHistory,
                        ConfigHistoryRequest.newBuilder()
                                .setLimit((int) session.number("limit"))
                                .build());
        session.output()
                .table(
                        reply,
                        List.of("VERSION", "ACCEPTED", "BY", "REASON"),
                        reply.getVersionsList().stream()
                                .map(v -> Output.row(
                                        v.getVersion(),
                                        Output.time(v.getAcceptedAtMs()),
                                        Output.orDash(v.getActor()),
                                        Output.orDash(v.getReason())))
                                .toList());
        return 0;
    }

    private static int status(Session session) {
        ConfigStatusReply reply =
                session.daemon().call(OperatorGrpcClient.ConfigStatus, ConfigStatusRequest.getDefaultInstance());
        session.output()
                .table(
                        reply,
                        List.of("HOST", "VERSION", "SINCE", "CONFIRMED"),
                        reply.getHostsList().stream()
                                .map(h -> Output.row(
                                        h.getHost(),
                                        h.getVersion(),
                                        Output.time(h.getSinceMs()),
                                        h.getConfirmed() ? "yes" : "no"))
                                .toList());
        return 0;
    }

    private static int apply(Session session) {
        ConfigReply document = Document.parse(Session.read(session.text("file")));
        long seen = session.optionalNumber("seen").orElse(document.getVersion());
        String reason =
                Optional.of(session.text("reason")).filter(r -> !r.isEmpty()).orElse(document.getReason());
        return propose(session, seen, document.getConfiguration(), reason);
    }

    private static int restore(Session session) {
        long version = session.number("version");
        long seen =
                session.optionalNumber("seen").orElseGet(() -> fetch(session, 0).getVersion());
        String reason = session.text("reason");
        return propose(
                session,
                seen,
                fetch(session, version).getConfiguration(),
                reason.isEmpty() ? "restore version " + version : reason);
    }

    /** Returns a configuration; version 0 means the one in force. */
    static ConfigReply fetch(Session session, long version) {
        return session.daemon()
                .call(
                        OperatorGrpcClient.GetConfig,
                        GetConfigRequest.newBuilder().setVersion(version).build());
    }

    /** Proposes a configuration and prints the new version, or fails with the conflict. */
    static int propose(Session session, long seen, Configuration content, String reason) {
        AcceptConfigReply reply = session.daemon()
                .call(
                        OperatorGrpcClient.AcceptConfig,
                        AcceptConfigRequest.newBuilder()
                                .setSeenVersion(seen)
                                .setConfiguration(content)
                                .setReason(reason)
                                .build());
        return accepted(session, seen, reply);
    }

    /** Prints the new version, or fails with the conflict. */
    static int accepted(Session session, long seen, AcceptConfigReply reply) {
        if (reply.getConflict()) {
            ConfigReply theirs = reply.getTheirs();
            long inForce = Math.max(reply.getVersion(), theirs.getVersion());
            String by = theirs.getActor().isEmpty() ? "" : " by " + theirs.getActor();
            throw new GatewayException(
                    ErrorCode.CONFLICT,
                    "you saw version " + seen + ", but version " + inForce + by
                            + " is in force; look at 'celerygw config diff " + seen + " " + inForce
                            + "' and propose again");
        }
        session.output().result(reply, "configuration version " + reply.getVersion() + " is accepted.");
        return 0;
    }

    private static int example(Session session) {
        session.output()
                .line(
                        session.flag("document")
                                ? Output.toJson(Document.example())
                                : Settings.example().stripTrailing());
        return 0;
    }
}
