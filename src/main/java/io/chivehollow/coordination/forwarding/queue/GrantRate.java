package io.chivehollow.coordination.forwarding.queue;

/**
 * Estimates from the recent past how long a queue takes to serve its requests.
 *
 * <p>Only time during which requests waited counts, so that a queue that was empty does not appear to be slow. Not
 * thread-safe.
 */
final class GrantRate {

    /** Time in nanoseconds in which an observation loses most of its weight; shorter than a burst. */
    private static final double MEMORY_NANOS = 2e9;

    /** Waiting time in nanoseconds below which nothing is estimated. */
    private static final double MIN_BUSY_NANOS = 250e6;

    /** Assumed number of grants if there was none, so that an estimate remains finite. */
    private static final double MIN_GRANTS = 0.5;

    private double busyNanos;
    private double grants;
    private long updateNanos;
    private boolean isBusy;

    /** Records whether requests wait from now on. */
    void onWaiting(boolean hasWaiting, long nowNanos) {
        long passedNanos = Math.max(0, nowNanos - updateNanos);
        updateNanos = nowNanos;
        double factor = Math.exp(-passedNanos / MEMORY_NANOS);
        busyNanos = busyNanos * factor + (isBusy ? passedNanos : 0);
        grants *= factor;
        isBusy = hasWaiting;
    }

    /** Records that a request was served. */
    void onGrant(long nowNanos) {
        onWaiting(isBusy, nowNanos);
        grants++;
    }

    /** Returns the expected time in nanoseconds until the given number of requests are served; 0 if it is not known. */
    long expectedNanos(int requests, long nowNanos) {
        onWaiting(isBusy, nowNanos);
        return busyNanos < MIN_BUSY_NANOS ? 0 : (long) (requests * busyNanos / Math.max(MIN_GRANTS, grants));
    }
}
