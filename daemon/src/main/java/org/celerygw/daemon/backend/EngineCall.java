package org.celerygw.daemon.backend;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;
import org.celerygw.daemon.client.WholeRequest;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One model call. When its connection breaks or stays silent, the call goes on over a new connection, from the event
 * after the last one received. It ends exactly once.
 */
final class EngineCall implements BackendCall {
    private static final Logger log = LoggerFactory.getLogger(EngineCall.class);
    private static final long RESUME_DELAY_MS = 100;
    private static final String EVENT_STREAM = "text/event-stream";

    private final Connections connections;
    private final Vertx vertx;
    private final ModelRequest request;
    private final ModelListener listener;
    private final AnswerReader reader;
    private final long timer;
    private final long watch;
    private Attempt attempt;
    private int resumes;
    private boolean sent;
    private boolean ended;

    EngineCall(Connections connections, ModelRequest request, ModelListener listener) {
        this.connections = connections;
        this.vertx = connections.vertx();
        this.request = request;
        this.listener = listener;
        this.reader = new AnswerReader(connections.settings().maxAnswerBytes());
        this.attempt = new Attempt();
        this.timer = vertx.setTimer(request.timeoutMs(), id -> stop(ErrorCode.DEADLINE_EXCEEDED, "the time was up"));
        this.watch = vertx.setPeriodic(Math.max(1, connections.settings().silenceMs() / 4), id -> watch());
    }

    EngineCall start() {
        attempt.begin(
                connections.openModel(request), Buffer.buffer(request.body().toByteArray()));
        return this;
    }

    @Override
    public void cancel() {
        stop(ErrorCode.CANCELLED, "the call was cancelled");
    }

    private void stop(ErrorCode code, String message) {
        if (ended) {
            return;
        }
        if (sent) {
            connections.cancelModel(request);
        }
        attempt.close();
        fail(code, sent ? RunState.UNKNOWN : RunState.NOT_RUN, 0, message);
    }

    /** Drops the connection when it has been silent for too long. */
    private void watch() {
        long silentMs = connections.clock().nowMs() - attempt.lastByteMs;
        if (sent && attempt.live && silentMs >= connections.settings().silenceMs()) {
            log.info("backend: {} silent for {} ms in {}", request.address(), silentMs, request.requestId());
            attempt.lose();
        }
    }

    private void resume() {
        if (ended) {
            return;
        }
        if (resumes >= connections.settings().maxResumes()) {
            fail(ErrorCode.BACKEND_LOST, RunState.UNKNOWN, 0, "the engine was lost before the answer was whole");
            return;
        }
        resumes++;
        log.info("backend: resume {} at {} after event {}", request.requestId(), request.address(), reader.events());
        reader.reconnect();
        attempt = new Attempt();
        attempt.begin(connections.resumeModel(request, reader.events()), Buffer.buffer());
    }

    private void fail(ErrorCode code, RunState state, long retryAfterMs, String message) {
        end(Outcome.failed(code, state, retryAfterMs, message));
    }

    private void end(Outcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        attempt.live = false;
        vertx.cancelTimer(timer);
        vertx.cancelTimer(watch);
        listener.onEnd(outcome);
    }

    private void unreadable() {
        attempt.close();
        connections.cancelModel(request);
        fail(ErrorCode.BACKEND_FAILED, RunState.UNKNOWN, 0, "the engine's answer was unreadable");
    }

    /** Ends the call by an answer that carries no result. */
    private void refused(int status, long retryAfterMs) {
        switch (status) {
            case 429, 503 -> fail(ErrorCode.OVERLOADED, RunState.NOT_RUN, retryAfterMs, "the engine is overloaded");
            case 404 -> fail(ErrorCode.NO_BACKEND, RunState.NOT_RUN, 0, "the engine does not serve this model");
            case 400, 413, 422 ->
                fail(ErrorCode.INVALID_ARGUMENT, RunState.NOT_RUN, 0, "the engine refused the request");
            default -> fail(ErrorCode.BACKEND_FAILED, RunState.UNKNOWN, 0, "the engine answered status " + status);
        }
    }

