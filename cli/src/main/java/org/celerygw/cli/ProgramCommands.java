package org.celerygw.cli;

import com.google.protobuf.ByteString;
import io.vertx.core.json.JsonObject;
import java.util.List;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.celerygw.api.gen.operator.CreateProgramRequest;
import org.celerygw.api.gen.operator.EndProgramRequest;
import org.celerygw.api.gen.operator.ExplainProgramRequest;
import org.celerygw.api.gen.operator.ListProgramsReply;
import org.celerygw.api.gen.operator.ListProgramsRequest;
import org.celerygw.api.gen.operator.OperatorGrpcClient;
import org.celerygw.api.gen.operator.ProgramReply;
import org.celerygw.api.gen.operator.ProgramSummary;
import org.celerygw.api.gen.operator.SettleCallRequest;

/** {@code celerygw program ...}. */
final class ProgramCommands {
    private ProgramCommands() {}

    static void add(Subparsers groups) {
        Subparsers group = Arguments.group(groups, "program", "create, end, list, explain and settle programs");
        addCreate(group);
        Arguments.remote(group, "end", "end a program", session -> end(session, false))
                .addArgument("program");
        Arguments.remote(
                        group,
                        "abandon",
                        "end a program unfinished and cancel its calls",
                        session -> end(session, true))
                .addArgument("program");
        Arguments.remote(group, "list", "list programs", ProgramCommands::list)
                .addArgument("--customer")
                .setDefault("")
                .help("only this customer's");
        Arguments.remote(group, "explain", "show a program's whole record", ProgramCommands::explain)
                .addArgument("program");
        addSettle(group);
    }

    private static void addCreate(Subparsers group) {
        Subparser create = Arguments.remote(group, "create", "create a program", ProgramCommands::create);
        create.addArgument("program").help("its id, unique in the deployment");
        create.addArgument("--customer").required(true);
        create.addArgument("--class").setDefault("").help("its priority class");
        create.addArgument("--parent").setDefault("").help("the program whose sub-agent it is");
        create.addArgument("--budget-tokens").type(Long.class).setDefault(0L).help("0 for the default");
        create.addArgument("--deadline-ms").type(Long.class).setDefault(0L).help("since 1970; 0 for the default");
        create.addArgument("--time-to-live-ms").type(Long.class).setDefault(0L).help("0 for the default");
        create.addArgument("--max-turns").type(Integer.class).setDefault(0).help("0 for the default");
    }

    private static void addSettle(Subparsers group) {
        Subparser settle =
                Arguments.remote(group, "settle", "settle a call whose outcome is unknown", ProgramCommands::settle);
        settle.addArgument("program");
        settle.addArgument("call").type(Long.class).help("the call's number");
        var outcome = settle.addMutuallyExclusiveGroup().required(true);
        outcome.addArgument("--ran").action(Arguments.storeTrue()).help("it took effect");
        outcome.addArgument("--not-run").action(Arguments.storeTrue()).help("it did not and will not take effect");
        settle.addArgument("--answer-file").metavar("FILE").help("the answer that retries get, when it ran");
    }

    private static int create(Session session) {
        ProgramReply reply = session.daemon()
                .call(
                        OperatorGrpcClient.CreateProgram,
                        CreateProgramRequest.newBuilder()
                                .setProgram(session.text("program"))
                                .setCustomer(session.text("customer"))
                                .setPriorityClass(session.text("class"))
                                .setParent(session.text("parent"))
                                .setBudgetTokens(session.number("budget_tokens"))
                                .setDeadlineMs(session.number("deadline_ms"))
                                .setTimeToLiveMs(session.number("time_to_live_ms"))
                                .setMaxTurns((int) session.number("max_turns"))
                                .build());
        session.output().result(reply, "program " + reply.getProgram() + " is created.");
        return 0;
    }

    private static int end(Session session, boolean abandon) {
        ProgramReply reply = session.daemon()
                .call(
                        OperatorGrpcClient.EndProgram,
                        EndProgramRequest.newBuilder()
                                .setProgram(session.text("program"))
                                .setAbandon(abandon)
                                .build());
        session.output().result(reply, "program " + reply.getProgram() + (abandon ? " is abandoned." : " is ended."));
        return 0;
    }

    private static int list(Session session) {
        ListProgramsReply reply = session.daemon()
                .call(
                        OperatorGrpcClient.ListPrograms,
                        ListProgramsRequest.newBuilder()
                                .setCustomer(session.text("customer"))
                                .build());
        session.output()
                .table(
                        reply,
                        List.of(
                                "PROGRAM",
                                "CUSTOMER",
                                "STATE",
                                "CLASS",
                                "CALLS",
                                "UNKNOWN",
                                "SPENT",
                                "BUDGET",
                                "OWNER"),
                        reply.getProgramsList().stream()
                                .map(ProgramCommands::row)
                                .toList());
        return 0;
    }

    private static List<String> row(ProgramSummary p) {
        return Output.row(
                p.getProgram(),
                p.getCustomer(),
                p.getState(),
                Output.orDash(p.getPriorityClass()),
                p.getCalls(),
                p.getUnknownCalls(),
                p.getSpentTokens(),
                p.getBudgetTokens(),
                Output.orDash(p.getOwnerHost()));
    }

    private static int explain(Session session) {
        String json = session.daemon()
                .call(
                        OperatorGrpcClient.ExplainProgram,
                        ExplainProgramRequest.newBuilder()
                                .setProgram(session.text("program"))
                                .build())
                .getJson();
        if (session.output().json()) {
            session.output().line(json);
            return 0;
        }
        Explanation.print(new JsonObject(json), session.output());
        return 0;
    }

    private static int settle(Session session) {
        ByteString answer = session.optional("answer_file")
                .map(file -> ByteString.copyFromUtf8(Session.read(file)))
                .orElse(ByteString.EMPTY);
        ProgramReply reply = session.daemon()
                .call(
                        OperatorGrpcClient.SettleCall,
                        SettleCallRequest.newBuilder()
                                .setProgram(session.text("program"))
                                .setCall(session.number("call"))
                                .setRan(session.flag("ran"))
                                .setAnswer(answer)
                                .build());
        session.output().result(reply, "call " + reply.getProgram() + "#" + session.number("call") + " is settled.");
        return 0;
    }
}
