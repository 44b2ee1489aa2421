package org.celerygw.cli.experiment;

import org.celerygw.standin.model.ProgramTrace;
import org.jspecify.annotations.Nullable;

/** A program or sub-agent under way. */
final class ProgramRun {
    final ProgramTrace trace;
    final @Nullable ProgramRun parent;
    final ProgramRun root;
    int turn;
    int openSubAgents;
    boolean toolDone;
    long attainedTokens;
    boolean failed;

    ProgramRun(ProgramTrace trace, @Nullable ProgramRun parent) {
        this.trace = trace;
        this.parent = parent;
        this.root = parent == null ? this : parent.root;
        this.attainedTokens = parent == null ? 0 : parent.attainedTokens;
    }

    boolean lastTurn() {
        return turn == trace.turns().size() - 1;
    }
}
