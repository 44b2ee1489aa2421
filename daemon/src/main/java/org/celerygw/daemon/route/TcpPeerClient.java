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
import org.celerygw.daemon.peer.PeerCall;
import org.celerygw.daemon.peer.PeerCallListener;
import org.celerygw.daemon.peer.PeerLinks;
import org.celerygw.daemon.work.Responder;

/** Sends requests to other hosts over {@link PeerLinks} and moves the callbacks to the host's event loop. */
public final class TcpPeerClient implements PeerClient {
    private static final long RETRY_AFTER_MS = 100;

    private final Context context;
    private final PeerLinks links;
    private final Function<HostId, Optional<InetSocketAddress>> addressLookup;

    /**
     * Creates a client for the other hosts.
     *
     * @param context event loop of this host
     * @param links connections to the other daemons
     * @param addressLookup looks up the address at which a host accepts connections of peers; empty if the host is not
     *     known to be live
     */
    public TcpPeerClient(
            Context context, PeerLinks links, Function<HostId, Optional<InetSocketAddress>> addressLookup) {
        this.context = context;
        this.links = links;
        this.addressLookup = addressLookup;
    }

    @Override
    public Runnable send(HostId host, String method, ByteString request, long deadlineMs, Responder responder) {
        Optional<InetSocketAddress> address = addressLookup.apply(host);
        if (address.isEmpty()) {
            GatewayException notLive =
                    new GatewayException(ErrorCode.NOT_OWNER, "The target host is not among the live hosts.");
            context.runOnContext(v -> responder.end(Outcome.of(notLive)));
            return () -> {};
        }
        PeerCall call = links.call(address.get(), method, request, deadlineMs, new ResponseRelay(responder));
        return call::cancel;
    }

    /**
     * Returns a handler that passes the requests of peers to {@code requestHandler} on the host's event loop.
     *
     * @param context event loop of this host
     * @param requestHandler handles each request
     * @return handler for {@link PeerLinks#listen}
     */
    public static org.celerygw.daemon.peer.PeerCallHandler handler(Context context, RequestHandler requestHandler) {
        return (method, request, peerResponder) -> context.runOnContext(v -> {
            Runnable cancelRequest = requestHandler.handle(method, request, new Responder() {
                @Override
                public void chunk(long offsetBytes, ByteString bytes) {
                    peerResponder.sendChunk(bytes);
                }

                @Override
                public void end(Outcome outcome) {
                    peerResponder.complete(PeerCodec.encode(outcome));
                }
            });
            peerResponder.onCancel(() -> context.runOnContext(ignored -> cancelRequest.run()));
        });
    }

    /** Handles requests of peers. */
    @FunctionalInterface
    public interface RequestHandler {
        /**
         * Starts to handle a request.
         *
         * @param method name of the method
         * @param request encoded request of that method
         * @param responder receives the response
         * @return action to run when the peer has cancelled the request or its connection is lost
         */
        Runnable handle(String method, ByteString request, Responder responder);
    }

    /** Passes the response of a peer to a responder, on the host's event loop. */
    private final class ResponseRelay implements PeerCallListener {
        private final Responder responder;
        private long offsetBytes;

        private ResponseRelay(Responder responder) {
            this.responder = responder;
        }

        @Override
        public void onChunk(ByteString data) {
            context.runOnContext(v -> {
                long chunkOffsetBytes = offsetBytes;
                offsetBytes += data.size();
                responder.chunk(chunkOffsetBytes, data);
            });
        }

        @Override
        public void onEnd(ByteString reply) {
            context.runOnContext(v -> responder.end(decodeOutcome(reply)));
        }

        @Override
        public void onFail(GatewayException failure) {
            context.runOnContext(v -> responder.end(toRetryableOutcome(failure)));
        }

        private static Outcome decodeOutcome(ByteString reply) {
            try {
                return PeerCodec.decodeOutcome(reply);
            } catch (GatewayException e) {
                return Outcome.of(e);
            }
        }

        /**
         * Converts a failure to an outcome. A connection failure says nothing about the owner's decision, so it becomes
         * NOT_OWNER, which makes the router retry the request with its idempotency key.
         */
        private static Outcome toRetryableOutcome(GatewayException failure) {
            if (failure.code() == ErrorCode.DEADLINE_EXCEEDED || failure.code() == ErrorCode.CANCELLED) {
                return Outcome.of(failure);
            }
            return Outcome.failed(ErrorCode.NOT_OWNER, failure.runState(), RETRY_AFTER_MS, failure.getMessage());
        }
    }
}
