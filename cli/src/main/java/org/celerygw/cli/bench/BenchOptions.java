package org.celerygw.cli.bench;

import java.net.URI;
import org.celerygw.core.helper.Check;

/**
 * What to measure.
 *
 * @param gateway a daemon's address for callers
 * @param callerKey the caller key to use there
 * @param direct the address of the engine or tool service that the daemon sends to
 * @param target the model's or the service's name
 * @param tool whether tool calls are sent; otherwise streamed model calls
 * @param repeatable whether the tool calls may be repeated
 * @param compare whether each call is also sent directly, in turn; otherwise all go through the daemon
 * @param workers how many callers send at once, each in a program of its own
 * @param warmupCalls calls of each worker that are not counted
 * @param calls calls of each worker that are counted
 * @param limitMs no call begins after this time
 * @param pauseMs how long a worker pauses before each call that counts, as programs do
 * @param promptChars the size of a model call's prompt
 * @param outputTokens the most tokens of an answer
 */
public record BenchOptions(
        URI gateway,
        String callerKey,
        URI direct,
        String target,
        boolean tool,
        boolean repeatable,
        boolean compare,
        int workers,
        int warmupCalls,
        int calls,
        long limitMs,
        long pauseMs,
        int promptChars,
        int outputTokens) {
    /**
     * Checks the numbers.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when one is out of range
     */
    public BenchOptions {
        Check.that(workers > 0, "workers must be positive");
        Check.that(calls > 0, "calls must be positive");
        Check.that(limitMs > 0, "limitMs must be positive");
        Check.that(outputTokens > 0, "outputTokens must be positive");
        Check.notNegative(pauseMs, "pauseMs");
        Check.notNegative(warmupCalls, "warmupCalls");
        Check.notNegative(promptChars, "promptChars");
    }

    /**
     * Returns options for streamed model calls, compared one at a time.
     *
     * @param gateway a daemon's address for callers
     * @param callerKey the caller key to use there
     * @param engine the engine's address
     * @param model the model's name
     * @return 200 calls to warm up, 500 that count with pauses of 50 ms, 1,000 characters of prompt and 16 tokens of answer
     */
    public static BenchOptions model(URI gateway, String callerKey, URI engine, String model) {
        return new BenchOptions(
                gateway, callerKey, engine, model, false, true, true, 1, 200, 500, 120_000, 50, 1_000, 16);
    }

    /**
     * Returns options for tool calls, compared one at a time.
     *
     * @param gateway a daemon's address for callers
     * @param callerKey the caller key to use there
     * @param service the service's address
     * @param name the service's name
     * @param repeatable whether the calls may be repeated
     * @return 200 calls to warm up and 500 that count with pauses of 50 ms
     */
    public static BenchOptions tool(URI gateway, String callerKey, URI service, String name, boolean repeatable) {
        return new BenchOptions(
                gateway, callerKey, service, name, true, repeatable, true, 1, 200, 500, 120_000, 50, 0, 1);
    }

    /**
     * Returns the same options for throughput: many workers, all through the daemon.
     *
     * @param newWorkers how many callers send at once
     * @param newCalls calls of each worker that are counted
     * @return the options
     */
    public BenchOptions throughput(int newWorkers, int newCalls) {
        return new BenchOptions(
                gateway,
                callerKey,
                direct,
                target,
                tool,
                repeatable,
                false,
                newWorkers,
                Math.min(warmupCalls, newCalls),
                newCalls,
                limitMs,
                0,
                promptChars,
                outputTokens);
    }

    /**
     * Returns the same options for another number and pace of calls.
     *
     * @param newCalls calls of each worker that are counted
     * @param newPauseMs how long a worker pauses before each of them
     * @return the options
     */
    public BenchOptions counting(int newCalls, long newPauseMs) {
        return new BenchOptions(
                gateway,
                callerKey,
                direct,
                target,
                tool,
                repeatable,
                compare,
                workers,
                warmupCalls,
                newCalls,
                limitMs,
                newPauseMs,
                promptChars,
                outputTokens);
    }
}
