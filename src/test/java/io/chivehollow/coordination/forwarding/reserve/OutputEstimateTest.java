package io.chivehollow.coordination.forwarding.reserve;

import java.util.SplittableRandom;

import io.chivehollow.coordination.forwarding.estimate.EngineEstimates;
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
        return simulate(rule, LIMIT_TOKENS, MEDIAN_TOKENS, OUTPUT_DEVIATION);
    }

    private static ReservationStatistics simulate(
            ReservationRule rule, long limitTokens, double medianTokens, double deviation) {
        SplittableRandom random = new SplittableRandom(7);
        long overruns = 0;
        double sum = 0;
        for (int i = 0; i < REQUESTS; i++) {
            double output = Math.min(limitTokens, medianTokens * Math.exp(deviation * random.nextGaussian()));
            long expected = Math.max(1, Math.round(output * Math.exp(ESTIMATE_DEVIATION * random.nextGaussian())));
            long reserved = rule.tokens(expected, limitTokens);
            sum += reserved;
            overruns += output > reserved ? 1 : 0;
        }
        return new ReservationStatistics((double) overruns / REQUESTS, sum / REQUESTS);
    }

    @Test
    public void weightedEstimateHasFewerOverrunsWithLessMemoryThanScaledEstimate() {
        ReservationStatistics scaled = simulate((expected, limit) -> Math.min(limit, expected * 160 / 100));
        ReservationStatistics weighted =
                simulate((expected, limit) -> OutputEstimate.reservedTokens(expected, limit, 0));
        assertTrue(weighted.overruns() <= ALLOWED_OVERRUNS, weighted + ", scaled estimate: " + scaled);
        assertTrue(scaled.overruns() > ALLOWED_OVERRUNS, scaled.toString());
        assertTrue(weighted.meanTokens() <= scaled.meanTokens(), weighted + ", scaled estimate: " + scaled);
    }

    /**
     * Guards against reservations for the outputs of one known service: a limit that is near the median makes more than
     * one in eight runs exceed them, which lose their memory.
     */
    @Test
    public void medianOfTheServiceReplacesTheShareOfTheLimit() {
        EngineEstimates estimates = EngineEstimates.create();
        ReservationStatistics assumed = simulate(
                (expected, limit) -> {
                    estimates.onExpectedOutput(expected);
                    return OutputEstimate.reservedTokens(expected, limit, 0);
                },
                11_180,
                5_700,
                0.5);
        assertEquals(estimates.medianOutputTokens(), 5_700, 1_100);
        ReservationStatistics learnt = simulate(
                (expected, limit) -> OutputEstimate.reservedTokens(expected, limit, estimates.medianOutputTokens()),
                11_180,
                5_700,
                0.5);
        assertTrue(assumed.overruns() > ALLOWED_OVERRUNS, assumed.toString());
        assertTrue(learnt.overruns() <= ALLOWED_OVERRUNS, learnt.toString());
    }

    @Test
    public void limitIsReservedWithoutEstimateAndNeverExceeded() {
        assertEquals(OutputEstimate.reservedTokens(0, 500, 0), 500);
        assertEquals(OutputEstimate.reservedTokens(10_000, 500, 0), 500);
        assertEquals(OutputEstimate.reservedTokens(100, 0, 0), 0);
    }

    @Test(expectedExceptions = IllegalArgumentException.class)
    public void negativeEstimateIsRejected() {
        OutputEstimate.reservedTokens(-1, 500, 0);
    }
}
