package io.chivehollow.coordination.forwarding.flow;

import io.chivehollow.coordination.forwarding.adapter.CallerFields;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request of a caller that has been received completely.
 *
 * <p>Not modified after its creation; thread-safe under that condition.
 *
 * @param method HTTP method
 * @param uri path and query as sent by the caller
 * @param path path without the query
 * @param host value of the Host field
 * @param headers header fields as sent by the caller, without the fields that concern only the connection
 * @param body the complete body
 * @param fields values parsed from the header
 * @param canTakeChunks whether the protocol version of the caller has chunked bodies; if not, the end of the connection
 *     marks the end of a response of no stated length
 * @param arrivalNanos monotonic time in nanoseconds at which the first byte of the request was read
 */
public record ForwardRequest(
        HttpMethod method,
        String uri,
        String path,
        String host,
        HttpHeaders headers,
        byte[] body,
        CallerFields fields,
        boolean canTakeChunks,
        long arrivalNanos) {}
