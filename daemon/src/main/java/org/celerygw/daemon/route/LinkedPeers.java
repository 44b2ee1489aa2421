package org.celerygw.daemon.route;

import com.google.protobuf.ByteString;
import io.vertx.core.Context;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Function;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.id.HostId;
import org.celerygw.daemon.peer.Listener;
import org.celerygw.daemon.peer.PeerCall;
import org.celerygw.daemon.peer.PeerLinks;
import org.celerygw.daemon.work.Responder;

/** Reaches other hosts over the links between daemons; a link's callbacks are moved to the host's event loop. */
public final class LinkedPeers implements Peers {
    private static final long RETRY_MS = 100;

    private final Context context;
    private final PeerLinks links;
    private final Function<HostId, Optional<InetSocketAddress>> addresses;

    /**
     * Makes the way to the other hosts.
     *
     * @param context the host's event loop
     * @param links the links between daemons
     * @param addresses where a host listens for its peers, as membership knows it
     */
    public LinkedPeers(Context context, PeerLinks links, Function<HostId, Optional<InetSocketAddress>> addresses) {
        this.context = context;
        this.links = links;
        this.addresses = addresses;
    }

    @Override
    public Runnable send(HostId host, String method, ByteString request, long deadlineMs, Responder responder) {
        Optional<InetSocketAddress> address = addresses.apply(host);
        if (address.isEmpty()) {
            GatewayException unknown =
                    new GatewayException(ErrorCode.NOT_OWNER, "The owner is not among the live hosts.");
            context.runOnContext(v -> responder.end(Outcome.of(unknown)));
            return () -> {};
        }
        PeerCall call = links.call(address.get(), method, request, deadlineMs, new Relay(responder));
        return call::cancel;
    }

    /**
     * Returns a handler that serves the peers' requests on the host's event loop.
     *
     * @param router serves each request
     * @return the handler
     */
    public static org.celerygw.daemon.peer.Handler handler(Context context, Server router) {
        return (method, request, to) -> context.runOnContext(v -> {
            Runnable gone = router.serve(method, request, new Responder() {
                @Override
                public void chunk(long offsetBytes, ByteString bytes) {
                    to.chunk(bytes);
                }

                @Override
                public void end(Outcome outcome) {
                    to.end(PeerCodec.encode(outcome));
                }
            });
            to.onCancel(() -> context.runOnContext(w -> gone.run()));
        });
    }

    /** Serves a peer's request. */
    @FunctionalInterface
    public interface Server {
        /**
         * Serves a request.
         *
         * @param method the method's name
         * @param request the encoded request
         * @param responder gets the answer
         * @return to be run when the peer no longer wants the answer
         */
        Runnable serve(String method, ByteString request, Responder responder);
    }

    private final class Relay implements Listener {
        private final Responder responder;
        private long offsetBytes;

        private Relay(Responder responder) {
            this.responder = responder;
        }

        @Override
        public void onChunk(ByteString data) {
            context.runOnContext(v -> {
                long at = offsetBytes;
                offsetBytes += data.size();
                responder.chunk(at, data);
            });
        }

        @Override
        public void onEnd(ByteString reply) {
            context.runOnContext(v -> responder.end(decode(reply)));
        }

        @Override
        public void onFail(GatewayException failure) {
            context.runOnContext(v -> responder.end(lost(failure)));
        }

        private static Outcome decode(ByteString reply) {
            try {
                return PeerCodec.outcome(reply);
            } catch (GatewayException e) {
                return Outcome.of(e);
            }
        }

        /** A link's failure is no answer of the owner: the request is asked again by its idempotency key. */
        private static Outcome lost(GatewayException failure) {
            if (failure.code() == ErrorCode.DEADLINE_EXCEEDED || failure.code() == ErrorCode.CANCELLED) {
                return Outcome.of(failure);
            }
            return Outcome.failed(ErrorCode.NOT_OWNER, failure.runState(), RETRY_MS, failure.getMessage());
        }
    }
}
