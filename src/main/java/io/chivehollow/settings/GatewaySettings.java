package io.chivehollow.settings;

import java.net.InetSocketAddress;

/**
 * Settings of the gateway role.
 *
 * <p>Immutable and thread-safe.
 *
 * @param httpAddress address of the HTTP server
 * @param operatorKey key that operators send, the content of the operator key file
 * @param maxBodyBytes largest request body, in bytes
 * @param maxHeaderBytes largest total size of a request's header fields, in bytes
 * @param readTimeoutMs longest time without data from a caller that is sending its request
 * @param writeTimeoutMs longest time that a response may wait for a caller that does not read it
 * @param streamBufferChars characters of a streamed response that are buffered for a slow caller
 * @param requestTimeoutMs longest time for one request
 * @param interactiveQueueMs longest time that an interactive request waits for budget and a backend server
 * @param batchQueueMs longest time that a batch request waits for budget and a backend server
 * @param shutdownMs longest time that a shutdown waits for open requests
 * @param subsetSize number of backend servers, summed over all pools, to which the gateway holds connections open
 */
public record GatewaySettings(
        InetSocketAddress httpAddress,
        byte[] operatorKey,
        int maxBodyBytes,
        int maxHeaderBytes,
        int readTimeoutMs,
        int writeTimeoutMs,
        int streamBufferChars,
        int requestTimeoutMs,
        int interactiveQueueMs,
        int batchQueueMs,
        int shutdownMs,
        int subsetSize) {}
