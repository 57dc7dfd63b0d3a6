package io.chivehollow.coordination.forwarding.adapter;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/**
 * Reads a document over HTTP.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface HttpFetcher {

    /** Sends a GET request; the future fails if there is no complete answer. */
    CompletableFuture<Document> get(InetSocketAddress address, String uri);

    /**
     * A document.
     *
     * @param status HTTP status
     * @param body the whole body
     */
    record Document(int status, byte[] body) {}
}
