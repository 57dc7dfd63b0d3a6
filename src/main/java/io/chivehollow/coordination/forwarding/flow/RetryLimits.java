package io.chivehollow.coordination.forwarding.flow;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How many retries a platform tolerates at the servers of one service, from all processes together.
 *
 * <p>In each time window, the retries may be the share of the requests plus the slack. Immutable and thread-safe.
 *
 * @param share retries for each request
 * @param slack retries in a window that do not depend on the number of requests
 * @param windowSeconds length of the time window in seconds
 */
public record RetryLimits(double share, double slack, double windowSeconds) {

    /** Validates the limits. */
    public RetryLimits {
        checkArgument(share >= 0, "share must not be negative, but was %s", share);
        checkArgument(slack >= 0, "slack must not be negative, but was %s", slack);
        checkArgument(windowSeconds > 0, "windowSeconds must be positive, but was %s", windowSeconds);
    }
}
