package org.celerygw.cli.bench;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.TimeUnit;

/** Sends one call and times it. */
final class Probe {
    private static final String END_MARK = "data: [DONE]\n\n";
    private static final int SHOWN_CHARS = 300;

    private final boolean stream;
    private final Promise<Timing> done = Promise.promise();
    private final Buffer whole = Buffer.buffer();
    private final long startNs = System.nanoTime();
    private long firstByteMicros;

    private Probe(boolean stream) {
        this.stream = stream;
    }

    /** Sends a call; the future never fails. */
    static Future<Timing> send(HttpClient http, RequestOptions options, Buffer body, boolean stream) {
        Probe probe = new Probe(stream);
        http.request(options)
                .compose(request -> request.send(body))
                .onSuccess(probe::receive)
                .onFailure(probe::fail);
        return probe.done.future();
    }

    private void receive(HttpClientResponse response) {
        response.handler(this::part);
        response.exceptionHandler(this::fail);
        response.endHandler(v -> end(response.statusCode()));
    }

    private void part(Buffer part) {
        if (whole.length() == 0) {
            firstByteMicros = elapsedMicros();
        }
        whole.appendBuffer(part);
    }

    private void end(int status) {
        long wholeMicros = elapsedMicros();
        String text = whole.toString();
        boolean ok = status == 200 && (!stream || text.endsWith(END_MARK));
        String shown = text.substring(0, Math.min(SHOWN_CHARS, text.length()));
        done.tryComplete(new Timing(firstByteMicros, wholeMicros, ok ? "" : "status " + status + ": " + shown));
    }

    private void fail(Throwable cause) {
        done.tryComplete(new Timing(0, 0, String.valueOf(cause)));
    }

    private long elapsedMicros() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs);
    }
}
