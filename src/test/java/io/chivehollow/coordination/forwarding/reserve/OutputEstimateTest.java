package io.chivehollow.coordination.forwarding.reserve;

import java.util.SplittableRandom;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against runs that exceed their reservation because callers estimate short outputs too short. */
public class OutputEstimateTest {

    private static final int REQUESTS = 100_000;
    private static final long LIMIT_TOKENS = 2_380;
    private static final double MEDIAN_TOKENS = 767;
    private static final double OUTPUT_DEVIATION = 0.7;
    private static final double ESTIMATE_DEVIATION = 0.5;

    /** The share of outputs above their reservation that a server with ten runs can bear. */
    private static final double ALLOWED_OVERRUNS = 0.125;

    /** How outputs compare with their reservations. */
    private record Play(double overruns, double meanTokens) {}

    /** Returns what to reserve for an estimate. */
    private interface Rule {
        long tokens(long expectedTokens, long limitTokens);
    }

    private static Play play(Rule rule) {
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
        return new Play((double) overruns / REQUESTS, sum / REQUESTS);
    }

    @Test
    public void fewerOutputsExceedLessMemory() {
        Play scaled = play((expected, limit) -> Math.min(limit, expected * 160 / 100));
        Play weighted = play(OutputEstimate::reservedTokens);
        assertTrue(weighted.overruns() <= ALLOWED_OVERRUNS, weighted + ", scaled estimate: " + scaled);
        assertTrue(scaled.overruns() > ALLOWED_OVERRUNS, scaled.toString());
        assertTrue(weighted.meanTokens() <= scaled.meanTokens(), weighted + ", scaled estimate: " + scaled);
    }

    @Test
    public void limitIsReservedWithoutAnEstimateAndNeverExceeded() {
        assertEquals(OutputEstimate.reservedTokens(0, 500), 500);
        assertEquals(OutputEstimate.reservedTokens(10_000, 500), 500);
        assertEquals(OutputEstimate.reservedTokens(100, 0), 0);
    }

    @Test(expectedExceptions = IllegalArgumentException.class)
    public void negativeEstimateIsRejected() {
        OutputEstimate.reservedTokens(-1, 500);
    }
}
