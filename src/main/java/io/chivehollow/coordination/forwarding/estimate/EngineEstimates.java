package io.chivehollow.coordination.forwarding.estimate;

import java.util.Arrays;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Estimates for the language model engines of one service, from the prompts and runs of this process.
 *
 * <p>Invariants: every estimate is positive, and starts with a stated value until the first calls have ended. Has no
 * clock; callers pass durations. Used on the event loop of the forwarding role only.
 */
public final class EngineEstimates {

    /** Start value of the prefill speed in prompt tokens per millisecond. */
    public static final double START_PREFILL_TOKENS_PER_MS = 55;

    /** Start value of the tokens of a prompt, and of the memory that a request occupies. */
    private static final double START_REQUEST_TOKENS = 5_000;

    /** Start value of the time for which a run occupies its memory, in milliseconds. */
    private static final double START_RUN_MS = 2_500;

    /**
     * Number of recent prompts of which the fast ones show the speed of an idle server. More than a process sends in a
     * burst: all prompts of a burst may wait behind others, and a speed that seems low makes a process refuse prompts.
     */
    private static final int SPEED_SAMPLES = 256;

    /** Share of the prompts that are slower than an idle server's; the fastest ones were found in its cache. */
    private static final double FAST_SHARE = 0.9;

    /** Prompts after which the start value of the speed no longer counts; more than a process sends in a burst. */
    private static final int MIN_SPEED_SAMPLES = 64;

    /** Weight of a new sample in the means. */
    private static final double MEAN_WEIGHT = 0.1;

    /** Prompts, runs or estimates after which their means describe the service. */
    private static final int MIN_SAMPLES = 8;

    private static final double MAX_PREFILL_TOKENS_PER_MS = 100_000;

    private final double[] speeds = new double[SPEED_SAMPLES];
    private int speedCount;
    private double prefillTokensPerMs = START_PREFILL_TOKENS_PER_MS;
    private double meanPromptTokens = START_REQUEST_TOKENS;
    private double meanMemoryTokens = START_REQUEST_TOKENS;
    private double meanRunMs = START_RUN_MS;
    private double meanLogExpectedTokens;
    private int promptCount;
    private int runCount;
    private int expectedCount;

    private EngineEstimates() {}

    /** Returns estimates that have their start values. */
    public static EngineEstimates create() {
        return new EngineEstimates();
    }

    /**
     * Records a prompt that a prefill server has processed.
     *
     * @param tokens number of prompt tokens
     * @param durationMs time in milliseconds from sending the prompt to the response
     * @throws IllegalArgumentException if an argument is negative
     */
    public void onPrefill(long tokens, double durationMs) {
        checkArgument(tokens >= 0, "tokens must not be negative, but was %s", tokens);
        checkArgument(durationMs >= 0, "durationMs must not be negative, but was %s", durationMs);
        if (tokens == 0 || durationMs == 0) {
            return;
        }
        speeds[speedCount++ % SPEED_SAMPLES] = Math.min(tokens / durationMs, MAX_PREFILL_TOKENS_PER_MS);
        prefillTokensPerMs = speedCount < MIN_SPEED_SAMPLES ? START_PREFILL_TOKENS_PER_MS : fastSpeed();
        meanPromptTokens = mean(meanPromptTokens, tokens, promptCount++);
    }

    /**
     * Records the caller's estimate of an output.
     *
     * @param expectedTokens the estimate in tokens, 0 if there is none
     * @throws IllegalArgumentException if the estimate is negative
     */
    public void onExpectedOutput(long expectedTokens) {
        checkArgument(expectedTokens >= 0, "expectedTokens must not be negative, but was %s", expectedTokens);
        if (expectedTokens > 0) {
            meanLogExpectedTokens = mean(meanLogExpectedTokens, Math.log(expectedTokens), expectedCount++);
        }
    }

    /**
     * Returns the median output in tokens, 0 as long as too few callers have estimated theirs.
     *
     * <p>Callers' estimates are right at the median, and too high as often as too low, so that their geometric mean is
     * near the median output.
     */
    public double medianOutputTokens() {
        return expectedCount < MIN_SAMPLES ? 0 : Math.exp(meanLogExpectedTokens);
    }

    /**
     * Records a run that has ended with a complete response.
     *
     * @param memoryTokens memory that was reserved for the run
     * @param durationMs time in milliseconds for which the run occupied it
     * @throws IllegalArgumentException if an argument is negative
     */
    public void onRun(long memoryTokens, double durationMs) {
        checkArgument(memoryTokens >= 0, "memoryTokens must not be negative, but was %s", memoryTokens);
        checkArgument(durationMs >= 0, "durationMs must not be negative, but was %s", durationMs);
        if (memoryTokens == 0 || durationMs == 0) {
            return;
        }
        meanMemoryTokens = mean(meanMemoryTokens, memoryTokens, runCount);
        meanRunMs = mean(meanRunMs, durationMs, runCount++);
    }

    private double fastSpeed() {
        double[] sorted = Arrays.copyOf(speeds, Math.min(speedCount, SPEED_SAMPLES));
        Arrays.sort(sorted);
        return sorted[(int) (sorted.length * FAST_SHARE)];
    }

    /** The first samples count more, so that the start value is soon forgotten. */
    private static double mean(double current, double sample, int count) {
        double weight = Math.max(MEAN_WEIGHT, 1.0 / (count + 1));
        return current + (sample - current) * weight;
    }

    /** Returns the prompt tokens that an idle prefill server processes in a millisecond. */
    public double prefillTokensPerMs() {
        return prefillTokensPerMs;
    }

    /** Returns the mean number of tokens of a prompt. */
    public double meanPromptTokens() {
        return meanPromptTokens;
    }

    /** Returns the mean number of tokens of memory that a request reserves. */
    public double meanMemoryTokens() {
        return meanMemoryTokens;
    }

    /** Returns the mean time in milliseconds for which a run occupies its memory. */
    public double meanRunMs() {
        return meanRunMs;
    }

    /**
     * Returns how many decode servers one prefill server keeps busy, or 0 as long as too few requests have ended.
     *
     * <p>A request occupies a prefill server for the time of its prompt, and a decode server for the time of its run
     * times its share of the memory.
     *
     * @param serverMemoryTokens memory of one decode server in tokens
     */
    public double decodeServersPerPrefillServer(long serverMemoryTokens) {
        if (promptCount < MIN_SAMPLES || runCount < MIN_SAMPLES || serverMemoryTokens <= 0) {
            return 0;
        }
        double prefillMs = meanPromptTokens / prefillTokensPerMs();
        return meanRunMs * Math.min(1, meanMemoryTokens / serverMemoryTokens) / prefillMs;
    }
}
