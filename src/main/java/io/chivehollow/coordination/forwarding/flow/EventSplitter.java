package io.chivehollow.coordination.forwarding.flow;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Cuts a stream of server-sent events after whole events.
 *
 * <p>Invariant: what is returned ends with an empty line, so that a stream that breaks off can go on at another backend
 * server without a torn event. Not thread-safe.
 */
final class EventSplitter {

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";

    private final ByteBuf pending = Unpooled.buffer();
    private long seenId = -1;
    private long committedId = -1;

    /** Adds data, which is released, and returns all whole events that have not been returned yet. */
    ByteBuf add(ByteBuf data) {
        pending.writeBytes(data);
        data.release();
        int end = pending.readerIndex();
        int lineStart = end;
        for (int i = lineStart; i < pending.writerIndex(); i++) {
            if (pending.getByte(i) != LINE_FEED) {
                continue;
            }
            int lineEnd = i > lineStart && pending.getByte(i - 1) == CARRIAGE_RETURN ? i - 1 : i;
            if (lineEnd == lineStart) {
                end = i + 1;
                committedId = seenId;
            } else {
                readLine(lineStart, lineEnd);
            }
            lineStart = i + 1;
        }
        if (end == pending.readerIndex()) {
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf whole = Unpooled.copiedBuffer(pending.readSlice(end - pending.readerIndex()));
        pending.discardReadBytes();
        return whole;
    }

    private void readLine(int start, int end) {
        if (end - start <= ID_FIELD.length() || pending.getByte(start) != ID_FIELD.charAt(0)) {
            return;
        }
        String line = pending.toString(start, end - start, StandardCharsets.ISO_8859_1);
        if (line.startsWith(ID_FIELD)) {
            try {
                seenId = Long.parseLong(line.substring(ID_FIELD.length()).strip());
            } catch (NumberFormatException e) {
                // An id that is no number cannot be resumed; the last one that was stays.
            }
        }
    }

    /** Forgets the rest of an event that broke off. */
    void dropPartial() {
        pending.clear();
        seenId = committedId;
    }

    /** Returns whether a part of an event waits for its end. */
    boolean hasPartial() {
        return pending.isReadable();
    }

    /** Returns the id of the last whole event. */
    OptionalLong lastId() {
        return committedId < 0 ? OptionalLong.empty() : OptionalLong.of(committedId);
    }
}
