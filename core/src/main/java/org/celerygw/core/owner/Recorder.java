package org.celerygw.core.owner;

import org.celerygw.core.gen.state.Entry;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.journal.Journal;
import org.celerygw.core.program.Program;
import org.celerygw.core.program.Programs;

/** Changes the state by entries, and has each entry written. */
final class Recorder {
    private final Programs programs;
    private final Journal journal;

    Recorder(Programs programs, Journal journal) {
        this.programs = programs;
        this.journal = journal;
    }

    Programs programs() {
        return programs;
    }

    void afterAppended(Runnable task) {
        journal.afterAppended(task);
    }

    /** Applies an entry now and runs the task once it is durable. */
    void record(Entry entry, Runnable durable) {
        programs.apply(entry);
        journal.append(entry, (e, ref) -> {
            Program p = programs.find(new ProgramId(e.getProgram()));
            if (p != null) {
                p.locate(e, ref);
            }
            durable.run();
        });
    }
}
