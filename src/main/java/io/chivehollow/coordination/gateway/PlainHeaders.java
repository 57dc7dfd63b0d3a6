package io.chivehollow.coordination.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import com.google.common.collect.Sets;
import io.chivehollow.protocol.ConnectionHeaders;
import io.chivehollow.protocol.wire.Header;
import io.micronaut.http.HttpHeaders;

/**
 * Selects the headers that are forwarded between a caller and an ordinary service.
 *
 * <p>Stateless and thread-safe.
 */
final class PlainHeaders {

    /** Headers that apply to one connection only, and those that the next hop writes itself. */
    private static final Set<String> HOP_BY_HOP_HEADERS = Sets.union(
                    ConnectionHeaders.NAMES, Set.of("content-length", "host"))
            .immutableCopy();

    /** Credentials for the gateway, which no backend server may receive, and the id that the gateway sets. */
    private static final Set<String> GATEWAY_HEADERS = Set.of("authorization", "x-api-key", "cookie", "x-request-id");

    private PlainHeaders() {}

    /** Returns the request headers that are forwarded to the service. */
    static List<Header> ofRequest(HttpHeaders headers, boolean removeCredentials) {
        Set<String> removed = new HashSet<>(HOP_BY_HOP_HEADERS);
        if (removeCredentials) {
            removed.addAll(GATEWAY_HEADERS);
        }
        headers.getAll("Connection").forEach(value -> ConnectionHeaders.addConnectionOptions(value, removed));
        List<Header> forwarded = new ArrayList<>();
        for (Map.Entry<String, List<String>> header : headers) {
            if (removed.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                continue;
            }
            for (String value : header.getValue()) {
                forwarded.add(Header.newBuilder()
                        .setName(header.getKey())
                        .setValue(value)
                        .build());
            }
        }
        return forwarded;
    }

    /** Returns the response headers that are forwarded to the caller. */
    static List<Header> ofResponse(List<Header> headers) {
        Set<String> removed = new HashSet<>(HOP_BY_HOP_HEADERS);
        removed.add("x-request-id");
        for (Header header : headers) {
            if (header.getName().equalsIgnoreCase("Connection")) {
                ConnectionHeaders.addConnectionOptions(header.getValue(), removed);
            }
        }
        return headers.stream()
                .filter(header -> !removed.contains(header.getName().toLowerCase(Locale.ROOT)))
                .toList();
    }
}
