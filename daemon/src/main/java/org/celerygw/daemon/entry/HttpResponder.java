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
 * Answers one caller over HTTP. A streamed answer's end is written only with the outcome, so that a caller who saw the
 * end may rely on the answer being kept.
 */
final class HttpResponder implements Responder {
    private static final String EVENT_STREAM = "text/event-stream";

    private final HttpServerResponse response;
    private final boolean stream;
    private final long skipBytes;
    private final List<ByteString> sent = new ArrayList<>();
    private long sentBytes;

    /**
     * Makes a responder.
     *
     * @param response the caller's response
     * @param stream whether the caller asked for a stream
     * @param skipBytes how much of the answer a reconnecting caller has already
     */
    HttpResponder(HttpServerResponse response, boolean stream, long skipBytes) {
        this.response = response;
        this.stream = stream;
        this.skipBytes = skipBytes;
    }

    @Override
    public void chunk(long offsetBytes, ByteString bytes) {
        long knownBytes = sentBytes - offsetBytes;
        // Another attempt streams from the beginning again; the end checks that both agree.
        if (!stream || response.ended() || response.closed() || knownBytes < 0 || knownBytes >= bytes.size()) {
            return;
        }
        begin();
        write(bytes.substring((int) knownBytes));
    }

    @Override
    public void end(Outcome outcome) {
        if (response.ended() || response.closed()) {
            return;
        }
        if (sentBytes > 0) {
            endStream(outcome);
        } else if (outcome.isAnswer()) {
            endWhole(outcome);
        } else {
            refuse(response, outcome);
        }
    }

    /** Answers with a failure. */
    static void refuse(HttpServerResponse response, Outcome failure) {
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

    private void begin() {
        if (!response.headWritten()) {
            response.setChunked(true).setStatusCode(200).putHeader("Content-Type", EVENT_STREAM);
        }
    }

    private void write(ByteString bytes) {
        long begin = Math.max(0, skipBytes - sentBytes);
        sent.add(bytes);
        sentBytes += bytes.size();
        if (begin < bytes.size()) {
            response.write(buffer(bytes.substring((int) begin)));
        }
    }

    private void endStream(Outcome outcome) {
        ByteString soFar = ByteString.copyFrom(sent);
        if (!outcome.isAnswer()) {
            endBroken(outcome);
            return;
        }
        // A second attempt may have answered differently: what was sent can't be taken back, so say so.
        if (!outcome.answer().startsWith(soFar)) {
            endBroken(Outcome.failed(
                    ErrorCode.BACKEND_LOST,
                    outcome.runState(),
                    1,
                    "The stream broke off; the same key yields the whole answer."));
            return;
        }
        write(outcome.answer().substring(soFar.size()));
        response.end();
    }

    private void endBroken(Outcome failure) {
        response.end("event: error\ndata: " + ErrorBody.of(failure).encode() + "\n\n");
    }

    private void endWhole(Outcome outcome) {
        response.setStatusCode(outcome.status() == 0 ? 200 : outcome.status());
        if (!outcome.contentType().isEmpty()) {
            response.putHeader("Content-Type", outcome.contentType());
        }
        int begin = (int) Math.min(skipBytes, outcome.answer().size());
        response.end(buffer(outcome.answer().substring(begin)));
    }

    private static Buffer buffer(ByteString bytes) {
        return Buffer.buffer(bytes.toByteArray());
    }
}
