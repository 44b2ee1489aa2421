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
 * What the daemon does for operators. A future that fails does so with a
 * {@link org.celerygw.core.error.GatewayException}; anything else is reported as an internal fault.
 */
public interface Control {
    /**
     * Returns the configuration version in force on this host.
     *
     * @return the version; 0 before the first one
     */
    long configVersion();

    /**
     * Writes an action to the lasting record.
     *
     * @param action the action
     * @return completes when it is durable
     */
    Future<Void> record(Action action);

    /**
     * Sends every decision line of this host from now on.
     *
     * @param sink given each line; may be called on any thread and must not block
     * @return run once to stop
     */
    Runnable watch(Consumer<WatchEvent> sink);

    /**
     * Creates a program.
     *
     * @param actor who asks
     * @param request what is asked for
     * @return completes when it is durable
     */
    Future<ProgramReply> createProgram(Actor actor, CreateProgramRequest request);

    /**
     * Ends or abandons a program.
     *
     * @param actor who asks
     * @param request what is asked for
     * @return completes when it is durable
     */
    Future<ProgramReply> endProgram(Actor actor, EndProgramRequest request);

    /**
     * Settles a call whose outcome is unknown.
     *
     * @param actor who asks
     * @param request what is asked for
     * @return completes when it is durable
     */
    Future<ProgramReply> settleCall(Actor actor, SettleCallRequest request);

    /**
     * Accepts a configuration, or answers with the conflicting one.
     *
     * @param actor who asks
     * @param request what is asked for
     * @return the new version, or the conflict
     */
    Future<AcceptConfigReply> acceptConfig(Actor actor, AcceptConfigRequest request);

    /**
     * Starts the graceful stop of a host.
     *
     * @param actor who asks
     * @param request what is asked for
     * @return completes when the host has the order
     */
    Future<DrainHostReply> drainHost(Actor actor, DrainHostRequest request);

    /**
     * Marks a backend server as leaving, as a new configuration version.
     *
     * @param actor who asks
     * @param request what is asked for
     * @return the new version, or the conflict
     */
    Future<AcceptConfigReply> drainBackend(Actor actor, DrainBackendRequest request);

    /**
     * Lists programs.
     *
     * @param request what is asked for
     * @return the programs of all hosts
     */
    Future<ListProgramsReply> listPrograms(ListProgramsRequest request);

    /**
     * Returns a program's record.
     *
     * @param request what is asked for
     * @return the record as JSON
     */
    Future<ExplainProgramReply> explainProgram(ExplainProgramRequest request);

    /**
     * Returns a configuration.
     *
     * @param request what is asked for
     * @return the configuration with its version
     */
    Future<ConfigReply> getConfig(GetConfigRequest request);

    /**
     * Lists accepted configurations without their content, newest first.
     *
     * @param request what is asked for
     * @return the versions
     */
    Future<ConfigHistoryReply> configHistory(ConfigHistoryRequest request);

    /**
     * Returns which version each host has in force.
     *
     * @param request what is asked for
     * @return one line per host
     */
    Future<ConfigStatusReply> configStatus(ConfigStatusRequest request);

    /**
     * Lists hosts.
     *
     * @param request what is asked for
     * @return the hosts
     */
    Future<ListHostsReply> listHosts(ListHostsRequest request);

    /**
     * Lists backend servers.
     *
     * @param request what is asked for
     * @return the backend servers
     */
    Future<ListBackendsReply> listBackends(ListBackendsRequest request);

    /**
     * Lists recorded actions, newest first.
     *
     * @param request what is asked for
     * @return the actions
     */
    Future<ListActionsReply> listActions(ListActionsRequest request);
}
