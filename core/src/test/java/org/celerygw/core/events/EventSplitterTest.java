package org.celerygw.core.events;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class EventSplitterTest {
    private static final String STREAM = "id: 1\ndata: one\n\nid: 2\ndata: a\ndata: b\n\n: comment\n\n";

    @Test
    public void parsesTheSameEventsForEveryChunkLength() {
        for (int chunkLength = 1; chunkLength <= STREAM.length(); chunkLength++) {
            EventSplitter splitter = new EventSplitter();
            List<ServerSentEvent> events = new ArrayList<>();
            for (int offset = 0; offset < STREAM.length(); offset += chunkLength) {
                events.addAll(
                        splitter.add(bytes(STREAM.substring(offset, Math.min(STREAM.length(), offset + chunkLength)))));
            }
            assertEquals(events.size(), 3);
            assertEquals(events.get(0).id(), 1);
            assertEquals(text(events.get(0).data()), "one");
            assertEquals(text(events.get(1).data()), "a\nb");
            assertEquals(events.get(2).id(), -1);
            assertEquals(
                    text(events.get(0).bytes()) + text(events.get(1).bytes()),
                    STREAM.substring(0, STREAM.indexOf(": comment")));
            assertTrue(splitter.atEventBoundary());
        }
    }

    @Test
    public void buffersAnIncompleteEvent() {
        EventSplitter splitter = new EventSplitter();
        assertEquals(splitter.add(bytes("id: 1\ndata: x\n")).size(), 0);
        assertFalse(splitter.atEventBoundary());
        assertEquals(splitter.add(bytes("\n")).size(), 1);
    }

    @Test
    public void acceptsCarriageReturnLineFeedAsLineEnd() {
        List<ServerSentEvent> events = new EventSplitter().add(bytes("id: 7\r\ndata: x\r\n\r\n"));
        assertEquals(events.size(), 1);
        assertEquals(events.get(0).id(), 7);
        assertEquals(text(events.get(0).data()), "x");
    }

    @DataProvider
    public Object[][] blocks() {
        return new Object[][] {
            {"id: 7\ndata: a\n\n", ServerSentEvent.Kind.EVENT},
            {"id:7\r\ndata:a\r\n\r\n", ServerSentEvent.Kind.EVENT},
            {"weights: 3\nid: 7\ndata: a\n\n", ServerSentEvent.Kind.EVENT},
            {"id: 7\nevent: e\nretry: 5\n: comment\n\n", ServerSentEvent.Kind.EVENT},
            {": comment\n\n", ServerSentEvent.Kind.COMMENT},
            {"\n", ServerSentEvent.Kind.COMMENT},
            {"data: a\n\n", ServerSentEvent.Kind.MALFORMED},
            {"id: x\ndata: a\n\n", ServerSentEvent.Kind.MALFORMED},
            {"id: 7\nid: 8\n\n", ServerSentEvent.Kind.MALFORMED},
            {"id: 7\nweights: 3\n\n", ServerSentEvent.Kind.MALFORMED},
            {"weights: many\nid: 7\n\n", ServerSentEvent.Kind.MALFORMED},
            {"id: 7\ndata: aHTTP/1.1 500 Error\r\n\r\n", ServerSentEvent.Kind.MALFORMED},
            {"HTTP/1.1 500 Error\r\nid: 7\r\n\r\n", ServerSentEvent.Kind.MALFORMED},
            {"error\n\n", ServerSentEvent.Kind.MALFORMED},
        };
    }

    @Test(dataProvider = "blocks")
    public void tellsEventsFromOtherBytesHoweverTheyArrive(String text, ServerSentEvent.Kind kind) {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        for (int cut = 0; cut <= bytes.length; cut++) {
            EventSplitter splitter = new EventSplitter();
            List<ServerSentEvent> blocks =
                    new ArrayList<>(splitter.add(text.substring(0, cut).getBytes(StandardCharsets.US_ASCII)));
            assertEquals(splitter.atEventBoundary(), cut == 0 || cut == bytes.length);
            blocks.addAll(splitter.add(text.substring(cut).getBytes(StandardCharsets.US_ASCII)));
            assertEquals(blocks.size(), 1);
            assertEquals(blocks.get(0).kind(), kind);
            assertEquals(blocks.get(0).bytes(), bytes);
            assertEquals(blocks.get(0).id(), kind == ServerSentEvent.Kind.EVENT ? 7 : -1);
        }
    }

    @DataProvider
    public Object[][] emptyBlocks() {
        return new Object[][] {{"\n"}, {"\r\n"}, {":\n\n"}, {": a\n\n\n"}};
    }

    /** Guards against an object for each byte of a stream of line feeds or comments without end. */
    @Test(dataProvider = "emptyBlocks")
    public void commentBlocksThatFollowEachOtherAreOne(String block) {
        EventSplitter splitter = new EventSplitter();
        String comments = block.repeat(20_000);
        for (int i = 0; i < 3; i++) {
            List<ServerSentEvent> blocks = splitter.add(bytes(comments + "id: 1\ndata: x\n\n" + comments));
            assertEquals(blocks.size(), 3);
            assertEquals(text(blocks.get(0).bytes()), comments);
            assertEquals(text(blocks.get(1).data()), "x");
            assertEquals(text(blocks.get(2).bytes()), comments);
            assertTrue(splitter.atEventBoundary());
        }
    }

    @Test
    public void dataLinesAreJoinedByLineFeeds() {
        ServerSentEvent event = new EventSplitter()
                .add("id: 1\ndata: a\ndata:\ndata:  b\n\n".getBytes(StandardCharsets.US_ASCII))
                .get(0);
        assertEquals(new String(event.data(), StandardCharsets.US_ASCII), "a\n\n b");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
