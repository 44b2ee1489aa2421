package org.celerygw.core.program;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.celerygw.core.gen.state.CallImage;
import org.celerygw.core.gen.state.Created;
import org.celerygw.core.gen.state.Done;
import org.celerygw.core.gen.state.Ended;
import org.celerygw.core.gen.state.Entry;
import org.celerygw.core.gen.state.Image;
import org.celerygw.core.gen.state.Ref;
import org.celerygw.core.gen.state.Started;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.ProgramId;
import org.jspecify.annotations.Nullable;

/**
 * The recorded state of one program. Apart from references to content and damage found during replay, it changes only
 * by {@link #apply}, which is used on the owner and during replay alike.
 */
public final class Program {
    private final ProgramId id;
    private final Created created;
    private final long createdAtMs;
    private final List<CallImage> calls = new ArrayList<>();
    private Status status = Status.OPEN;
    private String damageReason = "";
    private long endedAtMs;
    private long lastEntryAtMs;
    private long spentTokens;
    private long attemptCount;

    private Program(ProgramId id, Created created, long createdAtMs) {
        this.id = id;
        this.created = created;
        this.createdAtMs = createdAtMs;
        this.lastEntryAtMs = createdAtMs;
    }

    /** The life-cycle state of a program. */
    public enum Status {
        /** The program may make calls. */
        OPEN,
        /** The program was ended on request. */
        ENDED,
        /** The program was ended on request, and its unfinished calls were abandoned. */
        ABANDONED,
        /** The program was ended because it was idle for its time to live. */
        EXPIRED,
        /** Part of the program's record is missing or failed its checksum. */
        DAMAGED
    }

    /**
     * Returns a new program.
     *
     * @param entry an entry of kind {@link Created}
     * @return the open program, without calls
     */
    public static Program create(Entry entry) {
        return new Program(new ProgramId(entry.getProgram()), entry.getCreated(), entry.getAtMs());
    }

    /**
     * Restores a program from a snapshot.
     *
     * @param image the state that {@link #toImage} returned
     * @return the program in that state
     */
    public static Program fromImage(Image image) {
        Program p = new Program(new ProgramId(image.getProgram()), image.getCreated(), image.getCreatedAtMs());
        p.calls.addAll(image.getCallsList());
        p.status = Status.valueOf(image.getStatus());
        p.damageReason = image.getReason();
        p.endedAtMs = image.getEndedAtMs();
        p.lastEntryAtMs = image.getLastAtMs();
        p.spentTokens = image.getSpentTokens();
        p.attemptCount = image.getAttempts();
        return p;
    }

    /**
     * Returns a damaged program of which only the id is known.
     *
     * @param id the program
     * @param reason the damage that was found
     * @return the program, with the status {@link Status#DAMAGED}
     */
    public static Program createDamaged(ProgramId id, String reason) {
        Program p = new Program(id, Created.getDefaultInstance(), 0);
        p.status = Status.DAMAGED;
        p.damageReason = reason;
        return p;
    }

    /**
     * Returns the complete state for a snapshot.
     *
     * @return the image, from which {@link #fromImage} restores the program
     */
    public Image toImage() {
        return Image.newBuilder()
                .setProgram(id.value())
                .setCreated(created)
                .setCreatedAtMs(createdAtMs)
                .addAllCalls(calls)
                .setStatus(status.name())
                .setReason(damageReason)
                .setEndedAtMs(endedAtMs)
                .setLastAtMs(lastEntryAtMs)
                .setSpentTokens(spentTokens)
                .setAttempts(attemptCount)
                .build();
    }

    /**
     * Applies an entry of this program.
     *
     * @param entry the entry, of any kind other than {@link Created}
     */
    public void apply(Entry entry) {
        lastEntryAtMs = Math.max(lastEntryAtMs, entry.getAtMs());
        switch (entry.getKindCase()) {
            case STARTED -> applyStarted(entry.getStarted());
            case DONE -> applyDone(entry.getDone());
            case SETTLED -> applyDone(entry.getSettled());
            case ENDED -> applyEnded(entry.getEnded(), entry.getAtMs());
            case DAMAGED -> markDamaged(entry.getDamaged().getReason());
            default -> {
                // A second creation is rejected before it is recorded; a removal is applied by ProgramIndex.
            }
        }
    }

    private void applyStarted(Started started) {
        if (started.getAttempt() <= attemptCount) {
            // The snapshot that this state was restored from may already include the entry.
            return;
        }
        attemptCount = Math.max(attemptCount, started.getAttempt());
        Started withoutBody = started.getBody().isEmpty()
                ? started
                : started.toBuilder()
                        .clearBody()
                        .setBodyBytes(started.getBody().size())
                        .build();
        CallImage image = CallImage.newBuilder().setStarted(withoutBody).build();
        if (started.getNumber() == calls.size()) {
            calls.set(calls.size() - 1, image);
        } else {
            calls.add(image);
        }
    }

    private void applyDone(Done done) {
        if (calls.isEmpty() || last().getStarted().getAttempt() != done.getAttempt()) {
            return;
        }
        spentTokens += done.getSpentTokens() - last().getDone().getSpentTokens();
        if (done.getRunState().equals("NOT_RUN")) {
            calls.remove(calls.size() - 1);
            return;
        }
        Done withoutAnswer = done.getAnswer().isEmpty()
                ? done
                : done.toBuilder()
                        .clearAnswer()
                        .setAnswerBytes(done.getAnswer().size())
                        .build();
        // A reference to the answer of an earlier outcome is not valid for this one.
        calls.set(
                calls.size() - 1,
                last().toBuilder().setDone(withoutAnswer).clearAnswer().build());
    }

