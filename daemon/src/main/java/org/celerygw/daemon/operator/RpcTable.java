package org.celerygw.daemon.operator;

import java.util.List;
import org.celerygw.api.gen.operator.AcceptConfigRequest;
import org.celerygw.api.gen.operator.CreateProgramRequest;
import org.celerygw.api.gen.operator.OperatorGrpcService;
import org.celerygw.api.gen.operator.SettleCallRequest;
import org.celerygw.core.helper.Check;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.ProgramId;

/** Every unary method with its check and its line for the record of actions. */
final class RpcTable {
    private static final int MAX_REASON_CHARACTERS = 1_000;
    private static final int MAX_LIST = 1_000;

    private RpcTable() {}

    static List<Rpc<?, ?>> of(Control control) {
        return List.of(
                Rpc.change(OperatorGrpcService.CreateProgram, RpcTable::describeCreate, control::createProgram),
                Rpc.change(
                        OperatorGrpcService.EndProgram,
                        q -> "program " + new ProgramId(q.getProgram()) + " abandon " + q.getAbandon(),
                        control::endProgram),
                Rpc.change(OperatorGrpcService.SettleCall, RpcTable::describeSettle, control::settleCall),
                Rpc.change(OperatorGrpcService.AcceptConfig, RpcTable::describeAccept, control::acceptConfig),
                Rpc.change(
                        OperatorGrpcService.DrainHost,
                        q -> "host " + Check.name(q.getHost(), "host"),
                        control::drainHost),
                Rpc.change(
                        OperatorGrpcService.DrainBackend,
                        q -> "backend " + new BackendServerId(q.getId()),
                        control::drainBackend),
                Rpc.read(OperatorGrpcService.ListPrograms, q -> {
                    Check.that(
                            q.getCustomer().isEmpty()
                                    || !new CustomerId(q.getCustomer()).value().isEmpty(),
                            "");
                    return control.listPrograms(q);
                }),
                Rpc.read(OperatorGrpcService.ExplainProgram, q -> {
                    Check.name(q.getProgram(), "program");
                    return control.explainProgram(q);
                }),
                Rpc.read(OperatorGrpcService.GetConfig, q -> {
                    Check.notNegative(q.getVersion(), "version");
                    return control.getConfig(q);
                }),
                Rpc.read(OperatorGrpcService.ConfigHistory, q -> {
                    checkLimit(q.getLimit());
                    return control.configHistory(q);
                }),
                Rpc.read(OperatorGrpcService.ConfigStatus, control::configStatus),
                Rpc.read(OperatorGrpcService.ListHosts, control::listHosts),
                Rpc.read(OperatorGrpcService.ListBackends, control::listBackends),
                Rpc.read(OperatorGrpcService.ListActions, q -> {
                    checkLimit(q.getLimit());
                    return control.listActions(q);
                }));
    }

    private static String describeCreate(CreateProgramRequest q) {
        Check.notNegative(q.getBudgetTokens(), "budgetTokens");
        Check.notNegative(q.getDeadlineMs(), "deadlineMs");
        Check.notNegative(q.getTimeToLiveMs(), "timeToLiveMs");
        Check.notNegative(q.getMaxTurns(), "maxTurns");
        String parent = q.getParent().isEmpty() ? "" : " parent " + new ProgramId(q.getParent());
        return "program " + new ProgramId(q.getProgram()) + " customer " + new CustomerId(q.getCustomer()) + parent
                + " budgetTokens " + q.getBudgetTokens();
    }

    private static String describeSettle(SettleCallRequest q) {
        Check.that(q.getCall() >= 1, "call must be at least 1");
        return "program " + new ProgramId(q.getProgram()) + " call " + q.getCall() + " ran " + q.getRan()
                + " answerBytes " + q.getAnswer().size();
    }

    private static String describeAccept(AcceptConfigRequest q) {
        Check.notNegative(q.getSeenVersion(), "seenVersion");
        Check.that(q.hasConfiguration(), "configuration is missing");
        Check.that(
                q.getReason().length() <= MAX_REASON_CHARACTERS,
                "reason may have " + MAX_REASON_CHARACTERS + " characters at most");
        return "seenVersion " + q.getSeenVersion() + " reason " + q.getReason();
    }

    private static void checkLimit(int limit) {
        Check.that(limit >= 0 && limit <= MAX_LIST, "limit must be from 0 to " + MAX_LIST);
    }
}
