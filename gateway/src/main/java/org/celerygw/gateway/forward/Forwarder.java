package org.celerygw.gateway.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.function.Supplier;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.routes.Route;
import org.celerygw.core.routes.RouteTable;
import org.celerygw.core.routes.UsualTimes;
import org.celerygw.core.servers.Chooser;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Ledger;
import org.celerygw.core.turns.Scheduler;
import org.celerygw.gateway.net.Incoming;
import org.celerygw.gateway.net.Reply;
import org.celerygw.gateway.net.RequestHandler;
import org.jspecify.annotations.Nullable;

/** Takes clients' requests and gives each its way. One thread. */
public final class Forwarder implements RequestHandler {
    private static final long NOT_YET_MS = 300;

    final Clock clock;
    final Scheduler scheduler;
    final Dialect dialect;
    final ServerList servers;
    final Chooser chooser;
    final Pools pools;
    final Ledger ledger;
    final RequestLog log;
    final UsualTimes usual = new UsualTimes();
    private final Supplier<@Nullable RouteTable> table;
    private int underWay;

    /**
     * Makes a forwarder.
     *
     * @param clock tells the time
     * @param scheduler runs time limits
     * @param dialect translates headers
     * @param table the newest routes; null while none is known
     * @param servers the backend servers
     * @param chooser picks among them
     * @param pools connections to them
     * @param ledger the programs
     * @param log counts and logs what happens
     */
    public Forwarder(
            Clock clock,
            Scheduler scheduler,
            Dialect dialect,
            Supplier<@Nullable RouteTable> table,
            ServerList servers,
            Chooser chooser,
            Pools pools,
            Ledger ledger,
            RequestLog log) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.dialect = dialect;
        this.table = table;
        this.servers = servers;
        this.chooser = chooser;
        this.pools = pools;
        this.ledger = ledger;
        this.log = log;
    }

    @Override
    public void handle(Incoming request, Reply reply) {
        try {
            Call call = dialect.call(request);
            RouteTable routes = table.get();
            if (routes == null) {
                refuse(reply, call, new Refusal(503, "no configuration known yet", NOT_YET_MS));
                return;
            }
            Optional<Route> route = routes.find(call.host(), request.path());
            if (route.isEmpty()) {
                refuse(reply, call, new Refusal(404, "no route at version " + routes.version(), 0));
                return;
            }
            underWay++;
            new Exchange(this, request, reply, call, route.get(), routes).start();
        } catch (GatewayException e) {
            refuse(reply, null, new Refusal(e.code().httpStatus(), String.valueOf(e.getMessage()), 0));
        }
    }

    /**
     * Returns how many requests are under way.
     *
     * @return a count
     */
    public int underWay() {
        return underWay;
    }

    void ended() {
        underWay--;
    }

    /** Answers a request that has not run and will not. */
    void refuse(Reply reply, @Nullable Call call, Refusal refusal) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (refusal.comeBackMs() > 0) {
            dialect.comeBack(headers, refusal.comeBackMs());
        }
        reply.whole(refusal.status(), headers, new byte[0]);
        log.refused(call, refusal);
    }

    /**
     * Why a request is not served.
     *
     * @param status the status that the client gets
     * @param reason why
     * @param comeBackMs when to come back; 0 for no hint
     */
    record Refusal(int status, String reason, long comeBackMs) {
        static Refusal of(ErrorCode code, String reason, long comeBackMs) {
            return new Refusal(code.httpStatus(), reason, comeBackMs);
        }
    }
}
