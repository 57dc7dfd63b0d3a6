package io.chivehollow.coordination.budget;

/**
 * A period in which one replica is the leader and lends budgets.
 *
 * <p>Immutable and thread-safe. A term has at most one leader, which does not lead the same term again after
 * a restart. Term and lease start therefore identify a period uniquely among all replicas.
 *
 * @param term term of the leader
 * @param leaseStartNanos first start of the lease in the term, in ns on the leader's monotonic clock
 */
public record LendingPeriod(long term, long leaseStartNanos) {

    boolean isOlderThan(LendingPeriod other) {
        return term != other.term ? term < other.term : leaseStartNanos - other.leaseStartNanos < 0;
    }
}
