package org.celerygw.gateway.peers;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.celerygw.core.gen.peers.FeedRows;
import org.celerygw.core.gen.peers.RelayedCall;
import org.celerygw.core.gen.peers.RelayedReply;
import org.celerygw.core.gen.store.RowsReply;
import org.celerygw.core.gen.store.WriteReply;
import org.celerygw.core.store.Table;
import org.celerygw.core.turns.Scheduler;
import org.celerygw.gateway.log.StepFailures;
import org.celerygw.gateway.net.ClientRequest;
import org.celerygw.gateway.net.ClientResponse;
import org.celerygw.gateway.net.OriginPool;
import org.celerygw.gateway.net.OriginRequest;
import org.celerygw.gateway.net.ResponseHandler;
import org.celerygw.gateway.watch.RowFeed;

/** Relays store calls: makes them for peers, and sends this host's calls to peers. */
final class Relay {
    private static final String PATH = "/relay";
    private static final long TIMEOUT_MS = 1_500;
    private static final long MAX_IDLE_MS = 8_000;
    private static final int UNAVAILABLE = 503;

    private final Scheduler scheduler;
    private final List<Table> partitions;
    private final Function<String, RowFeed.Result> feeds;

    Relay(Scheduler scheduler, List<Table> partitions, Function<String, RowFeed.Result> feeds) {
        this.scheduler = scheduler;
        this.partitions = partitions;
        this.feeds = feeds;
    }

    /** Serves a peer's call by calling the store directly. Never relays it again, so that relayed calls cannot loop. */
    void serve(ClientRequest request, ClientResponse response) {
        try {
            RelayedCall call = RelayedCall.parseFrom(request.body());
            boolean partitionExists = call.getPartition() >= 0 && call.getPartition() < partitions.size();
            if (!partitionExists) {
                respond(response, Optional.empty());
                return;
            }
            Table table = partitions.get(call.getPartition());
            switch (call.getCallCase()) {
                case WRITE ->
                    table.write(
                            RowCodec.decodeTxn(call.getWrite()),
                            r -> respond(response, RowCodec.encodeResult(r).map(w -> RelayedReply.newBuilder()
                                    .setWritten(w)
                                    .build())));
                case READ -> table.read(call.getRead().getKeysList(), a -> respond(response, rowsReply(a)));
                case SCAN ->
                    table.scan(
                            call.getScan().getPrefix(),
                            call.getScan().getAfterKey(),
                            call.getScan().getLimit(),
                            a -> respond(response, rowsReply(a)));
                case FEED -> respond(response, feedReply(feeds.apply(call.getFeed())));
                case CALL_NOT_SET -> respond(response, Optional.empty());
            }
        } catch (InvalidProtocolBufferException e) {
            respond(response, Optional.empty());
        }
    }

    /** Sends a call to a peer; the callback receives nothing when the peer does not answer or has no answer. */
    void call(OriginPool peerPool, RelayedCall call, Consumer<Optional<RelayedReply>> callback) {
        OriginRequest request = new OriginRequest(
                HttpMethod.POST, PATH, new DefaultHttpHeaders().set("Host", "peer"), call.toByteArray());
        ReplyCollector collector = new ReplyCollector(callback);
        OriginPool.PendingRequest pendingRequest = peerPool.send(request, head -> true, MAX_IDLE_MS, collector);
        scheduler.schedule(TIMEOUT_MS, () -> {
            if (!collector.finished) {
                pendingRequest.cancel();
                peerPool.closeIdle();
                collector.finish(Optional.empty());
            }
        });
    }

    private static Optional<RelayedReply> rowsReply(Table.ReadResult answer) {
        if (!answer.ok()) {
            return Optional.empty();
        }
        RowsReply.Builder rows = RowsReply.newBuilder().setComplete(true);
        answer.rows().forEach(r -> rows.addRows(RowCodec.encodeRow(r)));
        return Optional.of(RelayedReply.newBuilder().setRows(rows).build());
    }

    private static Optional<RelayedReply> feedReply(RowFeed.Result snapshot) {
        if (snapshot.status() != RowFeed.Status.OK) {
            return Optional.empty();
        }
        FeedRows.Builder rows = FeedRows.newBuilder().setVersion(snapshot.version());
        snapshot.rows().forEach(r -> rows.addRows(RowCodec.encodeRow(r)));
        return Optional.of(RelayedReply.newBuilder().setFeed(rows).build());
    }

    private static void respond(ClientResponse response, Optional<RelayedReply> reply) {
        response.send(
                reply.isPresent() ? 200 : UNAVAILABLE,
                new DefaultHttpHeaders(),
                reply.map(RelayedReply::toByteArray).orElse(new byte[0]));
    }

    static Optional<WriteReply> writeReply(Optional<RelayedReply> reply) {
        return reply.filter(RelayedReply::hasWritten).map(RelayedReply::getWritten);
    }

    /** Collects and decodes the response to one relayed call. */
    private static final class ReplyCollector implements ResponseHandler {
        private final Consumer<Optional<RelayedReply>> callback;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private boolean finished;

        ReplyCollector(Consumer<Optional<RelayedReply>> callback) {
            this.callback = callback;
        }

        @Override
        public void onHead(HttpResponse head) {
            status = head.status().code();
        }

        @Override
        public void onBody(byte[] bytes) {
            body.writeBytes(bytes);
        }

        @Override
        public void onComplete() {
            try {
                finish(status == 200 ? Optional.of(RelayedReply.parseFrom(body.toByteArray())) : Optional.empty());
            } catch (InvalidProtocolBufferException e) {
                finish(Optional.empty());
            }
        }

        @Override
        public void onFailure(boolean sent) {
            finish(Optional.empty());
        }

        private void finish(Optional<RelayedReply> reply) {
            if (!finished) {
                finished = true;
                StepFailures.run("reply of a host to a relayed call", () -> callback.accept(reply));
            }
        }
    }
}
