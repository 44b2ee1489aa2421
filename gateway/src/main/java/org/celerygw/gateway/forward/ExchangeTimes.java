package org.celerygw.gateway.forward;

import org.celerygw.core.time.Clock;

/** How long the steps of one exchange took: its wait, its sends, and the first bytes from a server and to the client. */
final class ExchangeTimes {
    private final Clock clock;
    private final long arrivedMs;
    private long sentMs;
    private long lastReceivedMs;
    private long serverMs;
    private long queuedMs;
    private long serverFirstByteMs;
    private long firstByteMs;

    ExchangeTimes(Clock clock, long arrivedMs) {
        this.clock = clock;
        this.arrivedMs = arrivedMs;
    }

    /** Called when the request is sent to a server. */
    void onSend() {
        sentMs = clock.nowMs();
        lastReceivedMs = sentMs;
    }

    /** Called when a part of the response to the current send has arrived. */
    void onReceived() {
        lastReceivedMs = clock.nowMs();
    }

    /** Called when a part of a body has arrived. */
    void onBodyReceived() {
        onReceived();
        if (serverFirstByteMs == 0) {
            serverFirstByteMs = responseMs();
        }
    }

    /** Called when the current send has ended. */
    void onSendEnd() {
        serverMs += currentSendMs();
    }

    /** Called when the request has waited until an engine had room. */
    void onQueued(long waitedMs) {
        queuedMs += waitedMs;
    }

    /** Called when the first events are sent to the client. */
    void onFirstByteToClient() {
        if (firstByteMs == 0) {
            firstByteMs = elapsedMs();
        }
    }

    /** Returns the time since the request arrived, in ms. */
    long elapsedMs() {
        return clock.nowMs() - arrivedMs;
    }

    /** Returns the time since the current send, in ms. */
    long currentSendMs() {
        return clock.nowMs() - sentMs;
    }

    /** Returns the time from the current send to the last part of its response, in ms. */
    long responseMs() {
        return lastReceivedMs - sentMs;
    }

    /** Returns when the last part of the response to the current send arrived, or else when it was sent, in ms. */
    long lastReceivedMs() {
        return lastReceivedMs;
    }

    /** Returns the sum of the times from each send to its end, in ms. */
    long serverMs() {
        return serverMs;
    }

    /** Returns how long the request has waited until an engine had room, in ms. */
    long queuedMs() {
        return queuedMs;
    }

    /** Returns the time from a send to the first bytes of any response body, in ms; 0 while none has arrived. */
    long serverFirstByteMs() {
        return serverFirstByteMs;
    }

    /** Returns the time from arrival to the first bytes sent to the client, in ms; 0 unless the response is a stream. */
    long firstByteMs() {
        return firstByteMs;
    }
}
