package org.celerygw.cli.experiment;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** A policy that starts every call at once on the engine that a function picks. */
final class BaselineGateway implements Gateway {
    private static final long NO_ENGINE_RETRY_MS = 1_000;

    private final Picker picker;
    private final List<Move> moves = new ArrayList<>();
    private List<EngineNode> listed = List.of();

    BaselineGateway(Picker picker) {
        this.picker = picker;
    }

    /** Picks an engine for a call. */
    @FunctionalInterface
    interface Picker {
        @Nullable
        EngineNode pick(SimCall call, List<EngineNode> listed);
    }

    @Override
    public long offer(SimCall call, long nowMs) {
        EngineNode node = listed.isEmpty() ? null : picker.pick(call, listed);
        if (node == null) {
            return NO_ENGINE_RETRY_MS;
        }
        moves.add(new Move(call.id, node, 0, 0));
        return TAKEN;
    }

    @Override
    public List<Move> next(long nowMs) {
        List<Move> out = List.copyOf(moves);
        moves.clear();
        return out;
    }

    @Override
    public boolean ended(SimCall call, boolean ok, long nowMs) {
        return !ok;
    }

    @Override
    public boolean cancelled(SimCall call) {
        return false;
    }

    @Override
    public void engines(List<EngineNode> now) {
        listed = now;
    }
}
