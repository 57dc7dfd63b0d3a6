package io.chivehollow.coordination.gateway;

/**
 * Limits the ratio of retries to requests, so that retries cannot amplify an overload.
 *
 * <p>Thread-safe. Each request adds a tenth of a retry; at most {@link #MAX_RETRIES} are accumulated.
 */
final class RetryBudget {

    /** Enough for the requests of one backend server, which fail together when it crashes (about 20 run at a time). */
    static final int MAX_RETRIES = 20;

    private static final int UNITS_PER_RETRY = 10;

    private int units = MAX_RETRIES * UNITS_PER_RETRY;

    /** Counts a new request. */
    synchronized void onRequest() {
        units = Math.min(MAX_RETRIES * UNITS_PER_RETRY, units + 1);
    }

    /** Consumes one retry if one is available and returns whether that was so. */
    synchronized boolean tryAcquire() {
        if (units < UNITS_PER_RETRY) {
            return false;
        }
        units -= UNITS_PER_RETRY;
        return true;
    }
}
