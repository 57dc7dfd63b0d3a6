package io.chivehollow.coordination.forwarding.adapter;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/**
 * Fetches documents over HTTP.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface HttpFetcher {

    /** Sends a GET request; the future fails if there is no complete response. */
    CompletableFuture<Document> get(InetSocketAddress address, String uri);

    /**
     * A fetched document.
     *
     * @param status HTTP status
     * @param body the complete body
     */
    record Document(int status, byte[] body) {}
}
