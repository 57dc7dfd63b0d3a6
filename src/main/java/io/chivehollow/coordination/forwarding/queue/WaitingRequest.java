package io.chivehollow.coordination.forwarding.queue;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A request as the queue policy sees it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param urgency rank and team of the request
 * @param size capacity that the request takes, such as its memory in tokens
 * @param arrivalNanos time at which it began to wait
 * @param expiryNanos time at which it stops waiting; if it is not late, the last time at which it can start and still
 *     meet its target
 * @param isLate whether it misses its target in any case
 */
public record WaitingRequest(Urgency urgency, long size, long arrivalNanos, long expiryNanos, boolean isLate) {

    /** Part of the wait of a late request after which a server most likely has to be found soon or never. */
    private static final double OVERDUE_SHARE = 0.75;

    /** Checks the values. */
    public WaitingRequest {
        checkArgument(size > 0, "size must be positive, but was %s", size);
        checkArgument(expiryNanos - arrivalNanos >= 0, "the request must not expire before its arrival");
    }

    /** Returns the part of its waiting time that has passed, from 0 to 1. */
    double waitedShare(long nowNanos) {
        long waitNanos = expiryNanos - arrivalNanos;
        return waitNanos == 0 ? 1 : Math.max(0, Math.min(1, (double) (nowNanos - arrivalNanos) / waitNanos));
    }

    /** Returns whether a late request is in the last part of its wait, in which it no longer yields to others. */
    boolean isOverdue(long nowNanos) {
        return isLate && waitedShare(nowNanos) >= OVERDUE_SHARE;
    }

    /**
     * Returns the rank after ageing. A late request, whose caller does not return once more, reaches rank 0 at the end
     * of its wait; another one improves by one rank in the second half.
     */
    int agedRank(long nowNanos) {
        int rank = urgency.rank();
        double waited = waitedShare(nowNanos);
        if (isLate) {
            return isOverdue(nowNanos) ? 0 : (int) Math.ceil(rank * (1 - waited));
        }
        return waited < 0.5 ? rank : Math.max(0, rank - 1);
    }
}
