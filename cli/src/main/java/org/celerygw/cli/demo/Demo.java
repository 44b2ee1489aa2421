package org.celerygw.cli.demo;

import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import java.util.List;
import org.celerygw.cli.load.Caller;
import org.celerygw.cli.load.LoadRun;
import org.celerygw.cli.load.ProgramResult;
import org.celerygw.cli.load.Script;
import org.celerygw.cli.load.StandinClient;

/**
 * Runs a complete deployment in one process: several daemons on embedded stand-ins serve declaration programs and
 * mastering sessions, and one daemon is killed during the run.
 */
public final class Demo {
    private static final long RETRY_WINDOW_MS = 60_000;
    private static final long KILL_DELAY_MS = 1_500;

    private final Options options;
    private final PrintStream out;

    /**
     * The size of the deployment and of its workload.
     *
     * @param daemons the number of daemons, at least 2
     * @param engines the number of stand-in engines
     * @param declarations the number of declaration programs
     * @param sessions the number of mastering sessions
     */
    public record Options(int daemons, int engines, int declarations, int sessions) {
        /** The default size, for a run of a few seconds. */
        public static final Options DEFAULT = new Options(3, 3, 12, 6);
    }

    /**
     * Creates a demo.
     *
     * @param options the size of the deployment and of its workload
     * @param out receives the progress and the audit report
     */
    public Demo(Options options, PrintStream out) {
        this.options = options;
        this.out = out;
    }

    /**
     * Starts the deployment, runs the programs, kills one daemon and audits the results.
     *
     * @return 0 when the audit found no violations, else 1
     */
    public int run() {
        out.printf(
                "demo: starting %d daemons, %d engines, the store and the tools.%n", options.daemons, options.engines);
        try (LocalDeployment deployment = LocalDeployment.start(options.daemons, options.engines, "")) {
            out.println("demo: ready; listening for callers at " + deployment.hostUris() + ".");
            Caller caller =
                    new Caller(deployment.vertx(), deployment.hostUris(), LocalDeployment.CALLER_KEY, RETRY_WINDOW_MS);
            List<Script> scripts = LoadRun.createScripts("", options.declarations, options.sessions);
            out.printf("demo: starting %d programs.%n", scripts.size());
            LoadRun load = new LoadRun(caller, scripts, out);
            List<ProgramResult> results = load.run(() -> killLastDaemon(deployment));
            String firstProgram = scripts.get(0).program();
            out.println("demo: the record of " + firstProgram + ":");
            out.println(load.readRecord(firstProgram).encodePrettily());
            StandinClient backends =
                    new StandinClient(deployment.vertx(), deployment.toolsUri(), deployment.engineUris());
            return load.audit(
                    results, backends, body -> deployment.standin().engine(0).expectedAnswer(new JsonObject(body)));
        }
    }

    private void killLastDaemon(LocalDeployment deployment) {
        LocalDeployment.pause(KILL_DELAY_MS);
        int lastIndex = options.daemons - 1;
        out.println("demo: killing daemon " + deployment.daemon(lastIndex).host() + ".");
        LocalDeployment.await(deployment.daemon(lastIndex).kill());
    }
}
