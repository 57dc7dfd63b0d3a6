package io.chivehollow.coordination.forwarding.flow;

import io.chivehollow.coordination.forwarding.adapter.CallerFields;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A caller's request, which has been read to its end.
 *
 * <p>Not changed after it was made; thread-safe under that condition.
 *
 * @param method HTTP method
 * @param uri path and query as the caller sent them
 * @param path path without the query
 * @param host host that the caller named
 * @param headers header fields as the caller sent them, without those of the connection
 * @param body the whole body
 * @param fields what the header says
 * @param arrivalNanos time at which the first byte of the request was read
 */
public record ForwardRequest(
        HttpMethod method,
        String uri,
        String path,
        String host,
        HttpHeaders headers,
        byte[] body,
        CallerFields fields,
        long arrivalNanos) {}
