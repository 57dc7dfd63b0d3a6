package io.chivehollow.coordination.forwarding.locality;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds of what one instance sends out of its failure domain.
 *
 * <p>Immutable and thread-safe.
 *
 * @param bytesPerSecond requests and responses of servers of other domains, 0 for no bound
 * @param kvBytesPerSecond KV caches that move between domains for requests of this instance, 0 for no bound
 * @param linkMegabitsPerSecond speed of the instance's link, 0 if it is not known
 */
public record LocalityLimits(long bytesPerSecond, long kvBytesPerSecond, double linkMegabitsPerSecond) {

    /** No bounds, and a link of unknown speed. */
    public static final LocalityLimits UNLIMITED = new LocalityLimits(0, 0, 0);

    /** Validates the bounds. */
    public LocalityLimits {
        checkArgument(bytesPerSecond >= 0, "bytesPerSecond must not be negative, but was %s", bytesPerSecond);
        checkArgument(kvBytesPerSecond >= 0, "kvBytesPerSecond must not be negative, but was %s", kvBytesPerSecond);
        checkArgument(
                linkMegabitsPerSecond >= 0,
                "linkMegabitsPerSecond must not be negative, but was %s",
                linkMegabitsPerSecond);
    }
}
