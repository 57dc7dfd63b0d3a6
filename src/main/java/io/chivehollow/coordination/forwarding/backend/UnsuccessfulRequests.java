package io.chivehollow.coordination.forwarding.backend;

import java.util.HashSet;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * The requests of callers to which one connection has carried a response other than a success.
 *
 * <p>Such a request may be sent again with the same id. If the server writes its first response again, the id cannot
 * tell the two responses apart, so the request is sent over another connection. Used on the event loop of the
 * connection.
 */
final class UnsuccessfulRequests {

    /** Limits the memory of one connection. */
    private static final int MAX_REQUESTS = 256;

    private static final int SUCCESS = 200;
    private static final int REDIRECTION = 300;

    /** Hash codes of the request ids, which may be long; with equal codes, a further connection is used. */
    private final Set<Integer> idHashes = new HashSet<>();

    /** Adds the request unless the status of its response is a success. */
    void add(@Nullable String requestId, int status) {
        if (requestId != null && (status < SUCCESS || status >= REDIRECTION)) {
            idHashes.add(requestId.hashCode());
        }
    }

    boolean mayContain(@Nullable String requestId) {
        return requestId != null && idHashes.contains(requestId.hashCode());
    }

    /** Returns whether no more requests may be added, so that the connection is to be closed. */
    boolean isFull() {
        return idHashes.size() >= MAX_REQUESTS;
    }
}
