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

/** The programs of some slots. */
public final class Programs {
    private final Map<Slot, NavigableMap<ProgramId, Program>> slots = new HashMap<>();
    private int count;

    /**
     * Applies an entry; one that is already in the state changes nothing.
     *
     * @param entry the entry
     * @return by how much spent and reserved tokens changed
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
     * Adds a program, in place of one with the same id.
     *
     * @param program the program
     */
    public void put(Program program) {
        NavigableMap<ProgramId, Program> slot =
                slots.computeIfAbsent(program.id().slot(), s -> new TreeMap<>());
        if (slot.put(program.id(), program) == null) {
            count++;
        }
    }

    private void remove(ProgramId id) {
        NavigableMap<ProgramId, Program> slot = slots.get(id.slot());
        if (slot != null && slot.remove(id) != null) {
            count--;
        }
    }

    /**
     * Returns a program.
     *
     * @param id its id
     * @return the program, or null when it is not here
     */
    public @Nullable Program find(ProgramId id) {
        NavigableMap<ProgramId, Program> slot = slots.get(id.slot());
        return slot == null ? null : slot.get(id);
    }

    /**
     * Returns the programs of a slot.
     *
     * @param slot the slot
     * @return the programs in the order of their ids
     */
    public List<Program> in(Slot slot) {
        NavigableMap<ProgramId, Program> here = slots.get(slot);
        return here == null ? List.of() : List.copyOf(here.values());
    }

    /**
     * Forgets the programs of a slot.
     *
     * @param slot the slot
     */
    public void drop(Slot slot) {
        NavigableMap<ProgramId, Program> gone = slots.remove(slot);
        count -= gone == null ? 0 : gone.size();
    }

    /**
     * Returns a program's sub-agents at every depth.
     *
     * @param id the program
     * @return the sub-agents
     */
    public Collection<Program> descendants(ProgramId id) {
        NavigableMap<ProgramId, Program> slot = slots.get(id.slot());
        if (slot == null) {
            return List.of();
        }
        String prefix = id.value() + "/";
        SortedMap<ProgramId, Program> tail = slot.tailMap(id, false);
        return tail.values().stream()
                .filter(p -> p.id().value().startsWith(prefix))
                .toList();
    }

    /**
     * Returns what a family of programs spent and reserved.
     *
     * @param root the program at the top
     * @return tokens that count against its budget
     */
    public long committedTokens(ProgramId root) {
        Program top = find(root);
        long own = top == null ? 0 : top.committedTokens();
        return own
                + descendants(root).stream().mapToLong(Program::committedTokens).sum();
    }

    /**
     * Returns all programs.
     *
     * @return the programs in the order of their ids
     */
    public List<Program> all() {
        return slots.values().stream()
                .flatMap(slot -> slot.values().stream())
                .sorted(Comparator.comparing(Program::id))
                .toList();
    }

    /**
     * Returns how many programs there are.
     *
     * @return the count
     */
    public int size() {
        return count;
    }
}
