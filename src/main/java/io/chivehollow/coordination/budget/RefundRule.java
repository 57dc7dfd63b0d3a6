package io.chivehollow.coordination.budget;

/**
 * Determines how much of a refund is credited.
 *
 * <p>Implementations are stateless and thread-safe.
 */
interface RefundRule {

    /** Returns the tokens to credit for a refund, given the highest level of the bucket since the admission. */
    long credit(long refundTokens, long burstTokens, long highestLevel);

    /** Returns a rule that credits no more than the bucket had room for at all times since the admission. */
    static RefundRule limited() {
        return (refundTokens, burstTokens, highestLevel) ->
                Math.max(0, Math.min(refundTokens, burstTokens - highestLevel));
    }
}
