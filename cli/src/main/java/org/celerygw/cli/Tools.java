package org.celerygw.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Subcommands that parse their own arguments and use no operator connection, such as the stand-ins and the demo. */
final class Tools {
    /** The tools by name, in alphabetical order. */
    static final Map<String, Tool> ALL = new TreeMap<>();

    static {
        ALL.put("standin", new Tool("run stand-ins for the platform, engines and tool services", StandinTool::run));
        ALL.put("bench", new Tool("measure the latency that a daemon adds to a call", BenchTool::run));
        ALL.put("demo", new Tool("run the complete system in one process and kill a daemon", DemoTool::run));
        ALL.put(
                "experiment",
                new Tool(
                        "compare policies, or measure membership or the journal, in simulated time",
                        ExperimentTool::run));
        ALL.put("load", new Tool("send the calls of programs to running daemons and audit the outcome", LoadTool::run));
        ALL.put("explain", new Tool("print the log lines of a request from the logs of all hosts", ExplainTool::run));
        ALL.put("scenario", new Tool("run scripted failures in simulated time", ScenarioTool::run));
        ALL.put("fuzz", new Tool("run random failures and check them with the oracle", FuzzTool::run));
    }

    private Tools() {}

    /** A tool: its line in the help text and its entry point. */
    record Tool(String help, EntryPoint entryPoint) {}

    /** Runs a tool with the arguments that follow its name, and returns the exit code. */
    @FunctionalInterface
    interface EntryPoint {
        int run(List<String> args, PrintStream out);
    }
}
