package io.chivehollow.coordination.budget;

import io.chivehollow.protocol.wire.Team;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Times and margins of the lending protocol.
 *
 * <p>Immutable and thread-safe.
 *
 * @param validMs time in ms, from sending the report, after which a borrower stops using the loan that it received
 * @param countAsSpentMs time in ms after which the lender counts a loan as spent; validMs plus 10% for clock drift
 * @param inheritedLoanExpiryMs time in ms after which a new leader counts the loans of earlier leaders as spent
 * @param refundMarginMs time in ms added to the age of a refunded admission; can only lower the refund
 * @param advanceDivisor one borrower may borrow burst / advanceDivisor tokens in advance; 1 means no limit
 * @param tolerance by how much the teams of a deployment may exceed their limits
 */
public record BudgetOptions(
        long validMs,
        long countAsSpentMs,
        long inheritedLoanExpiryMs,
        long refundMarginMs,
        int advanceDivisor,
        Tolerance tolerance) {

    /**
     * With this divisor, 64 borrowers together borrow at most one burst in advance; the largest installation has 31
     * instances that forward requests.
     */
    private static final int SMALL_BURST_DIVISOR = 64;

    /** Validates the options. */
    public BudgetOptions {
        checkArgument(validMs > 0, "validMs must be positive, but was %s", validMs);
    }

    /** Creates options without a tolerance for deployments. */
    public BudgetOptions(
            long validMs, long countAsSpentMs, long inheritedLoanExpiryMs, long refundMarginMs, int advanceDivisor) {
        this(validMs, countAsSpentMs, inheritedLoanExpiryMs, refundMarginMs, advanceDivisor, Tolerance.none());
    }

    /** Returns the default times, as docs/design.md sets them. */
    public static BudgetOptions defaults() {
        return new BudgetOptions(3_000, 3_300, 3_300, 5_000, 1);
    }

    /**
     * Returns the default times with a small limit on advance borrowing, for bursts that cover only a few requests.
     *
     * <p>If tens of borrowers each borrowed the cost of one large request in advance, they would use up the whole
     * burst. Requests within the rate would then be refused because other borrowers have the tokens.
     *
     * @param tolerance by how much the platform lets a team of a deployment exceed its limit
     */
    public static BudgetOptions forSmallBursts(Tolerance tolerance) {
        return new BudgetOptions(3_000, 3_300, 3_300, 5_000, SMALL_BURST_DIVISOR, tolerance);
    }

    /** Returns the budget of a team of the released state; a team of a deployment has release number 0. */
    public TeamBudget budgetOf(Team team) {
        Tolerance applied = team.getReleaseNumber() == 0 ? tolerance : Tolerance.none();
        return applied.extend(team.getRateTokensPerSecond(), team.getBurstTokens());
    }
}
