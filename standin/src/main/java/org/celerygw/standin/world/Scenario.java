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
 * Runs a script of failures, one command a line, and checks that all properties hold.
 *
 * <pre>
 * host a                   start a host
 * program p 5000           create a program with this budget in tokens
 * call p | tool p          make the next call, repeatable or not; goes on with one whose fate is not known
 * repeat p                 send all answered calls again
 * settle p | end p         an operator settles the call in doubt, or ends the program
 * crash a | pause a 8000 | stop a
 * store down | up | slow 300 | lossy | steady
 * backend losing | hanging | refusing | steady
 * tear                     cut the end off every stored segment
 * run 2000                 let milliseconds pass
 * expect p 3               the caller of the program has so many answers
 * </pre>
 */
public final class Scenario {
    private final String file;
    private final World world;
    private final Map<String, WorldHost> hosts = new HashMap<>();
    private final Map<String, Caller> callers = new HashMap<>();
    private int line;

    private Scenario(String file) {
        this.file = file;
        this.world = new World(1, Fuzz.SETTINGS, Mutation.NONE);
        world.logging(true);
    }

    /**
     * Runs a script from a file.
     *
     * @param path the file
     * @return the timeline, a line for each thing that happened
     * @throws IOException when the file can't be read
     * @throws GatewayException with code INVALID_ARGUMENT for a wrong line, and CONFLICT when an expectation or a
     *     property does not hold
     */
    public static List<String> run(Path path) throws IOException {
        return run(path.toString(), Files.readString(path));
    }

    /**
     * Runs a script.
     *
     * @param name the script's name, for errors
     * @param text its lines
     * @return the timeline, a line for each thing that happened
     * @throws GatewayException with code INVALID_ARGUMENT for a wrong line, and CONFLICT when an expectation or a
     *     property does not hold
     */
    public static List<String> run(String name, String text) {
        Scenario scenario = new Scenario(name);
        text.lines().forEach(scenario::read);
        return scenario.world.logged();
    }

    private void read(String raw) {
        line++;
        int comment = raw.indexOf('#');
        String plain = (comment < 0 ? raw : raw.substring(0, comment)).strip();
        if (plain.isEmpty()) {
            return;
        }
        world.log("> " + plain);
        act(new ArrayList<>(Splitter.on(' ').omitEmptyStrings().splitToList(plain)));
        List<Oracle.Violation> violations = world.oracle().violations();
        if (!violations.isEmpty()) {
            Oracle.Violation first = violations.get(0);
            throw failure(ErrorCode.CONFLICT, first.property() + " does not hold: " + first.detail());
        }
    }

    private GatewayException failure(ErrorCode code, String reason) {
        return new GatewayException(code, file + ":" + line + ": " + reason);
    }

    private void act(List<String> words) {
        switch (words.get(0)) {
            case "host" -> hosts.put(word(words, 1), world.startHost());
            case "program" -> program(words);
            case "call" -> caller(words).call(true);
            case "tool" -> caller(words).call(false);
            case "repeat" -> caller(words).repeatAll();
            case "settle" -> caller(words).settle();
            case "end" -> caller(words).end(false);
            case "crash" -> world.crash(host(words));
            case "pause" -> pause(words);
            case "stop" -> world.drain(host(words));
            case "store" -> store(words);
            case "backend" -> backend(words);
            case "tear" -> world.log(world.store().tear("segment/") + " segments are torn");
            case "run" -> world.time().run(number(words, 1));
            case "expect" -> expect(words);
            default -> throw failure(ErrorCode.INVALID_ARGUMENT, "unknown command " + words.get(0));
        }
    }

    private String word(List<String> words, int index) {
        if (index >= words.size()) {
            throw failure(ErrorCode.INVALID_ARGUMENT, words.get(0) + " needs " + index + " words after it");
        }
        return words.get(index);
    }

    private long number(List<String> words, int index) {
        String word = word(words, index);
        if (!word.chars().allMatch(Character::isDigit) || word.length() > 12) {
            throw failure(ErrorCode.INVALID_ARGUMENT, word + " is not a number");
        }
        return Long.parseLong(word);
    }

    private Caller caller(List<String> words) {
        Caller caller = callers.get(word(words, 1));
        if (caller == null) {
            throw failure(ErrorCode.INVALID_ARGUMENT, "there is no program " + words.get(1));
        }
        return caller;
    }

    private WorldHost host(List<String> words) {
        WorldHost host = hosts.get(word(words, 1));
        if (host == null) {
            throw failure(ErrorCode.INVALID_ARGUMENT, "there is no host " + words.get(1));
        }
        return host;
    }

    private void program(List<String> words) {
        Caller caller = world.newCaller("customer", null, number(words, 2));
        callers.put(word(words, 1), caller);
        caller.create();
    }

    private void pause(List<String> words) {
        WorldHost host = host(words);
        host.pause();
        world.time().after(number(words, 2), () -> {
            world.log(host.id() + " wakes up");
            host.resume();
        });
    }

    private void store(List<String> words) {
        switch (word(words, 1).toLowerCase(Locale.ROOT)) {
            case "down" -> world.store().down(true);
            case "up" -> world.store().down(false);
            case "slow" -> world.store().delay(number(words, 2));
            case "lossy" -> world.store().faults(0.3, 0.2);
            case "steady" -> {
                world.store().faults(0, 0);
                world.store().delay(5);
            }
            default -> throw failure(ErrorCode.INVALID_ARGUMENT, "a store is down, up, slow, lossy or steady");
        }
    }

    private void backend(List<String> words) {
        switch (word(words, 1)) {
            case "losing" -> world.backend().faults(0, 1, 0);
            case "hanging" -> world.backend().faults(0, 0, 1);
            case "refusing" -> world.backend().faults(1, 0, 0);
            case "steady" -> world.backend().faults(0, 0, 0);
            default -> throw failure(ErrorCode.INVALID_ARGUMENT, "a back end is losing, hanging, refusing or steady");
        }
    }

    private void expect(List<String> words) {
        int found = caller(words).answers();
        if (found != number(words, 2)) {
            throw failure(ErrorCode.CONFLICT, words.get(1) + " has " + found + " answers, not " + words.get(2));
        }
    }
}
