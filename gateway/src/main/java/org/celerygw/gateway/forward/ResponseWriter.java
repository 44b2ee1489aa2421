package org.celerygw.gateway.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.celerygw.core.events.EventSplitter;
import org.celerygw.core.events.ServerSentEvent;
import org.celerygw.core.routes.RouteKind;
import org.jspecify.annotations.Nullable;

/** Writes the response to the client: a stream event by event, any other response once its body is complete. */
final class ResponseWriter {
    private static final long MAX_RESPONSE_BYTES = 4L << 20;
    /** What a block of a stream costs beside its bytes, so that a response has a bounded number of them. */
    private static final int BLOCK_OVERHEAD_BYTES = 64;
    /** A response that a connection's buffers hold. */
    private static final int SMALL_RESPONSE_BYTES = 65_536;
    /** Comments keep a stream alive; a server that sends this much of them between two events sends no stream. */
    private static final int MAX_COMMENT_BYTES = 65_536;

    private final Exchange exchange;
    private final ProgramTurn turn;
    private final ByteArrayOutputStream bufferedBody = new ByteArrayOutputStream();
    private final ByteArrayOutputStream eventData = new ByteArrayOutputStream();
    private final List<ServerSentEvent> pendingEvents = new ArrayList<>();
    private ByteArrayOutputStream pendingBlocks = new ByteArrayOutputStream();
    private EventSplitter splitter = new EventSplitter();
    private @Nullable HttpHeaders headers;
    private int status;
    private boolean streaming;
    private long lastEventId;
    private long lastIdOfResponse;
    private int receivedEvents;
    private int deliveredEvents;
    private int commentBytes;
    private long heldBytes;
    private long receivedBytes;
    /** What of the held bytes belongs to blocks that were received whole. */
    private long blockBytes;

    private boolean outOfMemory;

    private Runnable onAllDelivered = () -> {};

    ResponseWriter(Exchange exchange, ProgramTurn turn) {
        this.exchange = exchange;
        this.turn = turn;
        this.lastEventId = exchange.metadata.lastEventId();
        turn.onDeliveryAllowed(this::flush);
        turn.eventLog().onReady(this::flush);
    }

    /** Returns the number of events sent to the client. */
    int deliveredEvents() {
        return deliveredEvents;
    }

    /** Returns the number of events received from servers. */
    int receivedEvents() {
        return receivedEvents;
    }

    /** Returns whether a stream has started, even if nothing was sent to the client yet. */
    boolean streaming() {
        return streaming;
    }

    /** Returns the id of the last event of the stream that the client has or is about to get; negative if there is none. */
    long lastEventId() {
        return lastEventId;
    }

    /** Returns the data of all events, each followed by a line feed. */
    byte[] eventData() {
        return eventData.toByteArray();
    }

    void onHead(HttpResponse head, ResponseMetadata response) {
        lastIdOfResponse = -1;
        commentBytes = 0;
        boolean resumed = streaming && response.isSuccessful();
        if (resumed) {
            // A stream resumed at another server keeps the status and headers of the first response.
            splitter = new EventSplitter();
            return;
        }
        streaming = response.isSuccessful() && exchange.route.kind() == RouteKind.STREAMING;
        status = response.status();
        headers = Headers.copy(head.headers(), n -> true);
        bufferedBody.reset();
    }

    /** Adds a part of the body; returns false if the response is too long or no valid event stream where one is expected. */
    boolean onBody(byte[] bytes) {
        if (!hold(bytes.length)) {
            return false;
        }
        if (!streaming) {
            bufferedBody.writeBytes(bytes);
            return true;
        }
        List<ServerSentEvent> blocks = splitter.add(bytes);
        blockBytes += blocks.stream()
                .mapToLong(b -> BLOCK_OVERHEAD_BYTES + b.bytes().length)
                .sum();
        boolean valid = hold((long) BLOCK_OVERHEAD_BYTES * blocks.size())
                && blocks.stream().allMatch(this::addBlock);
        flush();
        return valid;
    }

    /** Counts bytes as held until the response is released; returns false if they are too many. */
    private boolean hold(long bytes) {
        receivedBytes += bytes;
        if (receivedBytes > MAX_RESPONSE_BYTES) {
            return false;
        }
        outOfMemory = !exchange.forwarder.responseBytes.tryAcquire(bytes);
        if (!outOfMemory) {
            heldBytes += bytes;
        }
        return !outOfMemory;
    }

    /** Returns whether the response was given up since this host holds too much of all responses. */
    boolean outOfMemory() {
        return outOfMemory;
    }

