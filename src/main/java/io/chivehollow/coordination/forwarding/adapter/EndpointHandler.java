package io.chivehollow.coordination.forwarding.adapter;

import java.util.concurrent.CompletableFuture;

/**
 * Handles the requests of an endpoint for operators or the load balancer.
 *
 * <p>Implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface EndpointHandler {

    /** Returns the response to a request; if the future fails, the response has status 500. */
    CompletableFuture<Response> handle(Request request);

    /**
     * A request with its complete body.
     *
     * @param method HTTP method
     * @param path path without the query
     * @param body the complete body
     */
    record Request(String method, String path, byte[] body) {}

    /**
     * A response.
     *
     * @param status HTTP status
     * @param contentType content type of the body
     * @param body the complete body
     */
    record Response(int status, String contentType, byte[] body) {

        private static final String JSON = "application/json";

        /** Returns a response with a JSON document. */
        public static Response json(int status, byte[] body) {
            return new Response(status, JSON, body);
        }

        /** Returns a response without a body. */
        public static Response empty(int status) {
            return new Response(status, JSON, new byte[0]);
        }
    }
}
