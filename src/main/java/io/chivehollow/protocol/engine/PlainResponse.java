package io.chivehollow.protocol.engine;

import java.util.List;
import java.util.Map;

/**
 * Response of an ordinary HTTP service.
 *
 * <p>Immutable and thread-safe, provided that the body's bytes are not changed.
 *
 * @param status HTTP status
 * @param headers headers in order
 * @param body body; may be empty
 */
public record PlainResponse(int status, List<Map.Entry<String, String>> headers, byte[] body) {

    public PlainResponse {
        headers = List.copyOf(headers);
    }
}
