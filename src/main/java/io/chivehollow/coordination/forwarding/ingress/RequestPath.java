package io.chivehollow.coordination.forwarding.ingress;

/**
 * Splits the target of a request.
 *
 * <p>Stateless and thread-safe.
 */
final class RequestPath {

    private RequestPath() {}

    /** Returns the path without the query. */
    static String of(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
