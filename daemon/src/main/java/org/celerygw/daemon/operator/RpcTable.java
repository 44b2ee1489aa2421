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

/** The definitions of all unary RPCs, with the validation of their requests and their audit log text. */
final class RpcTable {
    private static final int MAX_REASON_CHARACTERS = 1_000;
    private static final int MAX_LIST_LIMIT = 1_000;

    private RpcTable() {}

    static List<RpcDefinition<?, ?>> definitions(OperatorApi operatorApi) {
        return List.of(
                RpcDefinition.change(
                        OperatorGrpcService.CreateProgram, RpcTable::describeCreate, operatorApi::createProgram),
                RpcDefinition.change(
                        OperatorGrpcService.EndProgram,
                        request ->
                                "program " + new ProgramId(request.getProgram()) + " abandon " + request.getAbandon(),
                        operatorApi::endProgram),
                RpcDefinition.change(OperatorGrpcService.SettleCall, RpcTable::describeSettle, operatorApi::settleCall),
                RpcDefinition.change(
                        OperatorGrpcService.AcceptConfig, RpcTable::describeAccept, operatorApi::acceptConfig),
                RpcDefinition.change(
                        OperatorGrpcService.DrainHost,
                        request -> "host " + Check.name(request.getHost(), "host"),
                        operatorApi::drainHost),
                RpcDefinition.change(
                        OperatorGrpcService.DrainBackend,
                        request -> "backend " + new BackendServerId(request.getId()),
                        operatorApi::drainBackend),
                RpcDefinition.read(OperatorGrpcService.ListPrograms, request -> {
                    Check.that(
                            request.getCustomer().isEmpty()
                                    || !new CustomerId(request.getCustomer())
                                            .value()
                                            .isEmpty(),
                            "customer must be a valid customer id");
                    return operatorApi.listPrograms(request);
                }),
                RpcDefinition.read(OperatorGrpcService.ExplainProgram, request -> {
                    Check.name(request.getProgram(), "program");
                    return operatorApi.explainProgram(request);
                }),
                RpcDefinition.read(OperatorGrpcService.GetConfig, request -> {
                    Check.notNegative(request.getVersion(), "version");
                    return operatorApi.getConfig(request);
                }),
                RpcDefinition.read(OperatorGrpcService.ConfigHistory, request -> {
                    checkLimit(request.getLimit());
                    return operatorApi.configHistory(request);
                }),
                RpcDefinition.read(OperatorGrpcService.ConfigStatus, operatorApi::configStatus),
                RpcDefinition.read(OperatorGrpcService.ListHosts, operatorApi::listHosts),
                RpcDefinition.read(OperatorGrpcService.ListBackends, operatorApi::listBackends),
                RpcDefinition.read(OperatorGrpcService.ListActions, request -> {
                    checkLimit(request.getLimit());
                    return operatorApi.listActions(request);
                }));
    }

    private static String describeCreate(CreateProgramRequest request) {
        Check.notNegative(request.getBudgetTokens(), "budgetTokens");
        Check.notNegative(request.getDeadlineMs(), "deadlineMs");
        Check.notNegative(request.getTimeToLiveMs(), "timeToLiveMs");
        Check.notNegative(request.getMaxTurns(), "maxTurns");
        String parent = request.getParent().isEmpty() ? "" : " parent " + new ProgramId(request.getParent());
        return "program " + new ProgramId(request.getProgram()) + " customer " + new CustomerId(request.getCustomer())
                + parent + " budgetTokens " + request.getBudgetTokens();
    }

    private static String describeSettle(SettleCallRequest request) {
        Check.that(request.getCall() >= 1, "call must be 1 or greater");
        return "program " + new ProgramId(request.getProgram()) + " call " + request.getCall() + " ran "
                + request.getRan() + " answerBytes " + request.getAnswer().size();
    }

    private static String describeAccept(AcceptConfigRequest request) {
        Check.notNegative(request.getSeenVersion(), "seenVersion");
        Check.that(request.hasConfiguration(), "configuration is missing");
        Check.that(
                request.getReason().length() <= MAX_REASON_CHARACTERS,
                "reason must have at most " + MAX_REASON_CHARACTERS + " characters");
        return "seenVersion " + request.getSeenVersion() + " reason " + request.getReason();
    }

    private static void checkLimit(int limit) {
        Check.that(limit >= 0 && limit <= MAX_LIST_LIMIT, "limit must be from 0 to " + MAX_LIST_LIMIT);
    }
}
