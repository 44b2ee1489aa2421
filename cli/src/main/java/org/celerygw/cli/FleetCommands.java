package org.celerygw.cli;

import java.util.List;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.celerygw.api.gen.operator.DrainBackendRequest;
import org.celerygw.api.gen.operator.DrainHostReply;
import org.celerygw.api.gen.operator.DrainHostRequest;
import org.celerygw.api.gen.operator.ListActionsReply;
import org.celerygw.api.gen.operator.ListActionsRequest;
import org.celerygw.api.gen.operator.ListBackendsReply;
import org.celerygw.api.gen.operator.ListBackendsRequest;
import org.celerygw.api.gen.operator.ListHostsReply;
import org.celerygw.api.gen.operator.ListHostsRequest;
import org.celerygw.api.gen.operator.OperatorGrpcClient;
import org.celerygw.api.gen.operator.WatchRequest;

/** {@code celerygw host|backend|actions|watch ...}: inspects and drains hosts and backend servers. */
final class FleetCommands {
    private FleetCommands() {}

    static void add(Subparsers groups) {
        Subparsers backend = CommandLine.addGroup(groups, "backend", "backend servers");
        CommandLine.addDaemonCommand(backend, "list", "list backend servers", FleetCommands::listBackends);
        CommandLine.addDaemonCommand(
                        backend, "drain", "stop sending new calls to a backend server", FleetCommands::drainBackend)
                .addArgument("backend");
        Subparsers host = CommandLine.addGroup(groups, "host", "hosts that run celerygwd");
        CommandLine.addDaemonCommand(host, "list", "list hosts", FleetCommands::listHosts);
        CommandLine.addDaemonCommand(host, "drain", "stop a host's daemon gracefully", FleetCommands::drainHost)
                .addArgument("host");
        CommandLine.addDaemonCommand(
                        groups, "actions", "list recorded actions, newest first", FleetCommands::listActions)
                .addArgument("--limit")
                .type(Integer.class)
                .setDefault(50);
        CommandLine.addDaemonCommand(
                        groups, "watch", "print the decisions of a daemon as they are made", FleetCommands::watch)
                .addArgument("--prefix")
                .setDefault("")
                .help("print only lines with this prefix, such as route:");
    }

    private static int listBackends(Session session) {
        ListBackendsReply reply =
                session.daemon().call(OperatorGrpcClient.ListBackends, ListBackendsRequest.getDefaultInstance());
        session.output()
                .printTable(
                        reply,
                        List.of("BACKEND", "ADDRESS", "ZONE", "STATE", "IN FLIGHT", "SPEED", "MODELS"),
                        reply.getBackendsList().stream()
                                .map(b -> Output.row(
                                        b.getId(),
                                        b.getAddress(),
                                        b.getZone(),
                                        b.getState(),
                                        b.getInFlight(),
                                        b.getSpeed(),
                                        Output.orDash(b.getModels())))
                                .toList());
        return 0;
    }

    private static int drainBackend(Session session) {
        var request = DrainBackendRequest.newBuilder()
                .setId(session.requiredText("backend"))
                .build();
        return ConfigCommands.reportProposal(
                session,
                ConfigCommands.fetchConfig(session, 0).getVersion(),
                session.daemon().call(OperatorGrpcClient.DrainBackend, request));
    }

    private static int listHosts(Session session) {
        ListHostsReply reply =
                session.daemon().call(OperatorGrpcClient.ListHosts, ListHostsRequest.getDefaultInstance());
        session.output()
                .printTable(
                        reply,
                        List.of("HOST", "ADDRESS", "ZONE", "STATE", "SLOTS", "CONFIG", "SINCE", "RELEASE"),
                        reply.getHostsList().stream()
                                .map(h -> Output.row(
                                        h.getHost(),
                                        h.getAddress(),
                                        h.getZone(),
                                        h.getState(),
                                        h.getSlots(),
                                        h.getConfigVersion(),
                                        Output.formatTime(h.getConfigSinceMs()),
                                        Output.orDash(h.getRelease())))
                                .toList());
        return 0;
    }

    private static int drainHost(Session session) {
        String host = session.requiredText("host");
        DrainHostReply reply = session.daemon()
                .call(
                        OperatorGrpcClient.DrainHost,
                        DrainHostRequest.newBuilder().setHost(host).build());
        session.output()
                .printResult(reply, "host " + host + (reply.getStarted() ? " is stopping." : " was stopping already."));
        return 0;
    }

    private static int listActions(Session session) {
        ListActionsReply reply = session.daemon()
                .call(
                        OperatorGrpcClient.ListActions,
                        ListActionsRequest.newBuilder()
                                .setLimit((int) session.requiredNumber("limit"))
                                .build());
        session.output()
                .printTable(
                        reply,
                        List.of("AT", "BY", "ACTION", "RESULT", "CONFIG", "DETAIL"),
                        reply.getActionsList().stream()
                                .map(a -> Output.row(
                                        Output.formatTime(a.getAtMs()),
                                        a.getActor(),
                                        a.getAction(),
                                        a.getResult(),
                                        a.getConfigVersion(),
                                        a.getDetail()))
                                .toList());
        return 0;
    }

    private static int watch(Session session) {
        WatchRequest request = WatchRequest.newBuilder()
                .setPrefix(session.requiredText("prefix"))
                .build();
        session.daemon().stream(OperatorGrpcClient.Watch, request, event -> session.output()
                .printResult(event, Output.formatTime(event.getAtMs()) + " " + event.getLine()));
        return 0;
    }
}
