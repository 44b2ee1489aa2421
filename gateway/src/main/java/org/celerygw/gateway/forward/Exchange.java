package org.celerygw.gateway.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.celerygw.core.routes.Route;
import org.celerygw.core.routes.RouteKind;
import org.celerygw.core.routes.RouteTable;
import org.celerygw.core.routes.Service;
import org.celerygw.core.servers.Tracked;
import org.celerygw.gateway.net.AnswerSink;
import org.celerygw.gateway.net.Incoming;
import org.celerygw.gateway.net.Origin;
import org.celerygw.gateway.net.Outgoing;
import org.celerygw.gateway.net.Reply;
import org.jspecify.annotations.Nullable;

/** One request under way: at most one send at a time, until one answer is whole or the request is given up. */
final class Exchange {
    private static final int MOST_SENDS = 6;
    private static final long SEND_AGAIN_MS = 15;
    private static final long WORTH_SENDING_MS = 20;
    private static final long FRESH_IDLE_MS = 1_500;
    private static final long ANY_IDLE_MS = 60_000;
    private static final long BUSY_COME_BACK_MS = 150;
    private static final long SHORTEST_PATIENCE_MS = 250;
    private static final long START_PATIENCE_MS = 1_500;
    private static final long PAUSE_PATIENCE_MS = 1_000;
    private static final int SERVER_ERROR = 500;
    private static final int MISDIRECTED = 421;
    private static final long STORE_COME_BACK_MS = 300;
    private static final int STORE_SPREAD_MS = 300;

    final Forwarder f;
    final Incoming request;
    final Reply reply;
    final Call call;
    final Route route;
    final RouteTable routes;
    final @Nullable Service service;
    private final Turn turn;
    private final long patienceMs;
    private final long deadlineMs;
    private final Set<String> tried = new HashSet<>();
    private Output output;
    private Origin.@Nullable Sent sent;
    private @Nullable Tracked at;
    private long heardAtMs;
    private long sentAtMs;
    private long serverMs;
    private long serverFirstMs;
    private long firstMs;
    private int sends;
    private int runs;
    private boolean over;

    Exchange(Forwarder f, Incoming request, Reply reply, Call call, Route route, RouteTable routes) {
        this.f = f;
        this.request = request;
        this.reply = reply;
        this.call = call;
        this.route = route;
        this.routes = routes;
        this.service = routes.service(route.service(draw())).orElse(null);
        this.patienceMs = call.deadlineMs() < 0 ? route.timeoutMs() : Math.min(call.deadlineMs(), route.timeoutMs());
        this.deadlineMs = request.arrivedMs() + patienceMs;
        this.turn = new Turn(this);
        this.output = new Output(this, turn);
    }

    void start() {
        f.scheduler.after(Math.max(1, leftMs()), this::deadline);
        reply.onGone(this::clientLeft);
        turn.prepare();
    }

    long leftMs() {
        return deadlineMs - f.clock.nowMs();
    }

    long deadlineMs() {
        return deadlineMs;
    }

    /** Returns when the request would have to be sent at the latest to be answered in time, by what is usual. */
    long lastStartMs() {
        return deadlineMs - Math.min(f.usual.usualMs(route), patienceMs / 2);
    }

    long ageMs() {
        return f.clock.nowMs() - request.arrivedMs();
    }

    int sends() {
        return sends;
    }

    /** Returns how long servers had this request, in ms. */
    long serverMs() {
        return serverMs;
    }

    /** Returns the time from the first send to the first bytes of a body, in ms. */
    long serverFirstMs() {
        return serverFirstMs;
    }

    /** Returns the time from arrival to the first bytes for the client, in ms; 0 unless it is a stream. */
    long firstMs() {
        return firstMs;
    }

    void firstGiven() {
        firstMs = ageMs();
    }

    boolean over() {
        return over;
    }

    /** Returns the id of the server that was asked last. */
    String server() {
        return at == null ? "" : at.server().id();
    }

    /** Returns whether a backend server may have run this request. */
    boolean mayHaveRun() {
        return runs > 0;
    }

