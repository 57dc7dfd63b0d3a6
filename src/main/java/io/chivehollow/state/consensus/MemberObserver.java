package io.chivehollow.state.consensus;

/**
 * Receives events of a member, for metrics.
 *
 * <p>Called on the member's thread; implementations must not block.
 */
public interface MemberObserver {

    /** Returns an observer that ignores everything. */
    static MemberObserver none() {
        return new MemberObserver() {};
    }

    /** Called after a sync that made new log entries durable, with its duration in nanoseconds. */
    default void onSync(long durationNanos) {}

    /** Called with the number of proposals that were appended to the log and the number that were refused. */
    default void onProposals(int accepted, int refused) {}
}
