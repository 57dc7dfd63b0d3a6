package io.chivehollow.protocol.engine;

import java.util.List;
import java.util.Map;

/**
 * A call to an ordinary HTTP service, which runs no language model.
 *
 * <p>Immutable and thread-safe, provided that the body's bytes are not changed.
 *
 * @param method HTTP method
 * @param path path and query
 * @param headers headers in order
 * @param body body; may be empty
 */
public record PlainRequest(String method, String path, List<Map.Entry<String, String>> headers, byte[] body) {

    public PlainRequest {
        headers = List.copyOf(headers);
    }
}
