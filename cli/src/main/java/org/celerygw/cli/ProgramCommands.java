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

/** {@code celerygw program ...}: creates, ends, inspects and settles programs. */
final class ProgramCommands {
    private ProgramCommands() {}

    static void add(Subparsers groups) {
        Subparsers group = CommandLine.addGroup(groups, "program", "create, end, list, explain and settle programs");
        addCreate(group);
        CommandLine.addDaemonCommand(group, "end", "end a program", session -> end(session, false))
                .addArgument("program");
        CommandLine.addDaemonCommand(
                        group,
                        "abandon",
                        "end a program before it is finished and cancel its calls",
                        session -> end(session, true))
                .addArgument("program");
        CommandLine.addDaemonCommand(group, "list", "list programs", ProgramCommands::list)
                .addArgument("--customer")
                .setDefault("")
                .help("list only the programs of this customer");
        CommandLine.addDaemonCommand(
                        group, "explain", "show the complete record of a program", ProgramCommands::explain)
                .addArgument("program");
        addSettle(group);
    }

    private static void addCreate(Subparsers group) {
        Subparser create = CommandLine.addDaemonCommand(group, "create", "create a program", ProgramCommands::create);
        create.addArgument("program").help("the id of the program, unique in the deployment");
        create.addArgument("--customer").required(true);
        create.addArgument("--class").setDefault("").help("the priority class of the program");
        create.addArgument("--parent").setDefault("").help("the program that starts this one as a sub-agent");
        create.addArgument("--budget-tokens").type(Long.class).setDefault(0L).help("0 for the default");
        create.addArgument("--deadline-ms")
                .type(Long.class)
                .setDefault(0L)
                .help("in epoch milliseconds; 0 for the default");
        create.addArgument("--time-to-live-ms").type(Long.class).setDefault(0L).help("0 for the default");
        create.addArgument("--max-turns").type(Integer.class).setDefault(0).help("0 for the default");
    }

    private static void addSettle(Subparsers group) {
        Subparser settle = CommandLine.addDaemonCommand(
                group, "settle", "settle a call whose outcome is unknown", ProgramCommands::settle);
        settle.addArgument("program");
        settle.addArgument("call").type(Long.class).help("the number of the call");
        var outcome = settle.addMutuallyExclusiveGroup().required(true);
        outcome.addArgument("--ran").action(CommandLine.storeTrue()).help("the call took effect");
        outcome.addArgument("--not-run")
                .action(CommandLine.storeTrue())
                .help("the call did not and will not take effect");
        settle.addArgument("--answer-file").metavar("FILE").help("the response that retries receive, with --ran");
    }

    private static int create(Session session) {
        ProgramReply reply = session.daemon()
                .call(
                        OperatorGrpcClient.CreateProgram,
                        CreateProgramRequest.newBuilder()
                                .setProgram(session.requiredText("program"))
                                .setCustomer(session.requiredText("customer"))
                                .setPriorityClass(session.requiredText("class"))
                                .setParent(session.requiredText("parent"))
                                .setBudgetTokens(session.requiredNumber("budget_tokens"))
                                .setDeadlineMs(session.requiredNumber("deadline_ms"))
                                .setTimeToLiveMs(session.requiredNumber("time_to_live_ms"))
                                .setMaxTurns((int) session.requiredNumber("max_turns"))
                                .build());
        session.output().printResult(reply, "program " + reply.getProgram() + " is created.");
        return 0;
    }

    private static int end(Session session, boolean abandon) {
        ProgramReply reply = session.daemon()
                .call(
                        OperatorGrpcClient.EndProgram,
                        EndProgramRequest.newBuilder()
                                .setProgram(session.requiredText("program"))
                                .setAbandon(abandon)
                                .build());
        session.output()
                .printResult(reply, "program " + reply.getProgram() + (abandon ? " is abandoned." : " is ended."));
        return 0;
    }

    private static int list(Session session) {
        ListProgramsReply reply = session.daemon()
                .call(
                        OperatorGrpcClient.ListPrograms,
                        ListProgramsRequest.newBuilder()
                                .setCustomer(session.requiredText("customer"))
                                .build());
        session.output()
                .printTable(
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
                                .map(ProgramCommands::programRow)
                                .toList());
        return 0;
    }

    private static List<String> programRow(ProgramSummary program) {
        return Output.row(
                program.getProgram(),
                program.getCustomer(),
                program.getState(),
                Output.orDash(program.getPriorityClass()),
                program.getCalls(),
                program.getUnknownCalls(),
                program.getSpentTokens(),
                program.getBudgetTokens(),
                Output.orDash(program.getOwnerHost()));
    }

    private static int explain(Session session) {
        String json = session.daemon()
                .call(
                        OperatorGrpcClient.ExplainProgram,
                        ExplainProgramRequest.newBuilder()
                                .setProgram(session.requiredText("program"))
                                .build())
                .getJson();
        if (session.output().isJson()) {
            session.output().printLine(json);
            return 0;
        }
        ProgramRecordPrinter.print(new JsonObject(json), session.output());
        return 0;
    }

    private static int settle(Session session) {
        ByteString response = session.optionalText("answer_file")
                .map(file -> ByteString.copyFromUtf8(Session.readFile(file)))
                .orElse(ByteString.EMPTY);
        ProgramReply reply = session.daemon()
                .call(
                        OperatorGrpcClient.SettleCall,
                        SettleCallRequest.newBuilder()
                                .setProgram(session.requiredText("program"))
                                .setCall(session.requiredNumber("call"))
                                .setRan(session.flag("ran"))
                                .setAnswer(response)
                                .build());
        session.output()
                .printResult(
                        reply, "call " + reply.getProgram() + "#" + session.requiredNumber("call") + " is settled.");
        return 0;
    }
}
