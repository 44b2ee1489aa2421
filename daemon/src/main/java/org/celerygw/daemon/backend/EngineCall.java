package org.celerygw.daemon.backend;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;
import org.celerygw.daemon.client.BufferedRequest;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A model call in flight. If its connection fails or delivers no data for the silence timeout, the call is resumed over
 * a new connection, after the last event received. The listener is notified of the end exactly once.
 */
final class EngineCall implements BackendCall {
    private static final Logger log = LoggerFactory.getLogger(EngineCall.class);
    private static final long RESUME_DELAY_MS = 100;
    private static final String EVENT_STREAM = "text/event-stream";

    private final BackendConnections connections;
    private final Vertx vertx;
    private final ModelRequest request;
    private final ModelListener listener;
    private final ModelResponseReader reader;
    private final long deadlineTimer;
    private final long silenceTimer;
    private Exchange exchange;
    private int resumesWithoutProgress;
    private boolean sent;
    private boolean ended;

    EngineCall(BackendConnections connections, ModelRequest request, ModelListener listener) {
        this.connections = connections;
        this.vertx = connections.vertx();
        this.request = request;
        this.listener = listener;
        this.reader = new ModelResponseReader(connections.settings().maxResponseBytes());
        this.exchange = new Exchange();
        this.deadlineTimer = vertx.setTimer(
                request.timeoutMs(),
                id -> abort(ErrorCode.DEADLINE_EXCEEDED, "the response was not complete before the timeout"));
        this.silenceTimer =
                vertx.setPeriodic(Math.max(1, connections.settings().silenceTimeoutMs() / 4), id -> checkSilence());
    }

    EngineCall start() {
        exchange.start(
                connections.openModelRequest(request),
                Buffer.buffer(request.body().toByteArray()));
        return this;
    }

    @Override
    public void cancel() {
        abort(ErrorCode.CANCELLED, "the call was cancelled");
    }

    private void abort(ErrorCode code, String message) {
        if (ended) {
            return;
        }
        if (sent) {
            connections.sendCancel(request);
        }
        exchange.close();
        fail(code, sent ? RunState.UNKNOWN : RunState.NOT_RUN, 0, message);
    }

    /** Replaces the connection if it has delivered no data for the silence timeout. */
    private void checkSilence() {
        long silentMs = connections.clock().nowMs() - exchange.lastReadMs;
        if (sent && exchange.active && silentMs >= connections.settings().silenceTimeoutMs()) {
            log.info(
                    "backend: no data from {} for {} ms in request {}; replacing the connection",
                    request.address(),
                    silentMs,
                    request.requestId());
            exchange.closeAndResume();
        }
    }

    private void resume() {
        if (ended) {
            return;
        }
        if (resumesWithoutProgress >= connections.settings().maxResumes()) {
            fail(
                    ErrorCode.BACKEND_LOST,
                    RunState.UNKNOWN,
                    0,
                    "the connection to the engine was lost before the response was complete");
            return;
        }
        resumesWithoutProgress++;
        log.info(
                "backend: resuming request {} at {} after event {}",
                request.requestId(),
                request.address(),
                reader.eventCount());
        reader.discardPartialEvent();
        exchange = new Exchange();
        exchange.start(connections.openResumeRequest(request, reader.eventCount()), Buffer.buffer());
    }

    private void fail(ErrorCode code, RunState state, long retryAfterMs, String message) {
        end(Outcome.failed(code, state, retryAfterMs, message));
    }

    private void end(Outcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        exchange.active = false;
        vertx.cancelTimer(deadlineTimer);
        vertx.cancelTimer(silenceTimer);
        listener.onEnd(outcome);
    }

    private void failUnreadable() {
        exchange.close();
        connections.sendCancel(request);
        fail(
                ErrorCode.BACKEND_FAILED,
                RunState.UNKNOWN,
                0,
                "the engine's response was malformed or exceeded the maximum size");
    }

    /** Ends the call after a response with an error status. */
    private void failWithStatus(int status, long retryAfterMs) {
        switch (status) {
            case 429, 503 -> fail(ErrorCode.OVERLOADED, RunState.NOT_RUN, retryAfterMs, "the engine is overloaded");
            case 404 -> fail(ErrorCode.NO_BACKEND, RunState.NOT_RUN, 0, "the engine does not serve this model");
            case 400, 413, 422 ->
                fail(ErrorCode.INVALID_ARGUMENT, RunState.NOT_RUN, 0, "the engine rejected the request as invalid");
            default ->
                fail(ErrorCode.BACKEND_FAILED, RunState.UNKNOWN, 0, "the engine responded with status " + status);
        }
    }

