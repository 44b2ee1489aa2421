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

/** The recorded state of one program. It changes only by {@link #apply}, on the owner and at replay alike. */
public final class Program {
    private final ProgramId id;
    private final Created created;
    private final long createdAtMs;
    private final List<CallImage> calls = new ArrayList<>();
    private Status status = Status.OPEN;
    private String reason = "";
    private long endedAtMs;
    private long lastAtMs;
    private long spentTokens;
    private long attempts;

    private Program(ProgramId id, Created created, long createdAtMs) {
        this.id = id;
        this.created = created;
        this.createdAtMs = createdAtMs;
        this.lastAtMs = createdAtMs;
    }

    /** Where a program is in its life. */
    public enum Status {
        /** It may make calls. */
        OPEN,
        /** It ended by request. */
        ENDED,
        /** It was ended unfinished. */
        ABANDONED,
        /** It made no call for its time to live. */
        EXPIRED,
        /** A part of its record failed its checksum or is missing. */
        DAMAGED
    }

    /**
     * Returns the program that a first entry creates.
     *
     * @param entry an entry that holds a creation
     * @return the program
     */
    public static Program create(Entry entry) {
        return new Program(new ProgramId(entry.getProgram()), entry.getCreated(), entry.getAtMs());
    }

    /**
     * Returns the program that an image shows.
     *
     * @param image what {@link #image} returned
     * @return the program
     */
    public static Program of(Image image) {
        Program p = new Program(new ProgramId(image.getProgram()), image.getCreated(), image.getCreatedAtMs());
        p.calls.addAll(image.getCallsList());
        p.status = Status.valueOf(image.getStatus());
        p.reason = image.getReason();
        p.endedAtMs = image.getEndedAtMs();
        p.lastAtMs = image.getLastAtMs();
        p.spentTokens = image.getSpentTokens();
        p.attempts = image.getAttempts();
        return p;
    }

    /**
     * Returns a program of which nothing is left but its name.
     *
     * @param id the program
     * @param reason what was found
     * @return a damaged program
     */
    public static Program lost(ProgramId id, String reason) {
        Program p = new Program(id, Created.getDefaultInstance(), 0);
        p.status = Status.DAMAGED;
        p.reason = reason;
        return p;
    }

    /**
     * Returns the whole state.
     *
     * @return an image for a snapshot
     */
    public Image image() {
        return Image.newBuilder()
                .setProgram(id.value())
                .setCreated(created)
                .setCreatedAtMs(createdAtMs)
                .addAllCalls(calls)
                .setStatus(status.name())
                .setReason(reason)
                .setEndedAtMs(endedAtMs)
                .setLastAtMs(lastAtMs)
                .setSpentTokens(spentTokens)
                .setAttempts(attempts)
                .build();
    }

    /**
     * Applies an entry of this program other than its creation.
     *
     * @param entry the entry
     */
    public void apply(Entry entry) {
        lastAtMs = Math.max(lastAtMs, entry.getAtMs());
        switch (entry.getKindCase()) {
            case STARTED -> start(entry.getStarted());
            case DONE -> finish(entry.getDone());
            case SETTLED -> finish(entry.getSettled());
            case ENDED -> end(entry.getEnded(), entry.getAtMs());
            case DAMAGED -> damage(entry.getDamaged().getReason());
            default -> {
                // A second creation is refused before it is recorded; a removal concerns the holder of the program.
            }
        }
    }

    private void start(Started started) {
        if (started.getAttempt() <= attempts) {
            // A snapshot may already hold this entry.
            return;
        }
        attempts = Math.max(attempts, started.getAttempt());
        Started kept = started.getBody().isEmpty()
                ? started
                : started.toBuilder()
                        .clearBody()
                        .setBodyBytes(started.getBody().size())
                        .build();
        CallImage image = CallImage.newBuilder().setStarted(kept).build();
        if (started.getNumber() == calls.size()) {
            calls.set(calls.size() - 1, image);
        } else {
            calls.add(image);
        }
    }

    private void finish(Done done) {
        if (calls.isEmpty() || last().getStarted().getAttempt() != done.getAttempt()) {
            return;
        }
        spentTokens += done.getSpentTokens() - last().getDone().getSpentTokens();
        if (done.getRunState().equals("NOT_RUN")) {
            calls.remove(calls.size() - 1);
            return;
        }
        Done kept = done.getAnswer().isEmpty()
                ? done
                : done.toBuilder()
                        .clearAnswer()
                        .setAnswerBytes(done.getAnswer().size())
                        .build();
        // Where an earlier outcome was written says nothing of this one's answer.
        calls.set(
                calls.size() - 1, last().toBuilder().setDone(kept).clearAnswer().build());
    }

