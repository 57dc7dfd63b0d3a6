package io.chivehollow.coordination.forwarding.ingress;

import java.util.HashSet;
import java.util.Set;

import io.chivehollow.protocol.ConnectionHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Removes header fields that concern one connection only.
 *
 * <p>Stateless and thread-safe.
 */
final class ConnectionFields {

    private ConnectionFields() {}

    /** Returns a copy without the fields of the connection and those that its Connection field names. */
    static HttpHeaders without(HttpHeaders headers) {
        Set<String> removed = new HashSet<>(ConnectionHeaders.NAMES);
        headers.getAll(HttpHeaderNames.CONNECTION).forEach(value -> ConnectionHeaders.addNamed(value, removed));
        HttpHeaders copy = headers.copy();
        removed.forEach(copy::remove);
        return copy;
    }
}
