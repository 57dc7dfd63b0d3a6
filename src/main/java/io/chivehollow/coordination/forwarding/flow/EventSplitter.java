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
    private static final String DATA_FIELD = "data";

    private final ByteBuf pending = Unpooled.buffer();

    /** Start of the last line, which is incomplete, in bytes from the start of the pending data. */
    private int lineOffset;

    /** Numeric id of the incomplete event, or -1 if it has none. */
    private long seenId = -1;

    /** Whether the incomplete event has data; without data it is a comment or sets a field of the stream. */
    private boolean hasSeenData;

    /** Numeric id of the last complete event, or -1 if it has none. */
    private long lastCompleteId = -1;

    /** Id after which the present run resumes the stream, or -1 if it is the first run. */
    private long resumedAfterId = -1;

    private boolean hasRepeatedEvent;
    private int eventsOfRun;

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
                if (resumedAfterId >= 0 && seenId >= 0 && seenId <= resumedAfterId) {
                    hasRepeatedEvent = true;
                    break;
                }
                end = i + 1;
                onEventEnd();
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

    private void onEventEnd() {
        if (hasSeenData || seenId >= 0) {
            lastCompleteId = seenId;
            eventsOfRun++;
        }
        seenId = -1;
        hasSeenData = false;
    }

    private int indexOfLineFeed(int from) {
        return pending.indexOf(from, pending.writerIndex(), LINE_FEED);
    }

    private void readLine(int start, int end) {
        if (hasPrefix(DATA_FIELD, start, end)) {
            hasSeenData = true;
        } else if (hasPrefix(ID_FIELD, start, end)) {
            int valueStart = start + ID_FIELD.length();
            seenId = parseId(pending.toString(valueStart, end - valueStart, StandardCharsets.ISO_8859_1));
        }
    }

    private boolean hasPrefix(String prefix, int start, int end) {
        if (end - start < prefix.length()) {
            return false;
        }
        for (int i = 0; i < prefix.length(); i++) {
            if (pending.getByte(start + i) != prefix.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private static long parseId(String value) {
        try {
            return Math.max(-1, Long.parseLong(value.strip()));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** Discards the received part of an interrupted event; another run may resume the stream. */
    void discardPartial() {
        pending.clear();
        lineOffset = 0;
        seenId = -1;
        hasSeenData = false;
        resumedAfterId = lastCompleteId;
        hasRepeatedEvent = false;
        eventsOfRun = 0;
    }

    /** Returns whether the present run has sent a complete event; comments do not count. */
    boolean hasEventOfRun() {
        return eventsOfRun > 0;
    }

    /** Returns the number of complete events that the present run has sent; comments do not count. */
    int eventsOfRun() {
        return eventsOfRun;
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

    /** Returns the id of the last complete event, or an empty value if it had no numeric id. */
    OptionalLong lastId() {
        return lastCompleteId < 0 ? OptionalLong.empty() : OptionalLong.of(lastCompleteId);
    }

    /** Releases the buffer; nothing may be added after that. */
    void release() {
        pending.release();
    }
}
