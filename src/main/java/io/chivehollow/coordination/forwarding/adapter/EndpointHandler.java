package io.chivehollow.coordination.forwarding.adapter;

import java.util.concurrent.CompletableFuture;

/**
 * Answers the small requests of an endpoint.
 *
 * <p>Implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface EndpointHandler {

    /** Returns the answer to a request; a failed future is answered with 500. */
    CompletableFuture<Answer> handle(Request request);

    /**
     * A request with its whole body.
     *
     * @param method HTTP method
     * @param path path without the query
     * @param body the whole body
     */
    record Request(String method, String path, byte[] body) {}

    /**
     * An answer.
     *
     * @param status HTTP status
     * @param contentType type of the body
     * @param body the whole body
     */
    record Answer(int status, String contentType, byte[] body) {

        private static final String JSON = "application/json";

        /** Returns an answer with a JSON document. */
        public static Answer json(int status, byte[] body) {
            return new Answer(status, JSON, body);
        }

        /** Returns an answer without a body. */
        public static Answer empty(int status) {
            return new Answer(status, JSON, new byte[0]);
        }
    }
}