    /** Sends the request to a server, or refuses it when there is none. */
    void send() {
        if (over || sent != null) {
            return;
        }
        Optional<Tracked> server = leftMs() > WORTH_SENDING_MS ? choose() : Optional.empty();
        if (server.isEmpty() || sends >= MOST_SENDS) {
            noServer();
            return;
        }
        Tracked to = server.get();
        at = to;
        sends++;
        runs++;
        to.begin();
        f.log.sent(this, to.server().id(), to.load());
        sentAtMs = f.clock.nowMs();
        heardAtMs = sentAtMs;
        sent = f.pools.to(to).send(outgoing(to), h -> f.dialect.belongs(h, call.id()), maxIdleMs(), new Sink(to));
        if (route.repeatable()) {
            watchSilence(sent, to);
        }
    }

    /** Gives a silent server up as long as another one may still be asked. */
    private void watchSilence(Origin.@Nullable Sent watched, Tracked to) {
        long quietMs = f.clock.nowMs() - heardAtMs;
        long silenceMs = silenceMs();
        if (over || sent == null || sent != watched || runs >= route.maxAttempts()) {
            return;
        }
        if (quietMs < silenceMs) {
            f.scheduler.after(silenceMs - quietMs, () -> watchSilence(watched, to));
            return;
        }
        sent.cancel();
        f.pools.to(to).distrust();
        to.failed(f.clock.nowMs());
        lost(to, "silent");
    }

    private long silenceMs() {
        if (route.kind() == RouteKind.SAFE) {
            return Math.max(SHORTEST_PATIENCE_MS, 3 * route.targetLatencyMs());
        }
        return output.streams() ? PAUSE_PATIENCE_MS : Math.max(START_PATIENCE_MS, 6 * route.targetLatencyMs());
    }

    /** Answers that the request has not run. */
    void refuse(Forwarder.Refusal refusal) {
        if (over) {
            return;
        }
        close();
        turn.end(0);
        f.refuse(reply, call, refusal);
    }

    /** Ends with a failure; what the client has seen so far cannot look whole. */
    void fail(int status, String why) {
        if (over) {
            return;
        }
        int given = output.events();
        close();
        cancel();
        turn.end(given);
        if (reply.begun()) {
            reply.abort();
        } else {
            reply.whole(status, new DefaultHttpHeaders(), new byte[0]);
        }
        f.log.ended(this, status, why);
    }

    /** Ends after the whole answer has been given. */
    void succeeded(int status) {
        if (!over) {
            close();
            f.usual.took(route.name(), serverMs);
            f.log.ended(this, status, "answered");
        }
    }

    void storeUnavailable() {
        if (runs > 0) {
            fail(502, "the store did not confirm a write in time");
        } else {
            // Spread out, so that not all come back in the same moment.
            long comeBackMs = STORE_COME_BACK_MS + Math.floorMod(call.id().hashCode(), STORE_SPREAD_MS);
            refuse(new Forwarder.Refusal(503, "the store did not answer while there was time", comeBackMs));
        }
    }

    private void close() {
        over = true;
        f.ended();
    }

    private Optional<Tracked> choose() {
        if (service == null) {
            return Optional.empty();
        }
        var servers = f.servers.of(service.name());
        long nowMs = f.clock.nowMs();
        return service.generates()
                ? f.chooser.engine(servers, thing(), turn.lastServer(), tried, nowMs)
                : f.chooser.plain(servers, tried, thing(), nowMs);
    }

    private String thing() {
        if (service != null && service.generates() && !call.program().isEmpty()) {
            return call.program();
        }
        return call.thing().isEmpty() ? call.id() : call.thing();
    }

    private double draw() {
        return Math.floorMod(thing().hashCode() * 31L, 10_007) / 10_007.0;
    }

    private long maxIdleMs() {
        return route.repeatable() ? ANY_IDLE_MS : FRESH_IDLE_MS;
    }

    private Outgoing outgoing(Tracked to) {
        HttpHeaders headers = Headers.copy(request.headers(), f.dialect::mayPass);
        long last = Math.max(output.lastEventId(), call.lastEventId());
        f.dialect.address(headers, new Dialect.Order(to.server().id(), Math.max(1, leftMs()), last));
        return new Outgoing(request.method(), request.uri(), headers, turn.body());
    }

    private void noServer() {
        if (runs > 0) {
            fail(502, "no other server to send to");
        } else {
            refuse(new Forwarder.Refusal(503, "no server has room", BUSY_COME_BACK_MS));
        }
    }

    private void deadline() {
        if (over) {
            return;
        }
        if (sent != null && at != null && f.clock.nowMs() - heardAtMs > PAUSE_PATIENCE_MS) {
            f.pools.to(at).distrust();
        }
        if (runs > 0 || reply.begun()) {
            fail(504, "the deadline passed");
        } else {
            refuse(new Forwarder.Refusal(503, "the deadline passed before a server was asked", BUSY_COME_BACK_MS));
        }
    }

