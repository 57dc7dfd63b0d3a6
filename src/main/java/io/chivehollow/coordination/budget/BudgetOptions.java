package io.chivehollow.coordination.budget;

import io.chivehollow.protocol.wire.Team;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Times and margins of the lending protocol.
 *
 * <p>Immutable and thread-safe.
 *
 * @param validMs time after which a borrower stops using a loan, from the time at which it sent the request
 * @param countAsSpentMs time after which the lender counts a loan as spent; validMs plus 10% for clock drift
 * @param newLeaderPauseMs time for which a new leader lends nothing
 * @param refundMarginMs added to the age of a refunded admission; can only lower the refund
 * @param advanceDivisor part of the burst that one borrower may hold in advance; 1 for no limit
 * @param deploymentMarginTokens added to the burst of each team of a deployment
 */
public record BudgetOptions(
        long validMs,
        long countAsSpentMs,
        long newLeaderPauseMs,
        long refundMarginMs,
        int advanceDivisor,
        long deploymentMarginTokens) {

    /**
     * Part of a deployment's tolerance that is lent as burst.
     *
     * <p>A burst of the deployments covers four to nine requests, so a clump of them is refused although the team is
     * within the limit that the platform counts. The other half is for {@link OfflineAllowance} and for requests that
     * arrive later than they were admitted.
     */
    private static final int TOLERANCE_DIVISOR = 2;

    /** 64 borrowers hold the burst at most once; the largest deployment has 31 that forward requests. */
    private static final int SMALL_BURST_DIVISOR = 64;

    /** Checks the options. */
    public BudgetOptions {
        checkArgument(validMs > 0, "validMs must be positive, but was %s", validMs);
        checkArgument(
                deploymentMarginTokens >= 0,
                "deploymentMarginTokens must not be negative, but was %s",
                deploymentMarginTokens);
    }

    /** Creates options without a margin for deployments. */
    public BudgetOptions(
            long validMs, long countAsSpentMs, long newLeaderPauseMs, long refundMarginMs, int advanceDivisor) {
        this(validMs, countAsSpentMs, newLeaderPauseMs, refundMarginMs, advanceDivisor, 0);
    }

    /** Returns the times that the design page sets. */
    public static BudgetOptions defaults() {
        return new BudgetOptions(3_000, 3_300, 3_300, 5_000, 1);
    }

    /**
     * Returns the times with little held in advance, for bursts that cover a few requests only.
     *
     * <p>Tens of borrowers that each hold the cost of one large request would hold the whole burst, and requests within
     * the rate would be refused because their tokens lie elsewhere.
     *
     * @param toleratedTokens tokens by which the platform lets a team of a deployment exceed its limit
     */
    public static BudgetOptions forSmallBursts(long toleratedTokens) {
        return new BudgetOptions(3_000, 3_300, 3_300, 5_000, SMALL_BURST_DIVISOR, toleratedTokens / TOLERANCE_DIVISOR);
    }

    /** Returns the budget of a released team; one of a deployment has release number 0. */
    public TeamBudget budgetOf(Team team) {
        long marginTokens = team.getReleaseNumber() == 0 ? deploymentMarginTokens : 0;
        return new TeamBudget(team.getRateTokensPerSecond(), team.getBurstTokens() + marginTokens);
    }
}
