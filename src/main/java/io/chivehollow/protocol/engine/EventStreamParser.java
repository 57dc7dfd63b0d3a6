package io.chivehollow.protocol.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.chivehollow.base.ErrorCode;

/**
 * Parses a stream of server-sent events into the data of its events.
 *
 * <p>Not thread-safe. Bytes are decoded only when a line is complete, so that a character split between two
 * network packets is decoded correctly.
 */
final class EventStreamParser {

    /** Longest line in bytes; bounds the memory that a misbehaving backend server can occupy. */
    private static final int MAX_LINE_BYTES = 1 << 20;

    /** Longest data of an event in characters, of all its lines together. */
    private static final int MAX_EVENT_CHARS = 1 << 20;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();

    /** Parses the next bytes of the stream and returns the data of all events that they complete. */
    List<String> parse(byte[] bytes) {
        List<String> events = new ArrayList<>();
        for (byte next : bytes) {
            if (next != '\n') {
                line.write(next);
                checkSize(line.size() <= MAX_LINE_BYTES);
                continue;
            }
            parseLine(events);
        }
        return events;
    }

    private void parseLine(List<String> events) {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (text.endsWith("\r")) {
            text = text.substring(0, text.length() - 1);
        }
        if (text.isEmpty()) {
            if (data.length() > 0) {
                events.add(data.toString());
                data.setLength(0);
            }
            return;
        }
        if (text.startsWith("data:")) {
            String value = text.substring("data:".length());
            data.append(data.length() > 0 ? "\n" : "").append(value.startsWith(" ") ? value.substring(1) : value);
            checkSize(data.length() <= MAX_EVENT_CHARS);
        }
    }

    private static void checkSize(boolean isWithinLimit) {
        if (!isWithinLimit) {
            throw EngineException.mayHaveRun(
                    ErrorCode.BACKEND_FAILED, "Event of the engine exceeds the size limit", null);
        }
    }
}
