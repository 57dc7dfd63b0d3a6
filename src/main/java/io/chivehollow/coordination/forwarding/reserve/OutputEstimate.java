package io.chivehollow.coordination.forwarding.reserve;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Estimates the output for which memory is reserved, from the caller's estimate and its output limit.
 *
 * <p>Callers' estimates are right at the median but often far off: a short estimate is usually too short, and a long
 * one too long. A run that exceeds its reservation may lose its memory, and its prefill is run again; excess
 * reservations keep other requests out. Stateless and thread-safe.
 */
public final class OutputEstimate {

    /** Ratio of the output limit to the median output of a service whose median is not known yet. */
    private static final double DEFAULT_LIMIT_TO_MEDIAN = 3;

    /**
     * Weight of the caller's estimate relative to the median, on a logarithmic scale.
     *
     * <p>The standard deviation of the outputs is 0.7 and that of the estimates 0.5: 0.49 / (0.49 + 0.25).
     */
    private static final double ESTIMATE_WEIGHT = 2.0 / 3;

    /** Margin over the estimate that one in eight outputs exceeds, given a remaining standard deviation of 0.4. */
    private static final double MARGIN = 1.6;

    private OutputEstimate() {}

    /**
     * Returns the number of tokens to reserve, which is at most the limit.
     *
     * @param expectedTokens the caller's estimate in tokens, 0 if there is none
     * @param limitTokens the largest output that the caller allows, in tokens
     * @param medianTokens the median output of the service in tokens, 0 if it is not known
     * @throws IllegalArgumentException if an argument is negative
     */
    public static long reservedTokens(long expectedTokens, long limitTokens, double medianTokens) {
        checkArgument(expectedTokens >= 0, "expectedTokens must not be negative, but was %s", expectedTokens);
        checkArgument(limitTokens >= 0, "limitTokens must not be negative, but was %s", limitTokens);
        checkArgument(medianTokens >= 0, "medianTokens must not be negative, but was %s", medianTokens);
        if (expectedTokens == 0 || limitTokens == 0) {
            return limitTokens;
        }
        double median = medianTokens > 0 ? medianTokens : limitTokens / DEFAULT_LIMIT_TO_MEDIAN;
        double estimate = Math.pow(expectedTokens, ESTIMATE_WEIGHT) * Math.pow(median, 1 - ESTIMATE_WEIGHT);
        return Math.min(limitTokens, Math.round(estimate * MARGIN));
    }
}