    private void end(Ended ended, long atMs) {
        if (status == Status.OPEN) {
            status = Status.valueOf(ended.getHow());
            endedAtMs = atMs;
        }
    }

    /**
     * Marks the program as damaged: it takes no further call.
     *
     * @param why what was found
     */
    public void damage(String why) {
        status = Status.DAMAGED;
        reason = why;
    }

    /**
     * Notes where an entry's content stands once the entry is durable.
     *
     * @param entry the entry
     * @param ref where it stands
     */
    public void locate(Entry entry, Ref ref) {
        switch (entry.getKindCase()) {
            case STARTED -> locateRequest(entry.getStarted(), ref);
            case DONE -> locateAnswer(entry.getDone(), ref);
            case SETTLED -> locateAnswer(entry.getSettled(), ref);
            default -> {
                // The other entries hold no content.
            }
        }
    }

    private void locateRequest(Started started, Ref ref) {
        call(started.getNumber())
                .filter(c -> c.getStarted().getAttempt() == started.getAttempt())
                .ifPresent(c -> calls.set(
                        index(started.getNumber()),
                        c.toBuilder().setRequest(ref).build()));
    }

    private void locateAnswer(Done done, Ref ref) {
        call(done.getNumber())
                .filter(c -> c.hasDone() && c.getDone().getAttempt() == done.getAttempt())
                .ifPresent(c -> calls.set(
                        index(done.getNumber()), c.toBuilder().setAnswer(ref).build()));
    }

    private static int index(long number) {
        return (int) number - 1;
    }

    private CallImage last() {
        return calls.get(calls.size() - 1);
    }

    /**
     * Returns a call by its number.
     *
     * @param number from 1
     * @return the call, or empty when there is none or it did not run
     */
    public Optional<CallImage> call(long number) {
        return number >= 1 && number <= calls.size() ? Optional.of(calls.get(index(number))) : Optional.empty();
    }

    /**
     * Returns the last call.
     *
     * @return the call, or null when there is none
     */
    public @Nullable CallImage lastCall() {
        return calls.isEmpty() ? null : last();
    }

    /**
     * Returns the calls in their order.
     *
     * @return the calls
     */
    public List<CallImage> calls() {
        return List.copyOf(calls);
    }

    /**
     * Returns the number of the call that has no record yet.
     *
     * @return the next number, from 1
     */
    public long nextNumber() {
        return calls.size() + 1L;
    }

    /**
     * Returns whether a call with this key is recorded.
     *
     * @param key an idempotency key
     * @return true when it is
     */
    public boolean hasKey(String key) {
        return calls.stream().anyMatch(c -> c.getStarted().getKey().equals(key));
    }

    /**
     * Returns the tokens reserved for the call under way.
     *
     * @return the reservation; 0 when none is under way
     */
    public long reservedTokens() {
        return calls.isEmpty() || last().hasDone() ? 0 : last().getStarted().getReservedTokens();
    }

    /**
     * Returns what counts against its budget now.
     *
     * @return spent and reserved tokens of its own calls
     */
    public long committedTokens() {
        return spentTokens + reservedTokens();
    }

    /**
     * Returns whether its last call was sent and nobody knows whether it ran.
     *
     * @return true when an operator must settle it
     */
    public boolean isInDoubt() {
        CallImage last = lastCall();
        return last != null
                && last.hasDone()
                && !last.getStarted().getRepeatable()
                && last.getDone().getRunState().equals("UNKNOWN");
    }

    /**
     * Returns whether its last call has no answer and may be sent again under the same key.
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
     * Returns the id.
     *
     * @return the id
     */
    public ProgramId id() {
        return id;
    }

    /**
     * Returns what was fixed at the creation.
     *
     * @return the creation's entry
     */
    public Created created() {
        return created;
    }

    /**
     * Returns the customer.
     *
     * @return the customer
     */
    public CustomerId customer() {
        return new CustomerId(created.getCustomer());
    }

    /**
     * Returns the state of its life.
     *
     * @return the status
     */
    public Status status() {
        return status;
    }

    /**
     * Returns why it is damaged.
     *
     * @return the reason; empty when it is not damaged
     */
    public String reason() {
        return reason;
    }

    /**
     * Returns when it ended.
     *
     * @return milliseconds since 1970; 0 while it is open
     */
    public long endedAtMs() {
        return endedAtMs;
    }

    /**
     * Returns when its last entry was recorded.
     *
     * @return milliseconds since 1970
     */
    public long lastAtMs() {
        return lastAtMs;
    }

    /**
     * Returns the tokens that its own calls spent.
     *
     * @return the tokens, without its sub-agents'
     */
    public long spentTokens() {
        return spentTokens;
    }

    /**
     * Returns how many calls were started so far, repeated ones counted again.
     *
     * @return the highest attempt
     */
    public long attempts() {
        return attempts;
    }
}