    private void applyEnded(Ended ended, long atMs) {
        if (status == Status.OPEN) {
            status = Status.valueOf(ended.getHow());
            endedAtMs = atMs;
        }
    }

    /**
     * Marks the program as damaged, after which it accepts no calls.
     *
     * @param reason the damage that was found
     */
    public void markDamaged(String reason) {
        status = Status.DAMAGED;
        damageReason = reason;
    }

    /**
     * Stores the reference under which the body or answer of a durable entry can be read.
     *
     * @param entry the entry, already applied
     * @param ref the entry's position in its journal
     */
    public void setContentRef(Entry entry, Ref ref) {
        switch (entry.getKindCase()) {
            case STARTED -> setRequestRef(entry.getStarted(), ref);
            case DONE -> setAnswerRef(entry.getDone(), ref);
            case SETTLED -> setAnswerRef(entry.getSettled(), ref);
            default -> {
                // Entries of the other kinds have neither a body nor an answer.
            }
        }
    }

    private void setRequestRef(Started started, Ref ref) {
        call(started.getNumber())
                .filter(c -> c.getStarted().getAttempt() == started.getAttempt())
                .ifPresent(c -> calls.set(
                        indexOf(started.getNumber()),
                        c.toBuilder().setRequest(ref).build()));
    }

    private void setAnswerRef(Done done, Ref ref) {
        call(done.getNumber())
                .filter(c -> c.hasDone() && c.getDone().getAttempt() == done.getAttempt())
                .ifPresent(c -> calls.set(
                        indexOf(done.getNumber()), c.toBuilder().setAnswer(ref).build()));
    }

    private static int indexOf(long callNumber) {
        return (int) callNumber - 1;
    }

    private CallImage last() {
        return calls.get(calls.size() - 1);
    }

    /**
     * Returns a call by its number.
     *
     * @param number the call's number within the program, from 1
     * @return the call, or empty when it was not recorded or did not run
     */
    public Optional<CallImage> call(long number) {
        return number >= 1 && number <= calls.size() ? Optional.of(calls.get(indexOf(number))) : Optional.empty();
    }

    /**
     * Returns the most recent call.
     *
     * @return the call, or null when none is recorded
     */
    public @Nullable CallImage lastCall() {
        return calls.isEmpty() ? null : last();
    }

    /**
     * Returns the recorded calls.
     *
     * @return the calls ordered by number
     */
    public List<CallImage> calls() {
        return List.copyOf(calls);
    }

    /**
     * Returns the number that the next call will have.
     *
     * @return the number after the last recorded call, from 1
     */
    public long nextCallNumber() {
        return calls.size() + 1L;
    }

    /**
     * Returns whether a call with this idempotency key is recorded.
     *
     * @param key an idempotency key
     * @return true when a recorded call has the key
     */
    public boolean hasIdempotencyKey(String key) {
        return calls.stream().anyMatch(c -> c.getStarted().getKey().equals(key));
    }

    /**
     * Returns the tokens reserved for the call in progress.
     *
     * @return the reservation; 0 when no call is in progress
     */
    public long reservedTokens() {
        return calls.isEmpty() || last().hasDone() ? 0 : last().getStarted().getReservedTokens();
    }

    /**
     * Returns the tokens that count against the program's budget.
     *
     * @return tokens spent and reserved by its own calls, without its sub-agents'
     */
    public long committedTokens() {
        return spentTokens + reservedTokens();
    }

    /**
     * Returns whether the last call is not repeatable and it is not known whether it ran.
     *
     * @return true when an operator must settle the call
     */
    public boolean isInDoubt() {
        CallImage last = lastCall();
        return last != null
                && last.hasDone()
                && !last.getStarted().getRepeatable()
                && last.getDone().getRunState().equals("UNKNOWN");
    }

    /**
     * Returns whether the last call failed and may be sent again under the same idempotency key.
     *
     * @return true when a retry may start a new attempt
     */
    public boolean isRetryable() {
        CallImage last = lastCall();
        return last != null
                && last.hasDone()
                && last.getStarted().getRepeatable()
                && !last.getDone().getCode().isEmpty();
    }

    /**
     * Returns the program's id.
     *
     * @return the id, which also determines the slot
     */
    public ProgramId id() {
        return id;
    }

    /**
     * Returns the properties that were set when the program was created.
     *
     * @return the content of the creation entry; the default instance when it was lost
     */
    public Created created() {
        return created;
    }

    /**
     * Returns the customer that the program belongs to.
     *
     * @return the customer's id
     */
    public CustomerId customer() {
        return new CustomerId(created.getCustomer());
    }

    /**
     * Returns the life-cycle state.
     *
     * @return the status
     */
    public Status status() {
        return status;
    }

    /**
     * Returns why the program is damaged.
     *
     * @return the reason; empty unless the status is {@link Status#DAMAGED}
     */
    public String damageReason() {
        return damageReason;
    }

    /**
     * Returns when the program was ended.
     *
     * @return milliseconds since 1970; 0 if it has not been ended
     */
    public long endedAtMs() {
        return endedAtMs;
    }

    /**
     * Returns when the program's most recent entry was recorded.
     *
     * @return milliseconds since 1970
     */
    public long lastEntryAtMs() {
        return lastEntryAtMs;
    }

    /**
     * Returns the tokens spent by the program's own calls.
     *
     * @return the tokens, without its sub-agents' and without reservations
     */
    public long spentTokens() {
        return spentTokens;
    }

    /**
     * Returns the number of attempts started so far; each retry of a call counts again.
     *
     * @return the highest attempt number, 0 before the first call
     */
    public long attemptCount() {
        return attemptCount;
    }
}
