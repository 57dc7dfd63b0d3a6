package io.chivehollow.state.consensus;

/**
 * Tracks the time up to which a follower's applied state contains all commits, using only the follower's clock.
 *
 * <p>Suppose a leader held its lease when it received a message that the follower sent at time t. Then the commit index
 * of that leader covers everything that was committed before t. Once the follower has applied all entries up to that
 * commit index, its state is at least as new as t. Used by one thread at a time.
 */
final class FreshnessTracker {

    private long freshAsOfNanos = ReplicationProgress.NEVER;
    private long pendingNanos = ReplicationProgress.NEVER;
    private long pendingIndex;

    /**
     * The newest echoed timestamp, stored while an older one is pending. The pending one is not replaced, because under
     * a steady stream of entries its commit index would then never be reached.
     */
    private long nextNanos = ReplicationProgress.NEVER;

    private long nextIndex;

    void onTimestampEchoed(long sentNanos, long commitIndex) {
        if (pendingNanos == ReplicationProgress.NEVER) {
            pendingNanos = sentNanos;
            pendingIndex = commitIndex;
        } else if (sentNanos > nextNanos) {
            nextNanos = sentNanos;
            nextIndex = commitIndex;
        }
    }

    void onApplied(long index) {
        while (pendingNanos != ReplicationProgress.NEVER && index >= pendingIndex) {
            freshAsOfNanos = Math.max(freshAsOfNanos, pendingNanos);
            pendingNanos = nextNanos;
            pendingIndex = nextIndex;
            nextNanos = ReplicationProgress.NEVER;
        }
    }

    /** Returns the time up to which the applied state contains all commits, or {@link ReplicationProgress#NEVER}. */
    long freshAsOfNanos() {
        return freshAsOfNanos;
    }
}
