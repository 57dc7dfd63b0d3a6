package io.chivehollow.coordination.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;

/** Reads the data of server-sent events one by one. */
final class SseReader {

    private final BufferedReader reader;

    SseReader(InputStream stream) {
        reader = new BufferedReader(new InputStreamReader(stream, StandardCharsets.UTF_8));
    }

    /** Returns the data of the next event, or null at the end of the stream. */
    String next() throws IOException {
        String line = reader.readLine();
        while (line != null && line.isEmpty()) {
            line = reader.readLine();
        }
        return line == null ? null : line.substring("data: ".length());
    }
}