    /**
     * One HTTP exchange of the call: the initial POST request or a GET request that resumes the response. Data that
     * arrives after the exchange was closed is ignored.
     */
    private final class Exchange {
        private final boolean initial = !sent;
        private boolean active = true;
        private long lastReadMs = connections.clock().nowMs();
        private Future<HttpClientRequest> openedRequest = Future.failedFuture("not opened");

        private void start(Future<HttpClientRequest> opening, Buffer body) {
            openedRequest = opening;
            opening.onComplete(result -> {
                if (result.failed()) {
                    onConnectFailed();
                } else if (active) {
                    send(result.result(), body);
                } else {
                    close();
                }
            });
        }

        private void onConnectFailed() {
            if (!active) {
                return;
            }
            if (sent) {
                closeAndResume();
                return;
            }
            fail(ErrorCode.NO_BACKEND, RunState.NOT_RUN, 0, "cannot connect to the engine");
        }

        private void send(HttpClientRequest httpRequest, Buffer body) {
            sent = true;
            lastReadMs = connections.clock().nowMs();
            Future<Void> written = httpRequest.end(body);
            httpRequest.response().onComplete(result -> {
                if (!active) {
                    return;
                }
                if (result.failed()) {
                    closeAndResume();
                    return;
                }
                receive(result.result(), written);
            });
        }

        private void receive(HttpClientResponse response, Future<Void> written) {
            lastReadMs = connections.clock().nowMs();
            if (!BufferedRequest.hasSoundHead(response)) {
                closeAndResume();
                return;
            }
            response.exceptionHandler(e -> closeAndResume());
            String contentType = response.getHeader("content-type");
            if (response.statusCode() == 200 && contentType != null && contentType.startsWith(EVENT_STREAM)) {
                response.handler(this::readEvents);
                response.endHandler(v -> closeAndResume());
                return;
            }
            Buffer responseBody = Buffer.buffer();
            response.handler(part -> appendBody(responseBody, part));
            response.endHandler(v -> {
                if (written.failed()) {
                    // A reset that a write notices closes the connection, which ends a body without a length.
                    closeAndResume();
                    return;
                }
                onBodyComplete(response, responseBody, contentType == null ? "" : contentType);
            });
        }

        private void readEvents(Buffer part) {
            if (!active) {
                return;
            }
            lastReadMs = connections.clock().nowMs();
            ModelResponseReader.ReadResult result = reader.read(part);
            if (!result.newEvents().isEmpty()) {
                resumesWithoutProgress = 0;
                listener.onChunk(result.newEvents());
            }
            // The listener may have cancelled the call.
            if (!active) {
                return;
            }
            switch (result.state()) {
                case OPEN -> {}
                case COMPLETE -> end(reader.streamedOutcome());
                case GAP -> closeAndResume();
                case UNREADABLE -> failUnreadable();
            }
        }

        private void appendBody(Buffer responseBody, Buffer part) {
            lastReadMs = connections.clock().nowMs();
            responseBody.appendBuffer(part);
            if (active && responseBody.length() > connections.settings().maxResponseBytes()) {
                failUnreadable();
            }
        }

        private void onBodyComplete(HttpClientResponse response, Buffer responseBody, String contentType) {
            if (!active) {
                return;
            }
            int status = response.statusCode();
            if (!initial && status == 202) {
                // 202 means that the engine is still generating the response, which counts as progress.
                resumesWithoutProgress = 0;
                active = false;
                resume();
            } else if (!initial && status == 404) {
                fail(ErrorCode.BACKEND_LOST, RunState.UNKNOWN, 0, "the engine no longer has the request to resume");
            } else if (status != 200) {
                failWithStatus(status, BufferedRequest.retryAfterMs(response));
            } else {
                endOrFail(reader.jsonOutcome(responseBody, contentType));
            }
        }

        private void endOrFail(@Nullable Outcome outcome) {
            if (outcome == null) {
                failUnreadable();
                return;
            }
            end(outcome);
        }

        /** Closes this connection and resumes over a new one, with a delay if there was no progress since the last resume. */
        private void closeAndResume() {
            if (!active) {
                return;
            }
            close();
            if (resumesWithoutProgress == 0) {
                resume();
                return;
            }
            vertx.setTimer(RESUME_DELAY_MS, id -> resume());
        }

        private void close() {
            active = false;
            if (openedRequest.succeeded()) {
                openedRequest.result().connection().close().onFailure(e -> {
                    // The connection is already closed.
                });
            }
        }
    }
}
