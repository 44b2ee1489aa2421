package org.celerygw.daemon.operator;

import io.vertx.core.Future;
import java.util.function.Consumer;
import org.celerygw.api.gen.operator.AcceptConfigReply;
import org.celerygw.api.gen.operator.AcceptConfigRequest;
import org.celerygw.api.gen.operator.Action;
import org.celerygw.api.gen.operator.ConfigHistoryReply;
import org.celerygw.api.gen.operator.ConfigHistoryRequest;
import org.celerygw.api.gen.operator.ConfigReply;
import org.celerygw.api.gen.operator.ConfigStatusReply;
import org.celerygw.api.gen.operator.ConfigStatusRequest;
import org.celerygw.api.gen.operator.CreateProgramRequest;
import org.celerygw.api.gen.operator.DrainBackendRequest;
import org.celerygw.api.gen.operator.DrainHostReply;
import org.celerygw.api.gen.operator.DrainHostRequest;
import org.celerygw.api.gen.operator.EndProgramRequest;
import org.celerygw.api.gen.operator.ExplainProgramReply;
import org.celerygw.api.gen.operator.ExplainProgramRequest;
import org.celerygw.api.gen.operator.GetConfigRequest;
import org.celerygw.api.gen.operator.ListActionsReply;
import org.celerygw.api.gen.operator.ListActionsRequest;
import org.celerygw.api.gen.operator.ListBackendsReply;
import org.celerygw.api.gen.operator.ListBackendsRequest;
import org.celerygw.api.gen.operator.ListHostsReply;
import org.celerygw.api.gen.operator.ListHostsRequest;
import org.celerygw.api.gen.operator.ListProgramsReply;
import org.celerygw.api.gen.operator.ListProgramsRequest;
import org.celerygw.api.gen.operator.ProgramReply;
import org.celerygw.api.gen.operator.SettleCallRequest;
import org.celerygw.api.gen.operator.WatchEvent;

/**
 * The operations that a daemon offers to operators. Futures fail with a
 * {@link org.celerygw.core.error.GatewayException}; any other exception is reported as an internal error.
 */
public interface OperatorApi {
    /**
     * Returns the active configuration version of this host.
     *
     * @return the version; 0 before the first configuration
     */
    long configVersion();

    /**
     * Appends an action to the audit log.
     *
     * @param action the change with its actor, time and result
     * @return completes when the entry is durable
     */
    Future<Void> recordAction(Action action);

    /**
     * Subscribes to the decision lines of this host.
     *
     * @param sink receives each line from now on; called on any thread and must not block
     * @return run once to cancel the subscription
     */
    Runnable watch(Consumer<WatchEvent> sink);

    /**
     * Creates a program.
     *
     * @param actor the operator who requests the change
     * @param request the id, customer and limits; limits left unset take the configured defaults
     * @return completes when the program is durable
     */
    Future<ProgramReply> createProgram(Actor actor, CreateProgramRequest request);

    /**
     * Ends or abandons a program.
     *
     * @param actor the operator who requests the change
     * @param request the program, and whether to abandon it instead of ending it
     * @return completes when the end is durable
     */
    Future<ProgramReply> endProgram(Actor actor, EndProgramRequest request);

    /**
     * Settles a call whose outcome is unknown.
     *
     * @param actor the operator who requests the change
     * @param request the call, whether it ran, and its response if so
     * @return completes when the settlement is durable
     */
    Future<ProgramReply> settleCall(Actor actor, SettleCallRequest request);

    /**
     * Accepts a configuration unless another version has become active since the one it is based on.
     *
     * @param actor the operator who requests the change
     * @param request the new configuration and the version that it is based on
     * @return the new version, or the conflicting configuration
     */
    Future<AcceptConfigReply> acceptConfig(Actor actor, AcceptConfigRequest request);

    /**
     * Starts the graceful stop of a host.
     *
     * @param actor the operator who requests the change
     * @param request the id of a live host
     * @return completes when the host has confirmed the request; the stop itself takes longer
     */
    Future<DrainHostReply> drainHost(Actor actor, DrainHostRequest request);

    /**
     * Marks a backend server as leaving, by accepting a new configuration version.
     *
     * @param actor the operator who requests the change
     * @param request the id of a backend server in the active configuration
     * @return the new version, or the conflicting configuration
     */
    Future<AcceptConfigReply> drainBackend(Actor actor, DrainBackendRequest request);

    /**
     * Lists programs.
     *
     * @param request the customer to filter by; empty for all
     * @return the programs of all hosts that responded in time
     */
    Future<ListProgramsReply> listPrograms(ListProgramsRequest request);

    /**
     * Returns the stored record of a program.
     *
     * @param request the program
     * @return the state and history as JSON
     */
    Future<ExplainProgramReply> explainProgram(ExplainProgramRequest request);

    /**
     * Returns a configuration.
     *
     * @param request the version; 0 for the active one
     * @return the configuration with its version; an empty reply when no version is active yet
     */
    Future<ConfigReply> getConfig(GetConfigRequest request);

    /**
     * Lists accepted configurations without their content, newest first.
     *
     * @param request the maximum number of versions; 0 for the default
     * @return the accepted versions
     */
    Future<ConfigHistoryReply> configHistory(ConfigHistoryRequest request);

    /**
     * Returns the active configuration version of each host.
     *
     * @param request an empty message
     * @return one entry per live host
     */
    Future<ConfigStatusReply> configStatus(ConfigStatusRequest request);

    /**
     * Lists the live hosts of the fleet.
     *
     * @param request an empty message
     * @return the live hosts with their state
     */
    Future<ListHostsReply> listHosts(ListHostsRequest request);

    /**
     * Lists backend servers.
     *
     * @param request an empty message
     * @return the backend servers as this host sees them
     */
    Future<ListBackendsReply> listBackends(ListBackendsRequest request);

    /**
     * Lists the actions in the audit log, newest first.
     *
     * @param request the maximum number of actions; 0 for the default
     * @return the actions
     */
    Future<ListActionsReply> listActions(ListActionsRequest request);
}
