package io.chivehollow.coordination.forwarding.reserve;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Estimates the output for which memory is reserved, from the caller's own estimate and its limit.
 *
 * <p>Answers the load of callers whose estimates are right at the median but often far off: a short estimate is mostly
 * too short and a long one mostly too long. A run that exceeds its reservation may lose its memory and has its prompt
 * read again; what is reserved in excess keeps other requests out. Stateless and thread-safe.
 */
public final class OutputEstimate {

    /** The limits of the deployments are three times the median output. */
    private static final double LIMIT_TO_MEDIAN = 3;

    /**
     * Weight of the caller's estimate against the median, on a logarithmic scale.
     *
     * <p>The deviation of outputs is 0.7 and that of estimates 0.5: 0.49 / (0.49 + 0.25).
     */
    private static final double ESTIMATE_WEIGHT = 2.0 / 3;

    /** Margin that one in eight outputs exceeds, with a remaining deviation of 0.4. */
    private static final double MARGIN = 1.6;

    private OutputEstimate() {}

    /**
     * Returns the tokens to reserve.
     *
     * @param expectedTokens the caller's estimate, 0 if it gave none
     * @param limitTokens the largest output that the caller allows
     */
    public static long reservedTokens(long expectedTokens, long limitTokens) {
        checkArgument(expectedTokens >= 0, "expectedTokens must not be negative, but was %s", expectedTokens);
        checkArgument(limitTokens >= 0, "limitTokens must not be negative, but was %s", limitTokens);
        if (expectedTokens == 0 || limitTokens == 0) {
            return limitTokens;
        }
        double median = limitTokens / LIMIT_TO_MEDIAN;
        double likely = Math.pow(expectedTokens, ESTIMATE_WEIGHT) * Math.pow(median, 1 - ESTIMATE_WEIGHT);
        return Math.min(limitTokens, Math.round(likely * MARGIN));
    }
}