    /** One connection's part in the call; what still comes from a connection that was given up is ignored. */
    private final class Attempt {
        private final boolean first = !sent;
        private boolean live = true;
        private long lastByteMs = connections.clock().nowMs();
        private Future<HttpClientRequest> opened = Future.failedFuture("not opened");

        private void begin(Future<HttpClientRequest> opening, Buffer body) {
            opened = opening;
            opening.onComplete(open -> {
                if (open.failed()) {
                    unopened();
                } else if (live) {
                    send(open.result(), body);
                } else {
                    close();
                }
            });
        }

        private void unopened() {
            if (!live) {
                return;
            }
            if (sent) {
                lose();
                return;
            }
            fail(ErrorCode.NO_BACKEND, RunState.NOT_RUN, 0, "the engine cannot be reached");
        }

        private void send(HttpClientRequest open, Buffer body) {
            sent = true;
            lastByteMs = connections.clock().nowMs();
            open.send(body).onComplete(answer -> {
                if (!live) {
                    return;
                }
                if (answer.failed()) {
                    lose();
                    return;
                }
                receive(answer.result());
            });
        }

        private void receive(HttpClientResponse response) {
            lastByteMs = connections.clock().nowMs();
            response.exceptionHandler(e -> lose());
            String type = response.getHeader("content-type");
            if (response.statusCode() == 200 && type != null && type.startsWith(EVENT_STREAM)) {
                response.handler(this::read);
                response.endHandler(v -> lose());
                return;
            }
            Buffer whole = Buffer.buffer();
            response.handler(part -> gather(whole, part));
            response.endHandler(v -> finish(response, whole, type == null ? "" : type));
        }

        private void read(Buffer part) {
            if (!live) {
                return;
            }
            lastByteMs = connections.clock().nowMs();
            AnswerReader.Progress progress = reader.read(part);
            if (!progress.fresh().isEmpty()) {
                resumes = 0;
                listener.onChunk(progress.fresh());
            }
            // The listener may have cancelled the call.
            if (!live) {
                return;
            }
            switch (progress.state()) {
                case OPEN -> {}
                case WHOLE -> end(reader.streamed());
                case GAP -> lose();
                case UNREADABLE -> unreadable();
            }
        }

        private void gather(Buffer whole, Buffer part) {
            lastByteMs = connections.clock().nowMs();
            whole.appendBuffer(part);
            if (live && whole.length() > connections.settings().maxAnswerBytes()) {
                unreadable();
            }
        }

        private void finish(HttpClientResponse response, Buffer whole, String type) {
            if (!live) {
                return;
            }
            int status = response.statusCode();
            if (!first && status == 202) {
                // The engine still computes the answer; that it says so is progress.
                resumes = 0;
                live = false;
                resume();
            } else if (!first && status == 404) {
                fail(ErrorCode.BACKEND_LOST, RunState.UNKNOWN, 0, "the engine has lost the request");
            } else if (status != 200) {
                refused(status, WholeRequest.retryAfterMs(response));
            } else {
                finish(reader.whole(whole, type));
            }
        }

        private void finish(@Nullable Outcome outcome) {
            if (outcome == null) {
                unreadable();
                return;
            }
            end(outcome);
        }

        /** Gives this connection up and goes on over a new one, the first time at once. */
        private void lose() {
            if (!live) {
                return;
            }
            close();
            if (resumes == 0) {
                resume();
                return;
            }
            vertx.setTimer(RESUME_DELAY_MS, id -> resume());
        }

        private void close() {
            live = false;
            if (opened.succeeded()) {
                opened.result().connection().close().onFailure(e -> {
                    // It is closed already.
                });
            }
        }
    }
}
