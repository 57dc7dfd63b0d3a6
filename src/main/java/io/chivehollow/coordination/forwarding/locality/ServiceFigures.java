package io.chivehollow.coordination.forwarding.locality;

/**
 * What a deployment states about a service, as far as the choice of a failure domain depends on it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param targetMs shortest time in milliseconds within which a route of the service expects the first output
 * @param kvBytesPerToken size of the KV cache of one prompt token in bytes, 0 if it is not stated
 * @param kvLinkMegabitsPerSecond speed of a backend server's link for KV caches, 0 if it is not stated
 */
public record ServiceFigures(long targetMs, long kvBytesPerToken, double kvLinkMegabitsPerSecond) {

    /** Figures of a service of which nothing is stated. */
    public static final ServiceFigures UNKNOWN = new ServiceFigures(0, 0, 0);

    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MS_OF_MEGABIT_PER_S = 1_000;

    /** Returns the size of the KV cache of a prompt in bytes. */
    long kvBytes(long tokens) {
        return tokens * kvBytesPerToken;
    }

    /** Returns the time in milliseconds that the KV cache of a prompt takes within a failure domain. */
    double kvTransferMs(long tokens) {
        return kvLinkMegabitsPerSecond > 0
                ? kvBytes(tokens) * BITS_PER_BYTE / (kvLinkMegabitsPerSecond * BITS_PER_MS_OF_MEGABIT_PER_S)
                : 0;
    }
}
