package io.chivehollow.coordination.budget;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Times of the lending protocol.
 *
 * <p>Immutable and thread-safe.
 *
 * @param validMs time after which a borrower stops using a loan, from the time at which it sent the request
 * @param countAsSpentMs time after which the lender counts a loan as spent; validMs plus 10% for clock drift
 * @param newLeaderPauseMs time for which a new leader lends nothing
 * @param refundMarginMs added to the age of a refunded admission; can only lower the refund
 * @param advanceDivisor part of the burst that one borrower may hold in advance; 1 for no limit
 */
public record BudgetOptions(
        long validMs, long countAsSpentMs, long newLeaderPauseMs, long refundMarginMs, int advanceDivisor) {

    /** 64 borrowers hold the burst at most once; the largest deployment has 31 that forward requests. */
    private static final int SMALL_BURST_DIVISOR = 64;

    public BudgetOptions {
        checkArgument(validMs > 0, "validMs must be positive, but was %s", validMs);
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
     */
    public static BudgetOptions forSmallBursts() {
        return new BudgetOptions(3_000, 3_300, 3_300, 5_000, SMALL_BURST_DIVISOR);
    }
}