    private void clientLeft() {
        if (over) {
            return;
        }
        int given = output.events();
        close();
        if (route.kind() != RouteKind.UNSAFE) {
            cancel();
        }
        turn.end(given);
        f.log.ended(this, 499, "the client left");
    }

    private void cancel() {
        Origin.Sent current = sent;
        Tracked server = at;
        sent = null;
        if (current != null && server != null) {
            current.cancel();
            server.end();
            f.log.sendEnded(this, server.server().id(), "cancelled");
        }
    }

    /** The send has ended without a run at the server. */
    private void notRun(Tracked to, String why) {
        ended(to, why);
        runs--;
        if (over) {
            return;
        }
        tried.add(to.server().id());
        f.scheduler.after(sends < 2 ? 1 : SEND_AGAIN_MS, this::send);
    }

    /** The send has ended, the server may have run the request, and no whole answer came. */
    private void lost(Tracked to, String why) {
        ended(to, why);
        if (over) {
            return;
        }
        tried.add(to.server().id());
        output.broken();
        if (route.repeatable() && runs < route.maxAttempts() && leftMs() > WORTH_SENDING_MS) {
            send();
        } else {
            fail(502, "the answer was lost");
        }
    }

    private void ended(Tracked to, String outcome) {
        sent = null;
        serverMs += f.clock.nowMs() - sentAtMs;
        to.end();
        f.log.sendEnded(this, to.server().id(), outcome);
    }

    /** What an answer means for the request. */
    private enum Verdict {
        /** It is the client's answer. */
        PASS,
        /** The server says that the request did not run. */
        NOT_RUN,
        /** The server failed, and another one may run the request. */
        FAILED,
        /** It is no answer that a server gives. */
        UNSOUND
    }

    private Verdict verdict(Answer a) {
        if (a.notRun()) {
            return Verdict.NOT_RUN;
        }
        if (a.success()) {
            return a.signed() && !a.encoded() ? Verdict.PASS : Verdict.UNSOUND;
        }
        boolean another = route.repeatable() && runs < route.maxAttempts() && a.status() >= SERVER_ERROR;
        return another || output.streams() ? Verdict.FAILED : Verdict.PASS;
    }

    /** Hears one answer. */
    private final class Sink implements AnswerSink {
        private final Tracked to;
        private Verdict verdict = Verdict.UNSOUND;
        private int status;

        Sink(Tracked to) {
            this.to = to;
        }

        @Override
        public void head(HttpResponse response) {
            heardAtMs = f.clock.nowMs();
            Answer answer = f.dialect.answer(response);
            verdict = verdict(answer);
            status = answer.status();
            if (!over && verdict == Verdict.PASS) {
                output.begin(response, answer);
            }
        }

        @Override
        public void body(byte[] bytes) {
            heardAtMs = f.clock.nowMs();
            if (serverFirstMs == 0) {
                serverFirstMs = heardAtMs - sentAtMs;
            }
            if (!over && verdict == Verdict.PASS) {
                output.add(bytes);
            }
        }

        @Override
        public void end() {
            switch (verdict) {
                case NOT_RUN -> shed();
                case FAILED -> {
                    to.answeredBadly(f.clock.nowMs());
                    lost(to, "failed");
                }
                case UNSOUND -> {
                    to.failed(f.clock.nowMs());
                    lost(to, "unsound");
                }
                case PASS -> passed();
            }
        }

        @Override
        public void broken(boolean reached) {
            to.failed(f.clock.nowMs());
            if (reached) {
                lost(to, "broken");
            } else {
                notRun(to, "unreachable");
            }
        }

        private void passed() {
            if (!output.whole()) {
                to.failed(f.clock.nowMs());
                lost(to, "cut");
                return;
            }
            if (status >= SERVER_ERROR) {
                to.answeredBadly(f.clock.nowMs());
            } else {
                to.succeeded(f.clock.nowMs());
            }
            ended(to, "whole");
            if (!over) {
                output.end();
            }
        }

        private void shed() {
            if (status == MISDIRECTED) {
                to.failed(f.clock.nowMs());
            } else {
                to.full(f.clock.nowMs());
            }
            notRun(to, "shed");
        }
    }
}
