package io.chivehollow.coordination.budget;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The token budget of a team: its rate and its burst.
 *
 * <p>Immutable and thread-safe. Both values are positive.
 */
public record TeamBudget(long rateTokensPerSecond, long burstTokens) {

    public TeamBudget {
        checkArgument(rateTokensPerSecond > 0, "rateTokensPerSecond must be positive, but was %s", rateTokensPerSecond);
        checkArgument(burstTokens > 0, "burstTokens must be positive, but was %s", burstTokens);
    }
}
