package org.celerygw.core.owner;

import java.util.List;
import org.celerygw.core.budget.CustomerTallies;
import org.celerygw.core.gen.state.Entry;
import org.celerygw.core.gen.state.Tally;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.journal.Journal;
import org.celerygw.core.program.Program;
import org.celerygw.core.program.ProgramIndex;

/** Applies journal entries to the programs in memory and appends them to the journal. */
final class Recorder {
    private final ProgramIndex programs;
    private final Journal journal;
    private final CustomerTallies tallies = new CustomerTallies();
    private final CustomerTallies durableTallies = new CustomerTallies();
    private int recordsSinceSnapshot;

    Recorder(ProgramIndex programs, Journal journal) {
        this.programs = programs;
        this.journal = journal;
    }

    ProgramIndex programs() {
        return programs;
    }

    /** Runs a task once all entries appended so far are durable. */
    void afterAppended(Runnable task) {
        journal.runWhenDurable(task);
    }

    /**
     * Applies an entry to the programs at once and appends it to the journal.
     *
     * @param entry the entry; the customer and the change of its tokens are added here
     * @param onDurable runs once the entry is durable
     */
    void record(Entry entry, Runnable onDurable) {
        Program programBefore = programs.find(new ProgramId(entry.getProgram()));
        long changeTokens = programs.apply(entry);
        Entry talliedEntry = programBefore == null || changeTokens == 0
                ? entry
                : entry.toBuilder()
                        .setCustomer(programBefore.customer().value())
                        .setTallyTokens(changeTokens)
                        .build();
        tallies.add(talliedEntry);
        recordsSinceSnapshot++;
        journal.append(talliedEntry, (durableEntry, ref) -> {
            durableTallies.add(durableEntry);
            Program program = programs.find(new ProgramId(durableEntry.getProgram()));
            if (program != null) {
                program.setContentRef(durableEntry, ref);
            }
            onDurable.run();
        });
    }

    /** Returns the tokens that a customer has spent and reserved through this owner, by entries not yet durable too. */
    long committedTokens(CustomerId customer) {
        return tallies.tokensOf(customer);
    }

    /** Returns the tokens that customers have spent and reserved up to the last durable batch. */
    List<Tally> durableTallies() {
        return durableTallies.toList();
    }

    /** Returns the number of entries recorded since the last call of {@link #snapshotStarted}. */
    int recordsSinceSnapshot() {
        return recordsSinceSnapshot;
    }

    void snapshotStarted() {
        recordsSinceSnapshot = 0;
    }
}
