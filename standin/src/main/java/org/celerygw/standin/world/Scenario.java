package org.celerygw.standin.world;

import com.google.common.base.Splitter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;

/**
 * Runs a failure script with one command per line and checks the properties of the {@link Oracle} after each line.
 *
 * <pre>
 * host a                   start a host
 * program p 5000           create a program with this budget in tokens
 * call p | tool p          submit the next call, repeatable or not; retries a call of unknown outcome
 * repeat p                 submit all answered calls again
 * settle p | end p         an operator settles the call of unknown outcome, or ends the program
 * crash a | pause a 8000 | stop a
 * store down | up | slow 300 | lossy | steady
 * backend losing | hanging | refusing | steady
 * tear                     truncate every stored segment
 * run 2000                 advance the simulated time by milliseconds
 * expect p 3               fail unless the caller has this number of answers
 * </pre>
 */
public final class Scenario {
    private final String scriptName;
    private final Simulation simulation;
    private final Map<String, SimulatedHost> hosts = new HashMap<>();
    private final Map<String, Caller> callers = new HashMap<>();
    private int lineNumber;

    private Scenario(String scriptName) {
        this.scriptName = scriptName;
        this.simulation = new Simulation(1, Fuzz.SETTINGS, Mutation.NONE);
        simulation.setLogging(true);
    }

    /**
     * Runs a script from a file.
     *
     * @param path the path of the script
     * @return the log of the run, one line per event
     * @throws IOException if the file cannot be read
     * @throws GatewayException with code INVALID_ARGUMENT for an invalid line, and CONFLICT if an expectation or a
     *     property does not hold
     */
    public static List<String> run(Path path) throws IOException {
        return run(path.toString(), Files.readString(path));
    }

    /**
     * Runs a script.
     *
     * @param name the name of the script, used in error messages
     * @param text the text of the script
     * @return the log of the run, one line per event
     * @throws GatewayException with code INVALID_ARGUMENT for an invalid line, and CONFLICT if an expectation or a
     *     property does not hold
     */
    public static List<String> run(String name, String text) {
        Scenario scenario = new Scenario(name);
        text.lines().forEach(scenario::runLine);
        return scenario.simulation.logLines();
    }

    private void runLine(String rawLine) {
        lineNumber++;
        int commentStart = rawLine.indexOf('#');
        String command = (commentStart < 0 ? rawLine : rawLine.substring(0, commentStart)).strip();
        if (command.isEmpty()) {
            return;
        }
        simulation.log("> " + command);
        runCommand(new ArrayList<>(Splitter.on(' ').omitEmptyStrings().splitToList(command)));
        List<Oracle.Violation> violations = simulation.oracle().violations();
        if (!violations.isEmpty()) {
            Oracle.Violation first = violations.get(0);
            throw failure(ErrorCode.CONFLICT, first.property() + " does not hold: " + first.detail());
        }
    }

    private GatewayException failure(ErrorCode code, String reason) {
        return new GatewayException(code, scriptName + ":" + lineNumber + ": " + reason);
    }

    private void runCommand(List<String> words) {
        switch (words.get(0)) {
            case "host" -> hosts.put(argument(words, 1), simulation.startHost());
            case "program" -> createProgram(words);
            case "call" -> findCaller(words).call(true);
            case "tool" -> findCaller(words).call(false);
            case "repeat" -> findCaller(words).repeatAllAnswered();
            case "settle" -> findCaller(words).settleUnknownOutcome();
            case "end" -> findCaller(words).endProgram(false);
            case "crash" -> simulation.crash(findHost(words));
            case "pause" -> pauseHost(words);
            case "stop" -> simulation.drain(findHost(words));
            case "store" -> setStoreState(words);
            case "backend" -> setBackendState(words);
            case "tear" -> simulation.log(simulation.store().truncateObjects("segment/") + " segments were truncated");
            case "run" -> simulation.clock().advance(numberArgument(words, 1));
            case "expect" -> checkAnswerCount(words);
            default -> throw failure(ErrorCode.INVALID_ARGUMENT, "unknown command " + words.get(0));
        }
    }

    private String argument(List<String> words, int index) {
        if (index >= words.size()) {
            throw failure(ErrorCode.INVALID_ARGUMENT, words.get(0) + " needs " + index + " arguments");
        }
        return words.get(index);
    }

    private long numberArgument(List<String> words, int index) {
        String argument = argument(words, index);
        if (!argument.chars().allMatch(Character::isDigit) || argument.length() > 12) {
            throw failure(ErrorCode.INVALID_ARGUMENT, argument + " is not a number of at most 12 digits");
        }
        return Long.parseLong(argument);
    }

    private Caller findCaller(List<String> words) {
        Caller caller = callers.get(argument(words, 1));
        if (caller == null) {
            throw failure(ErrorCode.INVALID_ARGUMENT, "there is no program " + words.get(1));
        }
        return caller;
    }

    private SimulatedHost findHost(List<String> words) {
        SimulatedHost host = hosts.get(argument(words, 1));
        if (host == null) {
            throw failure(ErrorCode.INVALID_ARGUMENT, "there is no host " + words.get(1));
        }
        return host;
    }

    private void createProgram(List<String> words) {
        Caller caller = simulation.newCaller("customer", null, numberArgument(words, 2));
        callers.put(argument(words, 1), caller);
        caller.create();
    }

    private void pauseHost(List<String> words) {
        SimulatedHost host = findHost(words);
        host.pause();
        simulation.clock().schedule(numberArgument(words, 2), () -> {
            simulation.log(host.id() + " resumes");
            host.resume();
        });
    }

    private void setStoreState(List<String> words) {
        switch (argument(words, 1).toLowerCase(Locale.ROOT)) {
            case "down" -> simulation.store().setDown(true);
            case "up" -> simulation.store().setDown(false);
            case "slow" -> simulation.store().setMeanDelay(numberArgument(words, 2));
            case "lossy" -> simulation.store().setFaultProbabilities(0.3, 0.2);
            case "steady" -> {
                simulation.store().setFaultProbabilities(0, 0);
                simulation.store().setMeanDelay(5);
            }
            default -> throw failure(ErrorCode.INVALID_ARGUMENT, "expected store down, up, slow, lossy or steady");
        }
    }

    private void setBackendState(List<String> words) {
        switch (argument(words, 1)) {
            case "losing" -> simulation.backend().setFaultProbabilities(0, 1, 0);
            case "hanging" -> simulation.backend().setFaultProbabilities(0, 0, 1);
            case "refusing" -> simulation.backend().setFaultProbabilities(1, 0, 0);
            case "steady" -> simulation.backend().setFaultProbabilities(0, 0, 0);
            default ->
                throw failure(ErrorCode.INVALID_ARGUMENT, "expected backend losing, hanging, refusing or steady");
        }
    }

    private void checkAnswerCount(List<String> words) {
        int answers = findCaller(words).answerCount();
        if (answers != numberArgument(words, 2)) {
            throw failure(ErrorCode.CONFLICT, words.get(1) + " has " + answers + " answers, expected " + words.get(2));
        }
    }
}
