package org.celerygw.cli.demo;

import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import java.util.List;
import org.celerygw.cli.load.BackendView;
import org.celerygw.cli.load.Caller;
import org.celerygw.cli.load.LoadRun;
import org.celerygw.cli.load.ProgramResult;
import org.celerygw.cli.load.Script;

/**
 * Shows the whole system in one process: several daemons on embedded stand-ins serve declarations and mastering
 * sessions; one daemon is killed on the way.
 */
public final class Demo {
    private static final long PATIENCE_MS = 60_000;
    private static final long KILL_AFTER_MS = 1_500;

    private final Options options;
    private final PrintStream out;

    /**
     * What to run.
     *
     * @param daemons how many daemons, at least 2
     * @param engines how many engines
     * @param declarations how many declaration programs
     * @param sessions how many mastering sessions
     */
    public record Options(int daemons, int engines, int declarations, int sessions) {
        /** A run of some seconds. */
        public static final Options DEFAULT = new Options(3, 3, 12, 6);
    }

    /**
     * Makes a demo.
     *
     * @param options what to run
     * @param out where to print
     */
    public Demo(Options options, PrintStream out) {
        this.options = options;
        this.out = out;
    }

    /**
     * Runs it.
     *
     * @return 0 when nothing was lost and nothing ran twice, else 1
     */
    public int run() {
        out.printf(
                "demo: starting %d daemons, %d engines, the store and the tools.%n", options.daemons, options.engines);
        try (LocalDeployment deployment = LocalDeployment.start(options.daemons, options.engines, "")) {
            out.println("demo: ready; callers at " + deployment.hosts() + ".");
            Caller caller = new Caller(deployment.vertx(), deployment.hosts(), LocalDeployment.CALLER_KEY, PATIENCE_MS);
            List<Script> scripts = LoadRun.mix("", options.declarations, options.sessions);
            out.printf("demo: %d programs begin.%n", scripts.size());
            LoadRun load = new LoadRun(caller, scripts, out);
            List<ProgramResult> results = load.run(() -> killOne(deployment));
            String first = scripts.get(0).program();
            out.println("demo: the record of " + first + ":");
            out.println(load.explain(first).encodePrettily());
            BackendView backends = new BackendView(deployment.vertx(), deployment.toolsUri(), deployment.engineUris());
            return load.audit(
                    results, backends, body -> deployment.standin().engine(0).expectedAnswer(new JsonObject(body)));
        }
    }

    private void killOne(LocalDeployment deployment) {
        LocalDeployment.pause(KILL_AFTER_MS);
        int last = options.daemons - 1;
        out.println("demo: killing daemon " + deployment.daemon(last).host() + ".");
        LocalDeployment.await(deployment.daemon(last).kill());
    }
}
