package io.chivehollow.coordination.coldstart;

import io.chivehollow.base.Clock;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits the concurrent requests of a backend server, from 1 after a cold start up to its full capacity.
 *
 * <p>The limit doubles after as many successful requests as the limit, as long as their service time stays under twice
 * the warm baseline. It falls back to 1 when the backend server restarts, when a call times out, or when a request
 * takes more than three times the baseline. Requests that began before the last fallback are ignored, because they do
 * not show how fast the backend server is after it. Invariant: the limit is between 1 and {@link RampConfig#maxLimit}.
 * Not thread-safe; callers must provide external synchronization.
 */
public final class ColdStartRamp {

    private static final double RAISE_RATIO = 2;
    private static final double FALLBACK_RATIO = 3;

    private final RampConfig config;
    private final Clock clock;
    private int limit = 1;
    private int successes;
    private long startedMs;

    private ColdStartRamp(RampConfig config, Clock clock) {
        this.config = config;
        this.clock = clock;
        this.startedMs = clock.monotonicMs();
    }

    /** Returns a new ramp with a limit of 1. */
    public static ColdStartRamp create(RampConfig config, Clock clock) {
        return new ColdStartRamp(config, clock);
    }

    /** Returns how many requests the backend server may process concurrently. */
    public int limit() {
        return limit;
    }

    /** Returns whether the limit is below the capacity of the warm backend server. */
    public boolean isCold() {
        return limit < config.maxLimit();
    }

    /** Records a successful request with its time in the engine and the tokens that it processed or produced. */
    public void onSuccess(long serviceMs, int tokens) {
        checkArgument(serviceMs >= 0, "serviceMs must not be negative, but was %s", serviceMs);
        checkArgument(tokens >= 0, "tokens must not be negative, but was %s", tokens);
        if (clock.monotonicMs() - serviceMs < startedMs) {
            return;
        }
        double ratio = serviceMs / Math.max(config.baselineMs(tokens), 1);
        if (ratio > FALLBACK_RATIO) {
            restart();
            return;
        }
        if (ratio >= RAISE_RATIO || !isCold()) {
            return;
        }
        successes++;
        if (successes >= limit) {
            limit = (int) Math.min(2L * limit, config.maxLimit());
            successes = 0;
        }
    }

    /**
     * Records the time that an unfinished request took for its last tokens, which detects a slow backend server before
     * the request ends.
     *
     * <p>This can lower the limit but never raises it.
     */
    public void onProgress(long elapsedMs, int tokens) {
        checkArgument(elapsedMs >= 0, "elapsedMs must not be negative, but was %s", elapsedMs);
        checkArgument(tokens > 0, "tokens must be positive, but was %s", tokens);
        if (elapsedMs > FALLBACK_RATIO * Math.max(config.msPerToken() * tokens, 1)) {
            restart();
        }
    }

    /** Records a call that timed out, or another sign that the backend server is cold. */
    public void onFailure() {
        restart();
    }

    /** Records that the backend server has restarted. */
    public void onRestart() {
        restart();
    }

    private void restart() {
        limit = 1;
        successes = 0;
        startedMs = clock.monotonicMs();
    }
}
