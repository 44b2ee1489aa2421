package org.celerygw.core.owner;

import java.util.List;
import org.celerygw.core.budget.Tallies;
import org.celerygw.core.gen.state.Entry;
import org.celerygw.core.gen.state.Tally;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.journal.Journal;
import org.celerygw.core.program.Program;
import org.celerygw.core.program.Programs;

/** Changes the state by entries, and has each entry written. */
final class Recorder {
    private final Programs programs;
    private final Journal journal;
    private final Tallies tallies = new Tallies();
    private final Tallies durableTallies = new Tallies();
    private int sinceSnapshot;

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
    void record(Entry bare, Runnable durable) {
        Program before = programs.find(new ProgramId(bare.getProgram()));
        long change = programs.apply(bare);
        Entry entry = before == null || change == 0
                ? bare
                : bare.toBuilder()
                        .setCustomer(before.customer().value())
                        .setTallyTokens(change)
                        .build();
        tallies.add(entry);
        sinceSnapshot++;
        journal.append(entry, (e, ref) -> {
            durableTallies.add(e);
            Program p = programs.find(new ProgramId(e.getProgram()));
            if (p != null) {
                p.locate(e, ref);
            }
            durable.run();
        });
    }

    /** Returns what a customer spent and reserved through this owner, entries under way included. */
    long tally(CustomerId customer) {
        return tallies.of(customer);
    }

    /** Returns what customers spent and reserved up to the last durable batch. */
    List<Tally> durableTallies() {
        return durableTallies.list();
    }

    int sinceSnapshot() {
        return sinceSnapshot;
    }

    void snapshotBegun() {
        sinceSnapshot = 0;
    }
}
