package io.chivehollow.coordination.forwarding.ingress;

import io.chivehollow.protocol.wire.ForwardLimits;

/**
 * What callers may send and how long they may take.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxHeaderBytes largest sum of a request's header fields
 * @param maxBodyBytes largest body
 * @param headerTimeoutMs longest time from the first byte of a request to the end of its header
 * @param idleTimeoutMs longest silence of a caller that sends a body or keeps a connection
 */
record CallerLimits(int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {

    private static final int DEFAULT_HEADER_BYTES = 16_384;
    private static final int DEFAULT_BODY_BYTES = 4 << 20;
    private static final int DEFAULT_HEADER_TIMEOUT_MS = 3_000;
    private static final int DEFAULT_IDLE_TIMEOUT_MS = 15_000;

    static CallerLimits defaults() {
        return new CallerLimits(
                DEFAULT_HEADER_BYTES, DEFAULT_BODY_BYTES, DEFAULT_HEADER_TIMEOUT_MS, DEFAULT_IDLE_TIMEOUT_MS);
    }

    static CallerLimits of(ForwardLimits limits) {
        return new CallerLimits(
                orDefault(limits.getMaxHeaderBytes(), DEFAULT_HEADER_BYTES),
                orDefault(limits.getMaxBodyBytes(), DEFAULT_BODY_BYTES),
                orDefault(limits.getHeaderTimeoutMs(), DEFAULT_HEADER_TIMEOUT_MS),
                orDefault(limits.getIdleTimeoutMs(), DEFAULT_IDLE_TIMEOUT_MS));
    }

    private static int orDefault(int value, int defaultValue) {
        return value > 0 ? value : defaultValue;
    }
}
