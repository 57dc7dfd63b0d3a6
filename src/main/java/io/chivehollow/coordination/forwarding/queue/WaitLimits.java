package io.chivehollow.coordination.forwarding.queue;

/**
 * Limits for how long a request waits for memory, if its service distinguishes priorities.
 *
 * <p>Stateless and thread-safe.
 */
public final class WaitLimits {

    /** Least and largest share of the target time for which a request waits; the rest is for the prefill. */
    private static final double MIN_TARGET_SHARE = 0.45;

    private static final double MAX_TARGET_SHARE = 0.75;

    /** Share of the target time that is left for calls and transfers. */
    private static final double TRANSFER_TARGET_SHARE = 0.1;

    /** Expected time until the first output, relative to the prefill alone; another prompt is usually in progress. */
    private static final double PREFILL_FACTOR = 2;

    /** Callers abandon a stream without an event after this time at the earliest. */
    private static final long MIN_PATIENCE_MS = 2_000;

    /** Multiples of the target and of the longest pause between events after which callers abandon a stream. */
    private static final long PATIENCE_TARGETS = 4;

    private static final long PATIENCE_GAPS = 8;

    /** Share of the callers' patience for which a late request waits; the rest is for the prefill. */
    private static final double MAX_PATIENCE_SHARE = 0.55;

    private WaitLimits() {}

    /**
     * Returns how long in milliseconds from its arrival a request may wait and still meet its target.
     *
     * @param targetMs target time of the route
     * @param prefillMs expected time of the prefill of its prompt
     */
    public static long onTimeMs(long targetMs, double prefillMs) {
        double waitMs = targetMs * (1 - TRANSFER_TARGET_SHARE) - prefillMs * PREFILL_FACTOR;
        return (long) Math.max(targetMs * MIN_TARGET_SHARE, Math.min(targetMs * MAX_TARGET_SHARE, waitMs));
    }

    /**
     * Returns how long in milliseconds from its arrival a request may wait that misses its target in any case.
     *
     * @param targetMs target time of the route
     * @param gapMs longest pause between events
     */
    public static long lateMs(long targetMs, long gapMs) {
        long patienceMs = Math.max(MIN_PATIENCE_MS, Math.max(PATIENCE_TARGETS * targetMs, PATIENCE_GAPS * gapMs));
        return (long) (patienceMs * MAX_PATIENCE_SHARE);
    }
}
