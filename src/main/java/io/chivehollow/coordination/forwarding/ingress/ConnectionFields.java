package io.chivehollow.coordination.forwarding.ingress;

import java.util.HashSet;
import java.util.Set;

import io.chivehollow.protocol.ConnectionHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Removes header fields that concern only one connection.
 *
 * <p>Stateless and thread-safe.
 */
final class ConnectionFields {

    private ConnectionFields() {}

    /** Returns a copy without the connection-specific fields and those that its Connection field names. */
    static HttpHeaders without(HttpHeaders headers) {
        Set<String> removed = new HashSet<>(ConnectionHeaders.NAMES);
        headers.getAll(HttpHeaderNames.CONNECTION).forEach(value -> ConnectionHeaders.addNamed(value, removed));
        HttpHeaders copy = headers.copy();
        removed.forEach(copy::remove);
        return copy;
    }
}
