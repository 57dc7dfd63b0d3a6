package io.chivehollow.coordination.sidecar;

import io.chivehollow.coordination.coldstart.RampConfig;

/**
 * Estimates how long prefills take.
 *
 * <p>Used on the sidecar's event loop. The estimate is the time on a warm engine according to the settings, multiplied
 * by a moving average of the ratio of measured to warm time. Without the fixed part of the warm time, many short
 * prompts would make long prompts look slow.
 */
final class PrefillTimes {

    /** Weight of a new measurement; the average covers about the last eight prefills. */
    private static final double SMOOTHING_FACTOR = 1.0 / 8;

    private final RampConfig warmTimes;
    /** Moving average of measured time divided by warm time. */
    private double slowdown = 1;

    PrefillTimes(RampConfig warmTimes) {
        this.warmTimes = warmTimes;
    }

    double warmMs(int tokens) {
        return warmTimes.baselineMs(tokens);
    }

    /** Returns the expected time of prefills that take the given time on a warm engine. */
    double expectedMs(double warmMs) {
        return slowdown * warmMs;
    }

    void record(double warmMs, long measuredMs) {
        slowdown += (measuredMs / Math.max(1, warmMs) - slowdown) * SMOOTHING_FACTOR;
    }
}
