package io.chivehollow.coordination.forwarding.flow;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits a stream of server-sent events at event boundaries.
 *
 * <p>Invariant: returned data ends with an empty line, so that an interrupted stream can be resumed at another backend
 * server without a partial event. Not thread-safe.
 */
final class EventSplitter {

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";

    private final ByteBuf pending = Unpooled.buffer();
    private long lastSeenId = -1;
    private long lastCompleteId = -1;

    /** Adds data, which is released, and returns all complete events that have not been returned yet. */
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
                lastCompleteId = lastSeenId;
            } else {
                readLine(lineStart, lineEnd);
            }
            lineStart = i + 1;
        }
        if (end == pending.readerIndex()) {
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf completeEvents = Unpooled.copiedBuffer(pending.readSlice(end - pending.readerIndex()));
        pending.discardReadBytes();
        return completeEvents;
    }

    private void readLine(int start, int end) {
        if (end - start <= ID_FIELD.length() || pending.getByte(start) != ID_FIELD.charAt(0)) {
            return;
        }
        String line = pending.toString(start, end - start, StandardCharsets.ISO_8859_1);
        if (line.startsWith(ID_FIELD)) {
            try {
                lastSeenId = Long.parseLong(line.substring(ID_FIELD.length()).strip());
            } catch (NumberFormatException e) {
                // A stream cannot be resumed after an id that is not a number; the last numeric id stays in use.
            }
        }
    }

    /** Discards the received part of an interrupted event. */
    void discardPartial() {
        pending.clear();
        lastSeenId = lastCompleteId;
    }

    /** Returns whether an incomplete event is buffered. */
    boolean hasPartial() {
        return pending.isReadable();
    }

    /** Returns the id of the last complete event, or an empty value if no event had a numeric id. */
    OptionalLong lastId() {
        return lastCompleteId < 0 ? OptionalLong.empty() : OptionalLong.of(lastCompleteId);
    }
}
