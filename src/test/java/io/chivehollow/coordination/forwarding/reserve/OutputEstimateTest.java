package io.chivehollow.coordination.forwarding.reserve;

import java.util.SplittableRandom;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against runs that exceed their reservation. This happens because short estimates of callers are usually too
 * short; a fixed multiple of the estimate also reserves too much for long ones.
 */
public class OutputEstimateTest {

    private static final int REQUESTS = 100_000;
    private static final long LIMIT_TOKENS = 2_380;
    private static final double MEDIAN_TOKENS = 767;
    private static final double OUTPUT_DEVIATION = 0.7;
    private static final double ESTIMATE_DEVIATION = 0.5;

    /** Share of outputs above their reservation that a server with ten runs tolerates. */
    private static final double ALLOWED_OVERRUNS = 0.125;

    /** Share of outputs that exceed their reservation, and the mean reservation. */
    private record ReservationStatistics(double overruns, double meanTokens) {}

    /** Computes the reservation from an estimate and a limit. */
    private interface ReservationRule {
        long tokens(long expectedTokens, long limitTokens);
    }

    private static ReservationStatistics simulate(ReservationRule rule) {
        SplittableRandom random = new SplittableRandom(7);
        long overruns = 0;
        double sum = 0;
        for (int i = 0; i < REQUESTS; i++) {
            double output = Math.min(LIMIT_TOKENS, MEDIAN_TOKENS * Math.exp(OUTPUT_DEVIATION * random.nextGaussian()));
            long expected = Math.max(1, Math.round(output * Math.exp(ESTIMATE_DEVIATION * random.nextGaussian())));
            long reserved = rule.tokens(expected, LIMIT_TOKENS);
            sum += reserved;
            overruns += output > reserved ? 1 : 0;
        }
        return new ReservationStatistics((double) overruns / REQUESTS, sum / REQUESTS);
    }

    @Test
    public void weightedEstimateHasFewerOverrunsWithLessMemoryThanScaledEstimate() {
        ReservationStatistics scaled = simulate((expected, limit) -> Math.min(limit, expected * 160 / 100));
        ReservationStatistics weighted = simulate(OutputEstimate::reservedTokens);
        assertTrue(weighted.overruns() <= ALLOWED_OVERRUNS, weighted + ", scaled estimate: " + scaled);
        assertTrue(scaled.overruns() > ALLOWED_OVERRUNS, scaled.toString());
        assertTrue(weighted.meanTokens() <= scaled.meanTokens(), weighted + ", scaled estimate: " + scaled);
    }

    @Test
    public void limitIsReservedWithoutEstimateAndNeverExceeded() {
        assertEquals(OutputEstimate.reservedTokens(0, 500), 500);
        assertEquals(OutputEstimate.reservedTokens(10_000, 500), 500);
        assertEquals(OutputEstimate.reservedTokens(100, 0), 0);
    }

    @Test(expectedExceptions = IllegalArgumentException.class)
    public void negativeEstimateIsRejected() {
        OutputEstimate.reservedTokens(-1, 500);
    }
}
