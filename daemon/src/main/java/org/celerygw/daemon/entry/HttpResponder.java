package org.celerygw.daemon.entry;

import com.google.protobuf.ByteString;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.List;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.daemon.work.Responder;

/**
 * Writes the HTTP response of one call. A streamed response is completed only when the outcome arrives, so that a
 * caller that received the end of the stream can rely on the response being stored.
 */
final class HttpResponder implements Responder {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final long RETRY_AFTER_MS = 1;

    private final HttpServerResponse response;
    private final boolean streaming;
    private final long resumeOffsetBytes;
    private final List<ByteString> sentParts = new ArrayList<>();
    private long sentBytes;

    /**
     * Creates a responder that has written nothing yet.
     *
     * @param response the HTTP response to write to
     * @param streaming whether the caller requested a stream
     * @param resumeOffsetBytes how many bytes of the response body a reconnecting caller already has; they are not
     *     sent again
     */
    HttpResponder(HttpServerResponse response, boolean streaming, long resumeOffsetBytes) {
        this.response = response;
        this.streaming = streaming;
        this.resumeOffsetBytes = resumeOffsetBytes;
    }

    @Override
    public void chunk(long offsetBytes, ByteString bytes) {
        long overlapBytes = sentBytes - offsetBytes;
        // A new attempt streams from offset 0 again; completeStream checks that the sent bytes match.
        if (!streaming || response.ended() || response.closed() || overlapBytes < 0 || overlapBytes >= bytes.size()) {
            return;
        }
        prepareStreamHead();
        writeNext(bytes.substring((int) overlapBytes));
    }

    @Override
    public void end(Outcome outcome) {
        if (response.ended() || response.closed()) {
            return;
        }
        if (sentBytes > 0) {
            completeStream(outcome);
        } else if (outcome.isAnswer()) {
            sendComplete(outcome);
        } else {
            sendError(response, outcome);
        }
    }

    /** Sends a failure as an error status with a JSON body, unless the response has ended or is closed. */
    static void sendError(HttpServerResponse response, Outcome failure) {
        if (response.ended() || response.closed()) {
            return;
        }
        if (failure.retryAfterMs() > 0) {
            response.putHeader("Retry-After", Long.toString((failure.retryAfterMs() + 999) / 1_000));
        }
        response.setStatusCode(failure.code().httpStatus())
                .putHeader("Content-Type", "application/json")
                .end(ErrorBody.of(failure).toBuffer());
    }

    private void prepareStreamHead() {
        if (!response.headWritten()) {
            response.setChunked(true).setStatusCode(200).putHeader("Content-Type", EVENT_STREAM);
        }
    }

    private void writeNext(ByteString bytes) {
        long startOffsetBytes = Math.max(0, resumeOffsetBytes - sentBytes);
        sentParts.add(bytes);
        sentBytes += bytes.size();
        if (startOffsetBytes < bytes.size()) {
            response.write(toBuffer(bytes.substring((int) startOffsetBytes)));
        }
    }

    private void completeStream(Outcome outcome) {
        ByteString sent = ByteString.copyFrom(sentParts);
        if (!outcome.isAnswer()) {
            endWithErrorEvent(outcome);
            return;
        }
        // A second attempt can produce a different response. Sent bytes can't be recalled: report an error.
        if (!outcome.answer().startsWith(sent)) {
            endWithErrorEvent(Outcome.failed(
                    ErrorCode.BACKEND_LOST,
                    outcome.runState(),
                    RETRY_AFTER_MS,
                    "The stream was interrupted; retry with the same idempotency key for the complete response."));
            return;
        }
        writeNext(outcome.answer().substring(sent.size()));
        response.end();
    }

    private void endWithErrorEvent(Outcome failure) {
        response.end("event: error\ndata: " + ErrorBody.of(failure).encode() + "\n\n");
    }

    private void sendComplete(Outcome outcome) {
        response.setStatusCode(outcome.status() == 0 ? 200 : outcome.status());
        if (!outcome.contentType().isEmpty()) {
            response.putHeader("Content-Type", outcome.contentType());
        }
        int startOffsetBytes =
                (int) Math.min(resumeOffsetBytes, outcome.answer().size());
        response.end(toBuffer(outcome.answer().substring(startOffsetBytes)));
    }

    private static Buffer toBuffer(ByteString bytes) {
        return Buffer.buffer(bytes.toByteArray());
    }
}
