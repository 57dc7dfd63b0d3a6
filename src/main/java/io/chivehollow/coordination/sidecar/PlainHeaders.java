package io.chivehollow.coordination.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.chivehollow.protocol.wire.Header;
import io.chivehollow.protocol.wire.PlainCall;

/**
 * Selects the headers of calls to ordinary services.
 *
 * <p>Stateless and thread-safe. Hop-by-hop headers are not forwarded, nor are those that can carry the caller's API
 * key. The gateway removes the key too, but the sidecar does not rely on that.
 */
final class PlainHeaders {

    private static final Set<String> HOP_BY_HOP_HEADERS = Set.of(
            "connection",
            "content-length",
            "expect",
            "host",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private static final Set<String> CREDENTIAL_HEADERS =
            Set.of("authorization", "proxy-authorization", "x-api-key", "api-key");

    private PlainHeaders() {}

    /** Returns the headers of the request to the service. */
    static List<Map.Entry<String, String>> requestHeaders(PlainCall call) {
        List<Map.Entry<String, String>> result = new ArrayList<>();
        for (Header header : call.getHeadersList()) {
            String name = header.getName().toLowerCase(Locale.ROOT);
            boolean isSetSeparately = name.equals("idempotency-key") || name.equals("x-request-id");
            if (!HOP_BY_HOP_HEADERS.contains(name) && !CREDENTIAL_HEADERS.contains(name) && !isSetSeparately) {
                result.add(Map.entry(header.getName(), header.getValue()));
            }
        }
        if (!call.getIdempotencyKey().isEmpty()) {
            result.add(Map.entry("Idempotency-Key", call.getIdempotencyKey()));
        }
        result.add(Map.entry("X-Request-Id", call.getRequestId()));
        return result;
    }

    /** Returns the headers of the response to the caller. */
    static List<Header> responseHeaders(List<Map.Entry<String, String>> headers) {
        return headers.stream()
                .filter(header -> !HOP_BY_HOP_HEADERS.contains(header.getKey().toLowerCase(Locale.ROOT)))
                .map(header -> Header.newBuilder()
                        .setName(header.getKey())
                        .setValue(header.getValue())
                        .build())
                .toList();
    }
}
