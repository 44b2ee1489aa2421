package org.celerygw.daemon.send;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.celerygw.api.gen.operator.BackendInfo;
import org.celerygw.core.call.CallKind;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.owner.Effect;
import org.celerygw.core.owner.Event;
import org.celerygw.core.routing.Dispatcher;
import org.celerygw.core.time.Clock;
import org.celerygw.daemon.backend.BackendClient;
import org.celerygw.daemon.work.Sender;

/** Sends calls to engines and tool services. Every method must be called on the host's event loop. */
public final class CallSender implements Sender {
    private final ModelSender modelSender;
    private final ToolSender toolSender;
    private final EngineMonitor engineMonitor;

    /**
     * The collaborators of a sender.
     *
     * @param host this host; its id is the prefix of the request ids that engines see
     * @param clock the source of the current time
     * @param dispatcher queues model calls and selects an engine for each
     * @param backendClient the client for engines and tool services
     * @param decisionLog receives each routing decision as one line of text
     * @param delayedExecutor runs a task on the event loop after a delay in milliseconds
     */
    public record Dependencies(
            HostId host,
            Clock clock,
            Dispatcher dispatcher,
            BackendClient backendClient,
            Consumer<String> decisionLog,
            BiConsumer<Long, Runnable> delayedExecutor) {}

    /**
     * Creates a sender without any engine or service; {@link #configure} adds them.
     *
     * @param dependencies the collaborators
     */
    public CallSender(Dependencies dependencies) {
        EngineTable engines = new EngineTable();
        this.modelSender = new ModelSender(dependencies, engines);
        this.toolSender = new ToolSender(dependencies);
        this.engineMonitor = new EngineMonitor(dependencies, engines);
    }

    /**
     * Applies the engines, services, priority classes and customers of a configuration.
     *
     * @param configuration the active configuration
     */
    public void configure(Configuration configuration) {
        modelSender.configure(configuration);
        toolSender.configure(configuration);
    }

    @Override
    public void dispatch(
            Effect.Dispatch dispatch, BiConsumer<Long, ByteString> onChunk, Consumer<Event.CallFinished> onComplete) {
        if (dispatch.call().kind() == CallKind.MODEL) {
            modelSender.dispatch(dispatch, onChunk, onComplete);
        } else {
            toolSender.dispatch(dispatch, onComplete);
        }
    }

    @Override
    public void abort(CallId call, long attempt) {
        modelSender.abort(call);
        toolSender.abort(call);
    }

    @Override
    public void queryOutcome(Effect.QueryOutcome query, Consumer<Event.OutcomeReported> onOutcome) {
        toolSender.queryOutcome(query, onOutcome);
    }

    @Override
    public void releaseCache(ProgramId program) {
        modelSender.releaseCache(program);
    }

    /**
     * Does the periodic work: starts queued model calls, drops those that are too late, and sends release orders again
     * until they are confirmed. Call it about every 50 ms.
     */
    public void tick() {
        modelSender.runDispatcher();
        engineMonitor.sendDueReleases();
    }

    /**
     * Stops sending new work to an engine that is leaving.
     *
     * @param engine the engine
     */
    public void engineLeaving(BackendServerId engine) {
        modelSender.engineLeaving(engine);
    }

    /** Requests a load report from every engine and passes it to the dispatcher. */
    public void pollLoad() {
        engineMonitor.pollLoad();
    }

    /** Requests new cache events from every engine and passes them to the dispatcher. */
    public void pollCacheEvents() {
        engineMonitor.pollCacheEvents();
    }

    /**
     * Finds the memory that engines still hold for programs that no longer exist, and has it released.
     *
     * @param isOwned whether this host owns a program
     * @param isAlive whether a program that this host owns still exists
     */
    public void releaseOrphaned(
            java.util.function.Predicate<ProgramId> isOwned, java.util.function.Predicate<ProgramId> isAlive) {
        engineMonitor.releaseOrphaned(isOwned, isAlive);
    }

    /**
     * Returns the configured engines and services with the state that this host knows of them.
     *
     * @return one entry per engine, then one per service
     */
    public List<BackendInfo> listBackends() {
        return Stream.concat(modelSender.listBackends(), toolSender.listBackends())
                .toList();
    }

    /**
     * Returns the number of calls on this host that are queued or in flight.
     *
     * @return model calls and tool calls together
     */
    public int pendingCalls() {
        return modelSender.pendingCalls() + toolSender.pendingCalls();
    }
}
