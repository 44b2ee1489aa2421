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

/** {@code celerygw host|backend|actions|watch ...}. */
final class FleetCommands {
    private FleetCommands() {}

    static void add(Subparsers groups) {
        Subparsers backend = Arguments.group(groups, "backend", "backend servers");
        Arguments.remote(backend, "list", "list backend servers", FleetCommands::listBackends);
        Arguments.remote(backend, "drain", "give a backend server no new work", FleetCommands::drainBackend)
                .addArgument("backend");
        Subparsers host = Arguments.group(groups, "host", "hosts that run celerygwd");
        Arguments.remote(host, "list", "list hosts", FleetCommands::listHosts);
        Arguments.remote(host, "drain", "stop a host's daemon gracefully", FleetCommands::drainHost)
                .addArgument("host");
        Arguments.remote(groups, "actions", "list recorded actions, newest first", FleetCommands::listActions)
                .addArgument("--limit")
                .type(Integer.class)
                .setDefault(50);
        Arguments.remote(groups, "watch", "print a daemon's decisions as they are made", FleetCommands::watch)
                .addArgument("--prefix")
                .setDefault("")
                .help("only one part's, such as route:");
    }

    private static int listBackends(Session session) {
        ListBackendsReply reply =
                session.daemon().call(OperatorGrpcClient.ListBackends, ListBackendsRequest.getDefaultInstance());
        session.output()
                .table(
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
        var request =
                DrainBackendRequest.newBuilder().setId(session.text("backend")).build();
        return ConfigCommands.accepted(
                session,
                ConfigCommands.fetch(session, 0).getVersion(),
                session.daemon().call(OperatorGrpcClient.DrainBackend, request));
    }

    private static int listHosts(Session session) {
        ListHostsReply reply =
                session.daemon().call(OperatorGrpcClient.ListHosts, ListHostsRequest.getDefaultInstance());
        session.output()
                .table(
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
                                        Output.time(h.getConfigSinceMs()),
                                        Output.orDash(h.getRelease())))
                                .toList());
        return 0;
    }

    private static int drainHost(Session session) {
        String host = session.text("host");
        DrainHostReply reply = session.daemon()
                .call(
                        OperatorGrpcClient.DrainHost,
                        DrainHostRequest.newBuilder().setHost(host).build());
        session.output()
                .result(reply, "host " + host + (reply.getStarted() ? " is stopping." : " was stopping already."));
        return 0;
    }

    private static int listActions(Session session) {
        ListActionsReply reply = session.daemon()
                .call(
                        OperatorGrpcClient.ListActions,
                        ListActionsRequest.newBuilder()
                                .setLimit((int) session.number("limit"))
                                .build());
        session.output()
                .table(
                        reply,
                        List.of("AT", "BY", "ACTION", "RESULT", "CONFIG", "DETAIL"),
                        reply.getActionsList().stream()
                                .map(a -> Output.row(
                                        Output.time(a.getAtMs()),
                                        a.getActor(),
                                        a.getAction(),
                                        a.getResult(),
                                        a.getConfigVersion(),
                                        a.getDetail()))
                                .toList());
        return 0;
    }

    private static int watch(Session session) {
        WatchRequest request =
                WatchRequest.newBuilder().setPrefix(session.text("prefix")).build();
        session.daemon().stream(OperatorGrpcClient.Watch, request, event -> session.output()
                .result(event, Output.time(event.getAtMs()) + " " + event.getLine()));
        return 0;
    }
}
