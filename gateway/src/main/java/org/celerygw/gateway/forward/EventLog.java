package org.celerygw.gateway.forward;

import com.google.protobuf.ByteString;
import java.util.List;
import org.celerygw.core.events.ServerSentEvent;
import org.celerygw.core.gen.turns.AttemptLog;
import org.celerygw.core.gen.turns.LoggedEvent;
import org.celerygw.core.turns.ReceivedStream;
import org.celerygw.core.turns.StreamLog;
import org.celerygw.core.turns.UpdateResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the events of a stream that is kept and can be resumed before the client gets them, so that a turn that the client
 * resumes, at this host or another, is kept whole. Logs nothing for other streams.
 *
 * <p>The first part of a run must be logged, so that the log of what was given up before is not taken for what the client
 * gets. Later ones are held up for a while at most; after that, the rest of the stream is passed on without being logged,
 * and cannot be resumed.
 */
final class EventLog {
    private static final Logger LOG = LoggerFactory.getLogger("request");
    /** Well below the pause after which clients abandon a stream. */
    private static final long MAX_HOLD_MS = 1_000;

    private static final long MIN_WRITE_INTERVAL_MS = 50;
    /** An event that no client can name, so that the log does not tell what the client gets. */
    private static final AttemptLog UNKNOWN_EVENTS = AttemptLog.newBuilder()
            .addEvents(LoggedEvent.newBuilder().setId(-1))
            .build();

    private final Exchange exchange;
    private final boolean resumes;
    private final String stream;
    private final String program;
    private boolean logs;
    private ReceivedStream earlier = ReceivedStream.NOTHING;
    private Runnable onReady = () -> {};
    private boolean writing;
    private boolean ending;
    private int rows;
    private int run;
    private int loggedRun = -1;
    private long nextWriteMs;

    EventLog(Exchange exchange, boolean storesTurn) {
        this.exchange = exchange;
        RequestMetadata metadata = exchange.metadata;
        this.logs = storesTurn && exchange.route.resumable();
        this.resumes = storesTurn && metadata.resumesStream();
        this.stream = resumes ? metadata.resumedAttempt() : metadata.id();
        this.program = ProgramTurn.storedProgram(exchange, stream);
    }

    /** Sets the task that runs whenever events can be appended again. */
    void onReady(Runnable task) {
        onReady = task;
    }

    /**
     * Reads what the client has received of the stream that it resumes, then runs the task; refuses the request if that is
     * not known, since the turn could not be kept whole.
     */
    void readEarlier(Runnable next) {
        if (!resumes) {
            next.run();
        } else if (!logs) {
            refuse("the streams of this route cannot be resumed");
        } else {
            log().read(
                            program,
                            stream,
                            exchange.metadata.lastEventId(),
                            exchange.latestSendMs(),
                            received -> onEarlierRead(received, next));
        }
    }

    private void onEarlierRead(ReceivedStream received, Runnable next) {
        if (exchange.ended()) {
            return;
        }
        switch (received.status()) {
            case KNOWN -> {
                earlier = received;
                next.run();
            }
            case UNKNOWN -> refuse("the events of the stream to resume are not all known");
            case UNAVAILABLE -> exchange.endStoreUnavailable();
        }
    }

    private void refuse(String reason) {
        exchange.refuse(new Forwarder.Refusal(503, reason, 0));
    }

    /** Returns the data of the events that earlier attempts brought, each followed by a line feed. */
    byte[] earlierOutput() {
        return earlier.output();
    }

    /** Returns whether events can be appended now. */
    boolean isReady() {
        return !writing && (!logs || ending || nowMs() >= nextWriteMs);
    }

    /** No more than one part is to come: it is written without a pause. */
    void beginEnd() {
        ending = true;
    }

    /** The client has received nothing, and the stream begins anew: what is being logged will not be passed on. */
    void beginAnew() {
        run++;
    }

    /**
     * Logs events; must be ready.
     *
     * @param events the events, in order; may be empty
     * @param onLogged called once, when the events may be passed to the client; not if the exchange ends or the stream begins
     *     anew before
     */
    void append(List<ServerSentEvent> events, Runnable onLogged) {
        if (!logs || events.isEmpty()) {
            onLogged.run();
            return;
        }
        AttemptLog part = encode(events);
        if (part.getSerializedSize() <= StreamLog.MAX_PART_BYTES) {
            write(part, onLogged);
            return;
        }
        giveUp("too large");
        if (loggedRun == run) {
            onLogged.run();
        } else {
            write(UNKNOWN_EVENTS, onLogged);
        }
    }

    private void write(AttemptLog part, Runnable onLogged) {
        Part current = new Part(onLogged);
        writing = true;
        nextWriteMs = nowMs() + MIN_WRITE_INTERVAL_MS;
        StreamLog.AttemptKey key = new StreamLog.AttemptKey(program, stream, earlier.attempts());
        rows = log().append(key, rows, part, exchange.deadlineMs(), current::onResult);
        if (!current.required) {
            exchange.forwarder.scheduler.schedule(MAX_HOLD_MS, current::onHeldTooLong);
        }
    }

    private AttemptLog encode(List<ServerSentEvent> events) {
        AttemptLog.Builder part = AttemptLog.newBuilder();
        if (rows == 0) {
            part.setAttempt(exchange.metadata.id()).setResumedAfter(resumes ? exchange.metadata.lastEventId() : -1);
        }
        events.forEach(
                e -> part.addEvents(LoggedEvent.newBuilder().setId(e.id()).setData(ByteString.copyFrom(e.data()))));
        return part.build();
    }

    private void giveUp(String reason) {
        logs = false;
        LOG.atWarn()
                .addKeyValue("request", exchange.metadata.id())
                .addKeyValue("reason", reason)
                .addKeyValue("lastEventId", exchange.lastEventId())
                .log("turn: the rest of the stream is not logged, so that it cannot be resumed");
    }

    private StreamLog log() {
        return exchange.forwarder.programStore.streamLog();
    }

    private long nowMs() {
        return exchange.forwarder.clock.nowMs();
    }

    /** A part that is being written. */
    private final class Part {
        private final int runAtStart = run;
        private final boolean required = loggedRun != run;
        private final Runnable onLogged;
        private boolean passedOn;

        Part(Runnable onLogged) {
            this.onLogged = onLogged;
        }

        void onResult(UpdateResult result) {
            if (exchange.ended() || passedOn) {
                return;
            }
            boolean stored = result == UpdateResult.COMMITTED;
            if (stored) {
                loggedRun = runAtStart;
            } else if (required) {
                exchange.endStoreUnavailable();
                return;
            } else {
                giveUp("not written");
            }
            passOn();
            exchange.forwarder.scheduler.schedule(Math.max(1, nextWriteMs - nowMs()), onReady);
        }

        void onHeldTooLong() {
            if (!passedOn && !exchange.ended()) {
                giveUp("the store does not answer");
                passOn();
            }
        }

        private void passOn() {
            passedOn = true;
            writing = false;
            if (runAtStart == run) {
                onLogged.run();
            }
            onReady.run();
        }
    }
}
