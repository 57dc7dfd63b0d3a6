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
 * Selects the headers that are passed between a caller and an ordinary service.
 *
 * <p>Stateless and thread-safe.
 */
final class PlainHeaders {

    /** Headers of one connection, and those that the next hop writes itself. */
    private static final Set<String> OF_ONE_HOP = Sets.union(ConnectionHeaders.NAMES, Set.of("content-length", "host"))
            .immutableCopy();

    /** Credentials for the gateway, which no backend server may see, and the id that the gateway sets. */
    private static final Set<String> OF_GATEWAY = Set.of("authorization", "x-api-key", "cookie", "x-request-id");

    private PlainHeaders() {}

    /** Returns the request headers that are passed on. */
    static List<Header> ofRequest(HttpHeaders headers, boolean removeCredentials) {
        Set<String> removed = new HashSet<>(OF_ONE_HOP);
        if (removeCredentials) {
            removed.addAll(OF_GATEWAY);
        }
        headers.getAll("Connection").forEach(value -> ConnectionHeaders.addNamed(value, removed));
        List<Header> passed = new ArrayList<>();
        for (Map.Entry<String, List<String>> header : headers) {
            if (removed.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                continue;
            }
            for (String value : header.getValue()) {
                passed.add(Header.newBuilder()
                        .setName(header.getKey())
                        .setValue(value)
                        .build());
            }
        }
        return passed;
    }

    /** Returns the answer's headers that are passed back. */
    static List<Header> ofAnswer(List<Header> headers) {
        Set<String> removed = new HashSet<>(OF_ONE_HOP);
        removed.add("x-request-id");
        for (Header header : headers) {
            if (header.getName().equalsIgnoreCase("Connection")) {
                ConnectionHeaders.addNamed(header.getValue(), removed);
            }
        }
        return headers.stream()
                .filter(header -> !removed.contains(header.getName().toLowerCase(Locale.ROOT)))
                .toList();
    }
}