    private boolean addBlock(ServerSentEvent block) {
        return switch (block.kind()) {
            case EVENT -> {
                commentBytes = 0;
                boolean inOrder = block.id() > lastIdOfResponse;
                lastIdOfResponse = block.id();
                if (inOrder && block.id() > lastEventId) {
                    addEvent(block);
                }
                yield inOrder;
            }
            case COMMENT -> {
                commentBytes += block.bytes().length;
                pendingBlocks.writeBytes(block.bytes());
                yield commentBytes <= MAX_COMMENT_BYTES;
            }
            case MALFORMED -> false;
        };
    }

    private void addEvent(ServerSentEvent event) {
        lastEventId = event.id();
        if (turn.storesTurn()) {
            eventData.writeBytes(event.data());
            eventData.write('\n');
            pendingEvents.add(event);
        }
        receivedEvents++;
        pendingBlocks.writeBytes(event.bytes());
    }

    /** Returns whether no partial event is pending; always true for a response that is not a stream. */
    boolean isComplete() {
        return !streaming || splitter.atEventBoundary();
    }

    /**
     * Discards what cannot be forwarded after a failed send: a partial event, or the body of a buffered response. A stream
     * of which the client has received nothing is discarded as a whole, so that any server may run it anew.
     */
    void discardPartial() {
        splitter = new EventSplitter();
        bufferedBody.reset();
        release();
        receivedBytes = 0;
        if (!exchange.clientResponse.started()) {
            streaming = false;
            headers = null;
            lastEventId = exchange.metadata.lastEventId();
            receivedEvents = 0;
            eventData.reset();
            pendingBlocks.reset();
            pendingEvents.clear();
            turn.eventLog().beginAnew();
        }
    }

    /** Gives back the memory quota that the response holds. */
    private void release() {
        exchange.forwarder.responseBytes.release(heldBytes);
        heldBytes = 0;
        blockBytes = 0;
    }

    /** Gives back what was passed to the client, whose connection accounts for it; a turn to store is held to its end. */
    private void releaseBlocks() {
        if (!turn.storesTurn()) {
            long bytes = Math.min(heldBytes, blockBytes);
            exchange.forwarder.responseBytes.release(bytes);
            heldBytes -= bytes;
            blockBytes = 0;
        }
    }

    /** Gives back the quota when the exchange has ended and the client, which may read slowly, has taken what was sent. */
    void releaseWhenSent() {
        if (heldBytes > SMALL_RESPONSE_BYTES) {
            exchange.clientResponse.whenSent(this::release);
        } else {
            release();
        }
    }

    void finish() {
        HttpHeaders responseHeaders = Objects.requireNonNull(headers);
        if (!streaming) {
            turn.settle(0);
            exchange.clientResponse.send(status, responseHeaders, bufferedBody.toByteArray());
            exchange.complete(status);
            return;
        }
        turn.finishStream(this, () -> {
            onAllDelivered = () -> {
                start();
                exchange.clientResponse.finish();
                exchange.complete(status);
            };
            flush();
        });
    }

    /**
     * Sends all pending events to the client, the head before the first one, provided that delivery is allowed and as soon
     * as they are logged.
     */
    void flush() {
        if (exchange.ended() || !turn.deliveryAllowed() || !turn.eventLog().isReady()) {
            return;
        }
        if (pendingBlocks.size() == 0) {
            Runnable task = onAllDelivered;
            onAllDelivered = () -> {};
            task.run();
            return;
        }
        byte[] blocks = pendingBlocks.toByteArray();
        // Not reset, which would keep a buffer of the largest part until the response ends.
        pendingBlocks = new ByteArrayOutputStream();
        List<ServerSentEvent> events = List.copyOf(pendingEvents);
        pendingEvents.clear();
        int eventsUntil = receivedEvents;
        turn.eventLog().append(events, () -> {
            deliver(blocks, eventsUntil);
            flush();
        });
    }

    private void deliver(byte[] blocks, int eventsUntil) {
        start();
        if (exchange.ended()) {
            return;
        }
        exchange.times.onFirstByteToClient();
        deliveredEvents = eventsUntil;
        releaseBlocks();
        exchange.pacer.sendBody(blocks);
    }

    /** Sends the head of a stream to the client, unless it was sent before. */
    private void start() {
        if (headers == null || !streaming || exchange.ended()) {
            return;
        }
        if (!exchange.clientResponse.started()) {
            exchange.clientResponse.start(status, headers);
        }
    }
}
