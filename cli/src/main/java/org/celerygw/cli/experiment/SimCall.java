package org.celerygw.cli.experiment;

import org.celerygw.standin.model.ModelCall;
import org.jspecify.annotations.Nullable;

/** A call of a program as the simulation follows it. */
final class SimCall {
    final long id;
    final ProgramRun run;
    final int host;
    final int promptTokens;
    final int outputTokens;
    final long[] hashes;
    final double offeredMs;
    double startedMs;
    int attempts;

    @Nullable
    EngineNode node;

    SimCall(long id, ProgramRun run, int host, double nowMs) {
        this.id = id;
        this.run = run;
        this.host = host;
        this.promptTokens = run.trace.promptTokens(run.turn);
        this.outputTokens = run.trace.turns().get(run.turn).outputTokens();
        this.hashes = run.trace.blockHashes(promptTokens + outputTokens);
        this.offeredMs = nowMs;
    }

    ModelCall toModelCall(int priority) {
        return new ModelCall(id, run.trace.id(), hashes, promptTokens, outputTokens, priority);
    }

    /** The prompt tokens that must be computed even if all history were in the cache. */
    int freshTokens() {
        return run.trace.turns().get(run.turn).inputTokens();
    }
}
