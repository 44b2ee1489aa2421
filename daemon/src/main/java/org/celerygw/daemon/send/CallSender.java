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
import org.celerygw.daemon.backend.Backends;
import org.celerygw.daemon.work.Sender;

/** Sends calls to engines and tool services. Every method must be called on the host's event loop. */
public final class CallSender implements Sender {
    private final ModelSender models;
    private final ToolSender tools;
    private final EngineWatch watch;

    /**
     * What a sender works with.
     *
     * @param host this host, named in the ids of requests
     * @param clock the time
     * @param dispatcher chooses engines
     * @param backends reaches engines and services
     * @param decisions given each decision line
     * @param later runs something after a number of milliseconds, on the event loop
     */
    public record Parts(
            HostId host,
            Clock clock,
            Dispatcher dispatcher,
            Backends backends,
            Consumer<String> decisions,
            BiConsumer<Long, Runnable> later) {}

    /**
     * Makes a sender that knows no back end yet.
     *
     * @param parts what it works with
     */
    public CallSender(Parts parts) {
        EngineTable engines = new EngineTable();
        this.models = new ModelSender(parts, engines);
        this.tools = new ToolSender(parts);
        this.watch = new EngineWatch(parts, engines);
    }

    /**
     * Takes a configuration: its engines, services, priority classes and customers.
     *
     * @param configuration the configuration now in force
     */
    public void configure(Configuration configuration) {
        models.configure(configuration);
        tools.configure(configuration);
    }

    @Override
    public void dispatch(Effect.Dispatch dispatch, BiConsumer<Long, ByteString> stream, Consumer<Event.Finished> done) {
        if (dispatch.call().kind() == CallKind.MODEL) {
            models.dispatch(dispatch, stream, done);
        } else {
            tools.dispatch(dispatch, done);
        }
    }

    @Override
    public void abort(CallId call, long attempt) {
        models.abort(call);
        tools.abort(call);
    }

    @Override
    public void askOutcome(Effect.AskOutcome ask, Consumer<Event.OutcomeFound> done) {
        tools.askOutcome(ask, done);
    }

    @Override
    public void release(ProgramId program) {
        models.release(program);
    }

    /**
     * Does what is due: starts waiting calls, drops late ones, repeats releases. Call it every 50 ms or so.
     */
    public void tick() {
        models.pump();
        watch.releases();
    }

    /**
     * Sends no new work to a back end that is leaving.
     *
     * @param engine the back end
     */
    public void leaving(BackendServerId engine) {
        models.leaving(engine);
    }

    /** Reads every engine's load. */
    public void pollLoad() {
        watch.pollLoad();
    }

    /** Reads every engine's cache events. */
    public void pollCache() {
        watch.pollCache();
    }

    /**
     * Finds memory that engines hold for programs that are gone.
     *
     * @param mine tells whether this host answers for a program
     * @param alive tells whether such a program is alive
     */
    public void sweep(java.util.function.Predicate<ProgramId> mine, java.util.function.Predicate<ProgramId> alive) {
        watch.sweep(mine, alive);
    }

    /**
     * Returns the engines and services of the configuration, as this host sees them.
     *
     * @return a row for each
     */
    public List<BackendInfo> backends() {
        return Stream.concat(models.backends(), tools.backends()).toList();
    }

    /**
     * Returns how many calls run or wait here.
     *
     * @return the number
     */
    public int underWay() {
        return models.underWay() + tools.underWay();
    }
}
