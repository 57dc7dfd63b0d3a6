package io.chivehollow.coordination.forwarding.speed;

/**
 * How long requests to one service take at a usual server that has nothing else to do, from the requests of this
 * process.
 *
 * <p>Invariant: every time is positive. Has no clock; callers pass durations. Used on the event loop of the forwarding
 * role only.
 */
public final class WorkTimes {

    /** Start value of the time to the first byte or event in milliseconds, until enough requests have ended. */
    static final double START_FIRST_OUTPUT_MS = 20;

    /** Requests after which the means describe the service. */
    static final int MIN_SAMPLES = 8;

    /** Weight of a new request; smaller than that of a server's work, so that the mean is steadier than its parts. */
    private static final double WEIGHT = 0.05;

    /** Bounds the influence of one request on a mean. */
    private static final double MAX_SAMPLE_FACTOR = 10;

    private final Mean firstOutput = new Mean();
    private final Mean eventInterval = new Mean();

    private WorkTimes() {}

    /** Returns times that have their start values. */
    public static WorkTimes create() {
        return new WorkTimes();
    }

    /** Records the time from sending a request to its first byte or event at a usual server in milliseconds. */
    public void onFirstOutput(double timeMs) {
        firstOutput.add(timeMs);
    }

    /** Records the mean time between the events of one run at a usual server in milliseconds. */
    public void onEventInterval(double timeMs) {
        eventInterval.add(timeMs);
    }

    /** Returns the time to the first byte or event in milliseconds. */
    public double firstOutputMs() {
        return firstOutput.isKnown() ? firstOutput.value : START_FIRST_OUTPUT_MS;
    }

    /** Returns whether enough requests have ended to compare servers by their first output. */
    public boolean isFirstOutputKnown() {
        return firstOutput.isKnown();
    }

    /** Returns the time between two events in milliseconds, or 0 as long as too few runs have ended. */
    public double eventIntervalMs() {
        return eventInterval.isKnown() ? eventInterval.value : 0;
    }

    /** A mean in which late samples count as much as recent ones until there are many. */
    private static final class Mean {

        private double value;
        private int count;

        void add(double sample) {
            if (!(sample > 0) || Double.isInfinite(sample)) {
                return;
            }
            double bounded = count == 0 ? sample : Math.min(sample, value * MAX_SAMPLE_FACTOR);
            value += (bounded - value) * Math.max(WEIGHT, 1.0 / (count + 1));
            count = Math.min(count + 1, (int) (1 / WEIGHT));
        }

        boolean isKnown() {
            return count >= MIN_SAMPLES;
        }
    }
}
