package org.celerygw.core.program;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.SortedMap;
import java.util.TreeMap;
import org.celerygw.core.gen.state.Entry;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.id.Slot;
import org.jspecify.annotations.Nullable;

/** An in-memory index of programs by slot and id. */
public final class ProgramIndex {
    private final Map<Slot, NavigableMap<ProgramId, Program>> programsBySlot = new HashMap<>();
    private int size;

    /**
     * Applies an entry to its program. Applying an entry that the state already includes changes nothing, and entries of
     * unknown programs are ignored.
     *
     * @param entry the entry
     * @return the change of the program's spent and reserved tokens; 0 for a creation or removal
     */
    public long apply(Entry entry) {
        ProgramId id = new ProgramId(entry.getProgram());
        Program program = find(id);
        if (entry.getKindCase() == Entry.KindCase.CREATED && program == null) {
            put(Program.create(entry));
        } else if (entry.getKindCase() == Entry.KindCase.REMOVED) {
            remove(id);
        } else if (program != null) {
            long before = program.committedTokens();
            program.apply(entry);
            return program.committedTokens() - before;
        }
        return 0;
    }

    /**
     * Adds a program or replaces the one with the same id.
     *
     * @param program the program
     */
    public void put(Program program) {
        NavigableMap<ProgramId, Program> slot =
                programsBySlot.computeIfAbsent(program.id().slot(), s -> new TreeMap<>());
        if (slot.put(program.id(), program) == null) {
            size++;
        }
    }

    private void remove(ProgramId id) {
        NavigableMap<ProgramId, Program> slot = programsBySlot.get(id.slot());
        if (slot != null && slot.remove(id) != null) {
            size--;
        }
    }

    /**
     * Finds a program by its id.
     *
     * @param id the program's id
     * @return the program, or null when the index does not contain it
     */
    public @Nullable Program find(ProgramId id) {
        NavigableMap<ProgramId, Program> slot = programsBySlot.get(id.slot());
        return slot == null ? null : slot.get(id);
    }

    /**
     * Returns the programs of a slot.
     *
     * @param slot the slot
     * @return the programs ordered by id
     */
    public List<Program> inSlot(Slot slot) {
        NavigableMap<ProgramId, Program> inSlot = programsBySlot.get(slot);
        return inSlot == null ? List.of() : List.copyOf(inSlot.values());
    }

    /**
     * Removes all programs of a slot.
     *
     * @param slot the slot
     */
    public void removeSlot(Slot slot) {
        NavigableMap<ProgramId, Program> removed = programsBySlot.remove(slot);
        size -= removed == null ? 0 : removed.size();
    }

    /**
     * Returns a program's sub-agents at all depths.
     *
     * @param id the program; it need not exist itself
     * @return the sub-agents ordered by id, without the program itself
     */
    public Collection<Program> descendants(ProgramId id) {
        NavigableMap<ProgramId, Program> slot = programsBySlot.get(id.slot());
        if (slot == null) {
            return List.of();
        }
        String prefix = id.value() + "/";
        SortedMap<ProgramId, Program> following = slot.tailMap(id, false);
        return following.values().stream()
                .filter(p -> p.id().value().startsWith(prefix))
                .toList();
    }

    /**
     * Returns the tokens spent and reserved by a program and all its sub-agents.
     *
     * @param root the top-level program
     * @return the tokens that count against its budget
     */
    public long committedTokens(ProgramId root) {
        Program program = find(root);
        long own = program == null ? 0 : program.committedTokens();
        return own
                + descendants(root).stream().mapToLong(Program::committedTokens).sum();
    }

    /**
     * Returns the programs of all slots.
     *
     * @return the programs ordered by id
     */
    public List<Program> all() {
        return programsBySlot.values().stream()
                .flatMap(slot -> slot.values().stream())
                .sorted(Comparator.comparing(Program::id))
                .toList();
    }

    /**
     * Returns the number of programs in all slots.
     *
     * @return the number of programs
     */
    public int size() {
        return size;
    }
}
