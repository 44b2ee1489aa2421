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
import org.celerygw.gateway.net.AnswerSink;
import org.celerygw.gateway.net.Incoming;
import org.celerygw.gateway.net.Origin;
import org.celerygw.gateway.net.Outgoing;
import org.celerygw.gateway.net.Reply;
import org.celerygw.gateway.watch.RowFeed;

/** Makes store calls for peers, and has them made by peers. */
final class Relay {
    private static final String PATH = "/relay";
    private static final long TIMEOUT_MS = 1_500;
    private static final long KEPT_MS = 8_000;
    private static final int UNAVAILABLE = 503;

    private final Scheduler scheduler;
    private final List<Table> partitions;
    private final Function<String, RowFeed.News> feeds;

    Relay(Scheduler scheduler, List<Table> partitions, Function<String, RowFeed.News> feeds) {
        this.scheduler = scheduler;
        this.partitions = partitions;
        this.feeds = feeds;
    }

    /** Answers a peer's call by a call of our own; never by another peer. */
    void serve(Incoming request, Reply reply) {
        try {
            RelayedCall call = RelayedCall.parseFrom(request.body());
            boolean known = call.getPartition() >= 0 && call.getPartition() < partitions.size();
            if (!known) {
                answer(reply, Optional.empty());
                return;
            }
            Table table = partitions.get(call.getPartition());
            switch (call.getCallCase()) {
                case WRITE ->
                    table.write(
                            RowCodec.txn(call.getWrite()),
                            r -> answer(reply, RowCodec.reply(r).map(w -> RelayedReply.newBuilder()
                                    .setWritten(w)
                                    .build())));
                case READ -> table.read(call.getRead().getKeysList(), a -> answer(reply, rows(a)));
                case SCAN ->
                    table.scan(
                            call.getScan().getPrefix(),
                            call.getScan().getAfterKey(),
                            call.getScan().getLimit(),
                            a -> answer(reply, rows(a)));
                case FEED -> answer(reply, feed(feeds.apply(call.getFeed())));
                case CALL_NOT_SET -> answer(reply, Optional.empty());
            }
        } catch (InvalidProtocolBufferException e) {
            answer(reply, Optional.empty());
        }
    }

    /** Has a call made by a peer; gives nothing when it has no answer. */
    void call(Origin peer, RelayedCall call, Consumer<Optional<RelayedReply>> done) {
        Outgoing request =
                new Outgoing(HttpMethod.POST, PATH, new DefaultHttpHeaders().set("Host", "peer"), call.toByteArray());
        Waiting waiting = new Waiting(done);
        Origin.Sent sent = peer.send(request, head -> true, KEPT_MS, waiting);
        scheduler.after(TIMEOUT_MS, () -> {
            if (!waiting.over) {
                sent.cancel();
                peer.distrust();
                waiting.finish(Optional.empty());
            }
        });
    }

    private static Optional<RelayedReply> rows(Table.Answer answer) {
        if (!answer.ok()) {
            return Optional.empty();
        }
        RowsReply.Builder rows = RowsReply.newBuilder().setComplete(true);
        answer.rows().forEach(r -> rows.addRows(RowCodec.row(r)));
        return Optional.of(RelayedReply.newBuilder().setRows(rows).build());
    }

    private static Optional<RelayedReply> feed(RowFeed.News news) {
        if (news.status() != RowFeed.Status.OK) {
            return Optional.empty();
        }
        FeedRows.Builder rows = FeedRows.newBuilder().setVersion(news.version());
        news.rows().forEach(r -> rows.addRows(RowCodec.row(r)));
        return Optional.of(RelayedReply.newBuilder().setFeed(rows).build());
    }

    private static void answer(Reply reply, Optional<RelayedReply> answer) {
        reply.whole(
                answer.isPresent() ? 200 : UNAVAILABLE,
                new DefaultHttpHeaders(),
                answer.map(RelayedReply::toByteArray).orElse(new byte[0]));
    }

    static Optional<WriteReply> written(Optional<RelayedReply> reply) {
        return reply.filter(RelayedReply::hasWritten).map(RelayedReply::getWritten);
    }

    /** Collects one answer. */
    private static final class Waiting implements AnswerSink {
        private final Consumer<Optional<RelayedReply>> done;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private boolean over;

        Waiting(Consumer<Optional<RelayedReply>> done) {
            this.done = done;
        }

        @Override
        public void head(HttpResponse head) {
            status = head.status().code();
        }

        @Override
        public void body(byte[] bytes) {
            body.writeBytes(bytes);
        }

        @Override
        public void end() {
            try {
                finish(status == 200 ? Optional.of(RelayedReply.parseFrom(body.toByteArray())) : Optional.empty());
            } catch (InvalidProtocolBufferException e) {
                finish(Optional.empty());
            }
        }

        @Override
        public void broken(boolean sent) {
            finish(Optional.empty());
        }

        private void finish(Optional<RelayedReply> reply) {
            if (!over) {
                over = true;
                done.accept(reply);
            }
        }
    }
}
