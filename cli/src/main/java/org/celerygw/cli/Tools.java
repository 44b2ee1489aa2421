package org.celerygw.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Subcommands that need no running daemon and read their own arguments: the stand-ins, the demo and the like. */
final class Tools {
    /** Every tool by its name. */
    static final Map<String, Tool> ALL = new TreeMap<>();

    static {
        ALL.put("standin", new Tool("run stand-ins for the platform, engines and tool services", StandinTool::run));
        ALL.put("bench", new Tool("measure what a daemon adds to a call", BenchTool::run));
        ALL.put("demo", new Tool("run the whole system in one process and kill a daemon", DemoTool::run));
        ALL.put("experiment", new Tool("compare policies, or measure membership, in model time", ExperimentTool::run));
        ALL.put("load", new Tool("drive programs through running daemons and audit them", LoadTool::run));
        ALL.put("explain", new Tool("print a request's way over all hosts from their logs", ExplainTool::run));
        ALL.put("scenario", new Tool("run scripted failures in model time", ScenarioTool::run));
        ALL.put("fuzz", new Tool("run random failures against the oracle", FuzzTool::run));
    }

    private Tools() {}

    /** One tool: a line of help and what it does. */
    record Tool(String help, Body body) {}

    /** What a tool does, given the arguments after its name; returns the exit code. */
    @FunctionalInterface
    interface Body {
        int run(List<String> args, PrintStream out);
    }
}
