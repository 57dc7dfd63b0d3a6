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
     * @param caller the caller that waits for the response
     */
    record Request(String method, String path, byte[] body, Caller caller) {}

    /** The caller of a request, as far as its connection shows. */
    @FunctionalInterface
    interface Caller {

        /**
         * Returns whether the caller can still be waiting: it has not closed the connection, and the request has not
         * been at this instance for longer than callers wait, including the time for which it may have been unread
         * while the process was stopped or busy.
         */
        CompletableFuture<Boolean> isWaiting();
    }

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
