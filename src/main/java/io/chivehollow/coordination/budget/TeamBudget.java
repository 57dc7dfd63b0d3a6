package io.chivehollow.coordination.budget;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The token budget of a team: its rate and its burst.
 *
 * <p>Immutable and thread-safe. Rate and burst are positive.
 *
 * @param rateTokensPerSecond tokens per second
 * @param burstTokens tokens beyond the rate that may be used at once
 * @param windowSeconds time in seconds in which the team may use the burst again and again: in each window of this
 *     length, it may use rate x window + burst. If 0, a used burst returns only while the team stays below its rate.
 */
public record TeamBudget(long rateTokensPerSecond, long burstTokens, double windowSeconds) {

    /** Validates the budget. */
    public TeamBudget {
        checkArgument(rateTokensPerSecond > 0, "rateTokensPerSecond must be positive, but was %s", rateTokensPerSecond);
        checkArgument(burstTokens > 0, "burstTokens must be positive, but was %s", burstTokens);
        checkArgument(windowSeconds >= 0, "windowSeconds must not be negative, but was %s", windowSeconds);
    }

    /** Creates a budget whose burst returns only while the team stays below its rate. */
    public TeamBudget(long rateTokensPerSecond, long burstTokens) {
        this(rateTokensPerSecond, burstTokens, 0);
    }

    /**
     * Returns the rate in tokens per second at which a bucket refills.
     *
     * <p>The part of the burst that was not in the bucket at any time of the last window is spread over the window.
     * A window that starts with a full bucket thus gets the plain rate, and one that starts with an empty bucket its
     * whole amount, so that no window exceeds it.
     *
     * @param highestLevel the highest level of the bucket in the last window
     */
    long refillTokensPerSecond(long highestLevel) {
        long unusedTokens = Math.max(0, burstTokens - highestLevel);
        return rateTokensPerSecond + (windowSeconds > 0 ? (long) (unusedTokens / windowSeconds) : 0);
    }
}
