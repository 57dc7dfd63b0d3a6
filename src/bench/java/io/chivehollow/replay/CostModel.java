package io.chivehollow.replay;

/**
 * The time and memory that work takes on the simulated engines, links and network of a deployment.
 *
 * <p>The figures are assumptions of the replay; docs/replay.md lists them. Immutable and thread-safe.
 *
 * @param roundTripUs round trip time between a gateway and a sidecar
 * @param totalBlocks memory of a decode engine in blocks, enough for about twenty requests of the deployment
 * @param kvBytesPerToken size of the KV cache of one token
 * @param linkBytesPerMs bandwidth of the link into a decode engine
 */
record CostModel(long roundTripUs, int totalBlocks, long kvBytesPerToken, long linkBytesPerMs) {

    static final int BLOCK_TOKENS = 4_096;
    static final int MAX_RUNNING = 20;
    static final double FIRST_TOKEN_TARGET_MS = 560;
    static final double TOKEN_INTERVAL_TARGET_MS = 45;
    static final double PREFILL_FIXED_MS = 8;
    static final double PREFILL_MS_PER_TOKEN = 0.02;
    // Duration of a decode step of a full batch at the mean prompt length.
    static final double WARM_STEP_MS = 40;
    static final long PREFILL_RESULT_VALID_US = 800_000;
    static final int PREFIX_CACHE_TOKENS = 60_000;
    static final double INTERACTIVE_TIMEOUT_MS = 5_000;
    static final double BATCH_DEADLINE_MS = 30_000;
    static final long PLAIN_CALL_US = 40_000;
    static final int PLAIN_WORKERS = 4;
    static final long ENGINE_RESTART_US = 3_000_000;

    static CostModel of(String deployment) {
        return switch (deployment) {
            case "a" -> new CostModel(1_000, 36, 40_000, 4_000_000);
            case "b" -> new CostModel(500, 24, 40_000, 4_000_000);
            default -> throw new IllegalArgumentException("deployment must be a or b, but was " + deployment);
        };
    }

    long oneWayUs() {
        return roundTripUs / 2;
    }

    static long prefillUs(int uncachedTokens) {
        return VirtualClock.msToUs(PREFILL_FIXED_MS + PREFILL_MS_PER_TOKEN * uncachedTokens);
    }

    long transferUs(int promptTokens) {
        return VirtualClock.msToUs((double) promptTokens * kvBytesPerToken / linkBytesPerMs);
    }

    /** Returns the duration of one decode step of a warm engine for a batch of this size. */
    static double stepMs(int requests, long contextTokens) {
        return 20 + 0.9 * requests + 0.02 * contextTokens / 1_000;
    }

    /**
     * Returns the share of one decode engine's memory or batch slots, whichever is scarcer, that a request occupies.
     */
    double decodeShare(Trace.Arrival arrival) {
        return Math.max((double) blocks(arrival) / totalBlocks, 1.0 / MAX_RUNNING);
    }

    static int blocks(Trace.Arrival arrival) {
        return (arrival.promptTokens() + arrival.outputTokens() + BLOCK_TOKENS - 1) / BLOCK_TOKENS;
    }
}
