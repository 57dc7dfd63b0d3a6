package io.chivehollow.coordination.forwarding.flow;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits a stream of server-sent events at event boundaries.
 *
 * <p>Invariants: returned data ends with an empty line, so that an interrupted stream can be resumed at another backend
 * server without a partial event. Each byte is examined once, however many parts an event arrives in. Not thread-safe.
 */
final class EventSplitter {

    /** Limits one event in bytes; an event has a few tokens of output. */
    static final int MAX_EVENT_BYTES = 65_536;

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";

    private final ByteBuf pending = Unpooled.buffer();

    /** Start of the last line, which is incomplete, in bytes from the start of the pending data. */
    private int lineOffset;

    private long lastSeenId = -1;
    private long lastCompleteId = -1;

    /** Id after which the present run resumes the stream, or -1 if it is the first run. */
    private long resumedAfterId = -1;

    /** Whether the incomplete event has a numeric id. */
    private boolean hasSeenId;

    private boolean hasRepeatedEvent;

    /**
     * Adds data, which is released, and returns all complete events that have not been returned yet. A resumed stream
     * ends before an event that an earlier run has sent already.
     */
    ByteBuf add(ByteBuf data) {
        int start = pending.readerIndex();
        int scanStart = pending.writerIndex();
        pending.writeBytes(data);
        data.release();
        int end = start;
        int lineStart = start + lineOffset;
        for (int i = indexOfLineFeed(scanStart); i >= 0; i = indexOfLineFeed(i + 1)) {
            int lineEnd = i > lineStart && pending.getByte(i - 1) == CARRIAGE_RETURN ? i - 1 : i;
            if (lineEnd == lineStart) {
                if (resumedAfterId >= 0 && hasSeenId && lastSeenId <= resumedAfterId) {
                    hasRepeatedEvent = true;
                    break;
                }
                end = i + 1;
                lastCompleteId = lastSeenId;
                hasSeenId = false;
            } else {
                readLine(lineStart, lineEnd);
            }
            lineStart = i + 1;
        }
        lineOffset = lineStart - end;
        if (end == start) {
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf completeEvents = Unpooled.copiedBuffer(pending.readSlice(end - start));
        pending.discardReadBytes();
        return completeEvents;
    }

    private int indexOfLineFeed(int from) {
        return pending.indexOf(from, pending.writerIndex(), LINE_FEED);
    }

    private void readLine(int start, int end) {
        if (end - start <= ID_FIELD.length() || pending.getByte(start) != ID_FIELD.charAt(0)) {
            return;
        }
        String line = pending.toString(start, end - start, StandardCharsets.ISO_8859_1);
        if (line.startsWith(ID_FIELD)) {
            try {
                lastSeenId = Long.parseLong(line.substring(ID_FIELD.length()).strip());
                hasSeenId = true;
            } catch (NumberFormatException e) {
                // A stream cannot be resumed after an id that is not a number; the last numeric id stays in use.
            }
        }
    }

    /** Discards the received part of an interrupted event; another run may resume the stream. */
    void discardPartial() {
        pending.clear();
        lineOffset = 0;
        lastSeenId = lastCompleteId;
        hasSeenId = false;
        resumedAfterId = lastCompleteId;
        hasRepeatedEvent = false;
    }

    /** Returns whether the run that resumes the stream has sent an event of an earlier run. */
    boolean hasRepeatedEvent() {
        return hasRepeatedEvent;
    }

    /** Returns whether an incomplete event is buffered. */
    boolean hasPartial() {
        return pending.isReadable();
    }

    /** Returns whether the incomplete event exceeds the limit; what follows may have no end. */
    boolean isPartialTooLong() {
        return pending.readableBytes() > MAX_EVENT_BYTES;
    }

    /** Returns the id of the last complete event, or an empty value if no event had a numeric id. */
    OptionalLong lastId() {
        return lastCompleteId < 0 ? OptionalLong.empty() : OptionalLong.of(lastCompleteId);
    }

    /** Releases the buffer; nothing may be added after that. */
    void release() {
        pending.release();
    }
}
