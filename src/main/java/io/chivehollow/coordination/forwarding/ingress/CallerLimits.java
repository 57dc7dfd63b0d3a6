package io.chivehollow.coordination.forwarding.ingress;

import io.chivehollow.protocol.wire.ForwardLimits;

/**
 * Limits of the size and the duration of callers' requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxHeaderBytes maximum total size of the header fields of a request
 * @param maxBodyBytes maximum size of a body
 * @param headerTimeoutMs maximum time from the first byte of a request to the end of its header
 * @param idleTimeoutMs maximum time without data from a caller that sends a body or keeps a connection open
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
