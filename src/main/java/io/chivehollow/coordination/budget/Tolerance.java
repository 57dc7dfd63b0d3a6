package io.chivehollow.coordination.budget;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * By how much a platform lets a team of a deployment exceed its limit before it counts as exceeded.
 *
 * <p>In each time window, the requests of a team may have (rate x window + burst) x (1 + share) + tokens. Immutable and
 * thread-safe.
 *
 * @param tokens tokens of the tolerance that do not depend on the limit
 * @param share share of the limit by which it may be exceeded
 * @param windowSeconds length of the time window in seconds, 0 if the platform states none
 */
public record Tolerance(long tokens, double share, double windowSeconds) {

    private static final Tolerance NONE = new Tolerance(0, 0, 0);

    /** Fraction of the tokens that is lent; the rest is for {@link OfflineAllowance} and a margin. */
    private static final double LENT_SHARE = 0.5;

    /** Fraction of the tokens that is lent evenly over the window, if the platform states one. */
    private static final double RATE_SHARE = 0.25;

    /** Validates the tolerance. */
    public Tolerance {
        checkArgument(tokens >= 0, "tokens must not be negative, but was %s", tokens);
        checkArgument(share >= 0, "share must not be negative, but was %s", share);
        checkArgument(windowSeconds >= 0, "windowSeconds must not be negative, but was %s", windowSeconds);
    }

    /** Returns the tolerance of a platform that counts rate and burst exactly. */
    public static Tolerance none() {
        return NONE;
    }

    /** Returns a tolerance of tokens in a window of unknown length. */
    public static Tolerance ofTokens(long tokens) {
        return new Tolerance(tokens, 0, 0);
    }

    /**
     * Returns the budget that is lent to a team of a deployment with the given rate and burst.
     *
     * <p>A burst of a deployment covers few requests, and one request may exceed it. The platform owes a team burst and
     * tolerance in each window, so that a team that stays over its rate may use them in each.
     */
    TeamBudget extend(long rateTokensPerSecond, long burstTokens) {
        return new TeamBudget(
                (long) (rateTokensPerSecond * (1 + share)),
                (long) (burstTokens * (1 + share) + tokens * LENT_SHARE),
                windowSeconds);
    }
}
