package io.chivehollow.coordination.forwarding.estimate;

import java.util.Random;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against decisions with the speed of one known engine on engines that are much slower or faster. */
public class EngineEstimatesTest {

    private static final long PROMPT_TOKENS = 5_200;
    private static final long MEMORY_TOKENS = 6_000;
    private static final long SERVER_TOKENS = 60_000;

    @DataProvider
    public Object[][] speedFactors() {
        return new Object[][] {{0.1}, {1.0}, {10.0}};
    }

    /** Returns estimates after 100 requests of which most prompts waited behind others. */
    private static EngineEstimates learnt(double tokensPerMs, double runMs, int seed) {
        EngineEstimates estimates = EngineEstimates.create();
        Random random = new Random(seed);
        for (int i = 0; i < 100; i++) {
            double waitMs = random.nextInt(4) == 0 ? 0 : random.nextDouble() * 5 * PROMPT_TOKENS / tokensPerMs;
            estimates.onPrefill(PROMPT_TOKENS, PROMPT_TOKENS / tokensPerMs + waitMs);
            estimates.onRun(MEMORY_TOKENS, runMs * (0.5 + random.nextDouble()));
        }
        return estimates;
    }

    @Test(dataProvider = "speedFactors")
    public void speedIsThatOfAnIdleServer(double factor) {
        double tokensPerMs = 55 * factor;
        for (int seed = 0; seed < 20; seed++) {
            double estimate = learnt(tokensPerMs, 2_500, seed).prefillTokensPerMs();
            assertEquals(estimate, tokensPerMs, tokensPerMs * 0.1, "seed " + seed);
        }
    }

    /** The balance of the pools follows the speed of prefill and the length of the runs. */
    @Test(dataProvider = "speedFactors")
    public void poolRatioFollowsTheEngines(double factor) {
        double runShare = 2_500.0 * MEMORY_TOKENS / SERVER_TOKENS;
        double prefillMs = PROMPT_TOKENS / (55 * factor);
        double ratio = learnt(55 * factor, 2_500, 1).decodeServersPerPrefillServer(SERVER_TOKENS);
        assertEquals(ratio, runShare / prefillMs, 0.3 * runShare / prefillMs);
    }

    @Test
    public void slowedServersAreNoticedAfterAsManyPromptsAsAreKept() {
        EngineEstimates estimates = learnt(55, 2_500, 1);
        for (int i = 0; i < 256; i++) {
            estimates.onPrefill(PROMPT_TOKENS, PROMPT_TOKENS / 5.5);
        }
        assertEquals(estimates.prefillTokensPerMs(), 5.5, 0.01);
    }

    @Test
    public void firstCallsReplaceTheStartValues() {
        EngineEstimates estimates = EngineEstimates.create();
        assertEquals(estimates.prefillTokensPerMs(), EngineEstimates.START_PREFILL_TOKENS_PER_MS);
        assertEquals(estimates.decodeServersPerPrefillServer(SERVER_TOKENS), 0.0);
        estimates.onPrefill(900, 100);
        estimates.onRun(13_000, 300);
        assertEquals(
                estimates.prefillTokensPerMs(),
                EngineEstimates.START_PREFILL_TOKENS_PER_MS,
                "one prompt may have waited behind others");
        assertEquals(estimates.meanPromptTokens(), 900.0);
        assertEquals(estimates.meanMemoryTokens(), 13_000.0);
        assertTrue(estimates.decodeServersPerPrefillServer(SERVER_TOKENS) == 0, "one request does not show the ratio");
        for (int i = 0; i < 63; i++) {
            estimates.onPrefill(900, 100);
        }
        assertEquals(estimates.prefillTokensPerMs(), 9.0);
    }

    /**
     * Guards against prompts that are refused although the servers are idle again: the prompts of a burst all wait, and
     * the speed must not seem lower for that.
     */
    @Test
    public void burstDoesNotLowerTheSpeed() {
        EngineEstimates estimates = EngineEstimates.create();
        for (int i = 0; i < 20; i++) {
            estimates.onPrefill(PROMPT_TOKENS, PROMPT_TOKENS / 55.0);
        }
        for (int i = 0; i < 60; i++) {
            estimates.onPrefill(PROMPT_TOKENS, 600);
        }
        assertEquals(estimates.prefillTokensPerMs(), 55, 0.01);
    }

    /** Guards against waits that seem short because a repeated prompt was found in the server's cache. */
    @Test
    public void cachedPromptsDoNotRaiseTheSpeed() {
        EngineEstimates estimates = EngineEstimates.create();
        for (int i = 0; i < 100; i++) {
            estimates.onPrefill(PROMPT_TOKENS, i % 20 == 0 ? 5 : PROMPT_TOKENS / 55.0);
        }
        assertEquals(estimates.prefillTokensPerMs(), 55, 0.01);
    }

    @Test(expectedExceptions = IllegalArgumentException.class)
    public void negativeDurationIsRefused() {
        EngineEstimates.create().onPrefill(1, -1);
    }
}
