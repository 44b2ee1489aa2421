package org.celerygw.gateway.forward;

import java.io.ByteArrayOutputStream;
import org.celerygw.core.routes.RouteKind;
import org.celerygw.core.turns.Chain;
import org.celerygw.core.turns.Grant;
import org.celerygw.core.turns.KeptTurn;
import org.celerygw.core.turns.Reservation;
import org.jspecify.annotations.Nullable;

/** What the store has to do with a request: the program's budget and the history that a turn continues. */
final class Turn {
    private static final long SHORTEST_KEEP_MS = 60_000;
    private static final long NO_BUDGET = Long.MAX_VALUE / 4;
    private static final int MOST_INPUT_BYTES = 400_000;

    private final Exchange x;
    private final boolean budgeted;
    private final boolean keeps;
    private final String program;
    private final long budgetTokens;
    private Runnable onGranted = () -> {};
    private boolean granted;
    private boolean settled;
    private @Nullable Chain chain;

    Turn(Exchange x) {
        this.x = x;
        boolean generates = x.route.kind() == RouteKind.STREAMING;
        this.keeps = generates && x.route.keepsTurns();
        this.budgeted = keeps || (generates && x.call.budgeted());
        this.program = x.call.program().isEmpty() ? "alone-" + x.call.id() : x.call.program();
        this.budgetTokens = x.call.budgeted() ? x.call.budgetTokens() : NO_BUDGET;
        this.granted = !budgeted;
    }

    void onGranted(Runnable task) {
        onGranted = task;
    }

    /** Returns whether events may go to the client. */
    boolean granted() {
        return granted;
    }

    String lastServer() {
        return chain == null ? "" : chain.lastServer();
    }

    /** Returns the body for the backend server: the history, then the new input. */
    byte[] body() {
        if (chain == null || chain.history().length == 0) {
            return x.request.body();
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.writeBytes(chain.history());
        body.writeBytes(x.request.body());
        return body.toByteArray();
    }

    /** Reads the history and reserves tokens; the send goes out as soon as that is safe. */
    void prepare() {
        if (keeps && x.request.body().length > MOST_INPUT_BYTES) {
            x.refuse(new Forwarder.Refusal(413, "the input is too large to be kept", 0));
            return;
        }
        if (keeps && !x.call.previousTurn().isEmpty()) {
            x.f.ledger.chain(program, x.call.previousTurn(), x.lastStartMs(), this::continues);
        } else {
            continues(Chain.START);
        }
    }

    private void continues(Chain known) {
        if (x.over()) {
            return;
        }
        switch (known.status()) {
            case FOUND -> {
                chain = known;
                reserve();
            }
            case MISSING -> {
                settled = true;
                x.refuse(new Forwarder.Refusal(404, "no such previous turn in any partition", 0));
            }
            case UNAVAILABLE -> {
                settled = true;
                x.storeUnavailable();
            }
        }
    }

    private void reserve() {
        if (!budgeted) {
            x.send();
            return;
        }
        Call call = x.call;
        // While writes are confirmed, the server reads the prompt meanwhile; events wait for the reservation.
        boolean meanwhile =
                x.f.ledger.answering(program) && x.f.ledger.likelyFits(program, call.maxTokens(), budgetTokens);
        Reservation wanted = new Reservation(
                program, call.id(), call.maxTokens(), budgetTokens, Math.max(SHORTEST_KEEP_MS, x.route.retentionMs()));
        // Not sent yet, it is refused as soon as it could no longer be answered in time.
        x.f.ledger.reserve(wanted, meanwhile ? x.deadlineMs() : x.lastStartMs(), this::reserved);
        if (meanwhile && !granted) {
            x.send();
        }
    }

    private void reserved(Grant grant) {
        if (x.over()) {
            return;
        }
        switch (grant) {
            case DONE -> {
                granted = true;
                if (x.sends() == 0) {
                    x.send();
                }
                onGranted.run();
            }
            case SPENT -> {
                settled = true;
                if (x.mayHaveRun()) {
                    x.fail(502, "the budget is spent");
                } else {
                    x.refuse(new Forwarder.Refusal(402, "the budget is spent", 0));
                }
            }
            case UNAVAILABLE -> {
                settled = true;
                x.storeUnavailable();
            }
        }
    }

    /** Ends the turn after a whole stream; the task runs once the client may see the end. */
    void finish(Output output, Runnable task) {
        if (!granted) {
            onGranted = () -> finish(output, task);
            return;
        }
        output.flush();
        Call call = x.call;
        settled = true;
        long tokens = tokens(output.events());
        if (!keeps) {
            if (budgeted) {
                x.f.ledger.settleLater(program, call.id(), tokens);
            }
            task.run();
            return;
        }
        KeptTurn kept = kept(chain == null ? Chain.START : chain, output.text());
        x.f.ledger.settle(program, call.id(), tokens, kept, x.deadlineMs(), grant -> {
            if (x.over()) {
                return;
            }
            if (grant == Grant.DONE) {
                task.run();
            } else {
                x.storeUnavailable();
            }
        });
    }

    /** Returns the turn to keep; one that continues another program's holds the history itself. */
    private KeptTurn kept(Chain from, byte[] text) {
        long nowMs = x.f.clock.nowMs();
        return from.within(program)
                ? new KeptTurn(from.program(), from.turn(), x.request.body(), text, x.server(), nowMs)
                : new KeptTurn("", "", body(), text, x.server(), nowMs);
    }

    /** Ends the turn of a request that was given up after so many events. */
    void end(int events) {
        if (budgeted && !settled) {
            settled = true;
            x.f.ledger.settle(program, x.call.id(), tokens(events), null, x.f.clock.nowMs() + 1_000, grant -> {});
        }
    }

    private long tokens(int events) {
        return (long) events * (x.service == null ? 1 : Math.max(1, x.service.tokensPerEvent()));
    }
}
