package org.celerygw.core.events;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
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

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
