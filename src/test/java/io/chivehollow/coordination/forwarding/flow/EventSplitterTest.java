package io.chivehollow.coordination.forwarding.flow;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against partial events that reach the caller, and against a stream that is resumed after the wrong event. */
public class EventSplitterTest {

    private EventSplitter splitter = new EventSplitter();

    @BeforeMethod
    public void start() {
        splitter = new EventSplitter();
    }

    private String add(String text) {
        ByteBuf whole = splitter.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        return whole.toString(StandardCharsets.UTF_8);
    }

    /**
     * However the bytes are split into parts, the events are the same and the id is that of the last complete event.
     */
    @Test
    public void anySplitOfTheBytesGivesCompleteEvents() {
        String stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n";
        String whole = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
        for (int cut = 0; cut <= stream.length(); cut++) {
            EventSplitter fresh = new EventSplitter();
            ByteBuf first = fresh.add(Unpooled.copiedBuffer(stream.substring(0, cut), StandardCharsets.UTF_8));
            ByteBuf second = fresh.add(Unpooled.copiedBuffer(stream.substring(cut), StandardCharsets.UTF_8));
            String both = first.toString(StandardCharsets.UTF_8) + second.toString(StandardCharsets.UTF_8);
            assertEquals(both, whole, "cut at " + cut);
            assertEquals(fresh.lastId(), OptionalLong.of(2), "cut at " + cut);
            assertTrue(fresh.hasPartial());
        }
    }

    @Test
    public void partialEventIsDiscarded() {
        assertEquals(add("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
        splitter.discardPartial();
        assertFalse(splitter.hasPartial());
        assertEquals(splitter.lastId(), OptionalLong.of(1));
        assertEquals(add("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
        assertEquals(splitter.lastId(), OptionalLong.of(2));
    }

    @Test
    public void streamWithoutIdsHasNoLastId() {
        assertEquals(add("data: a\n\n"), "data: a\n\n");
        assertEquals(splitter.lastId(), OptionalLong.empty());
    }

    /** Guards against memory and processor time that grow with an event that has no end. */
    @Test(timeOut = 5_000)
    public void eventWithoutEndIsReportedAndScannedOnce() {
        byte[] part = "x".repeat(1_024).getBytes(StandardCharsets.US_ASCII);
        int parts = 16 * 1_024;
        for (int i = 0; i < parts; i++) {
            assertFalse(splitter.add(Unpooled.wrappedBuffer(part)).isReadable());
            boolean isOverLimit = (i + 1) * part.length > EventSplitter.MAX_EVENT_BYTES;
            assertEquals(splitter.isPartialTooLong(), isOverLimit, "after part " + i);
        }
    }

    @Test
    public void limitAppliesToOneEventOnly() {
        String event = "data: " + "x".repeat(40_000) + "\n\n";
        assertEquals(add(event + event + event), event + event + event);
        assertFalse(splitter.isPartialTooLong());
    }
}
