package org.celerygw.core.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.celerygw.core.gen.peers.QuotaReply;
import org.celerygw.core.gen.peers.QuotaRequest;
import org.celerygw.core.turns.Scheduler;

/** The messages of one host about quotas that are not answered yet. Not thread-safe. */
final class QuotaMessages {
    private static final long REPLY_TIMEOUT_MS = 85;
    /** A lost message does not let requests wait for the whole time-out. */
    private static final long REPEAT_MS = 30;

    private final LongSupplier clock;
    private final Scheduler scheduler;
    private final BiConsumer<String, QuotaRequest> network;
    private final Consumer<String> onSilent;
    private final Map<Long, Sent> sent = new HashMap<>();
    private long nextId;
    private long lostReplies;

    /** What to do with the reply to a message, or without one. */
    interface ReplyHandler {
        /** The reply only shows that the host is alive. */
        ReplyHandler NONE = new ReplyHandler() {
            @Override
            public void onReply(QuotaReply reply) {}

            @Override
            public void onLost() {}
        };

        void onReply(QuotaReply reply);

        void onLost();
    }

    private record Sent(String host, long sentMs, ReplyHandler handler) {}

    /**
     * Creates an empty set of messages.
     *
     * @param firstId the id of the first message; differs from those of other hosts and of an earlier process of this host
     * @param clock returns the current time, in ms; called before each timeout is handled
     * @param scheduler runs timeouts
     * @param network sends a request to the host of a name; it or its reply may be lost
     * @param onSilent called with the name of a host that has not answered in time
     */
    QuotaMessages(
            long firstId,
            LongSupplier clock,
            Scheduler scheduler,
            BiConsumer<String, QuotaRequest> network,
            Consumer<String> onSilent) {
        this.nextId = firstId;
        this.clock = clock;
        this.scheduler = scheduler;
        this.network = network;
        this.onSilent = onSilent;
    }

    /** Returns how many messages were not answered. */
    long lostReplies() {
        return lostReplies;
    }

    /** Sends a message again until it is answered, since a reply that is late lets requests wait. */
    void sendRepeatedly(String receiver, QuotaRequest.Builder request, ReplyHandler handler) {
        long id = send(receiver, request, REPLY_TIMEOUT_MS, handler);
        for (long delayMs = REPEAT_MS; delayMs < REPLY_TIMEOUT_MS; delayMs += REPEAT_MS) {
            scheduler.schedule(delayMs, () -> {
                if (sent.containsKey(id)) {
                    network.accept(receiver, request.build());
                }
            });
        }
    }

    /** Sends a message once; returns its id. */
    long send(String receiver, QuotaRequest.Builder request, long timeoutMs, ReplyHandler handler) {
        long id = nextId++;
        sent.put(id, new Sent(receiver, clock.getAsLong(), handler));
        scheduler.schedule(timeoutMs, () -> onTimeout(id, timeoutMs));
        network.accept(receiver, request.setId(id).build());
        return id;
    }

    /** Passes a reply on; a reply that is too late or was not asked for is ignored. */
    void onReply(QuotaReply reply, Consumer<String> onAlive) {
        Sent message = sent.remove(reply.getId());
        if (message != null) {
            onAlive.accept(message.host());
            message.handler().onReply(reply);
        }
    }

    private void onTimeout(long id, long timeoutMs) {
        long nowMs = clock.getAsLong();
        Sent message = sent.remove(id);
        if (message == null) {
            return;
        }
        lostReplies++;
        // A timer that fires late shows that this host was slow, not the other one.
        if (nowMs - message.sentMs() < 2 * timeoutMs) {
            onSilent.accept(message.host());
        }
        message.handler().onLost();
    }
}
