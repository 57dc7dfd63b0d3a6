package io.chivehollow.coordination.replica;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.InstanceId;
import io.chivehollow.state.StateException;
import io.chivehollow.state.consensus.ReplicatedLog;
import io.chivehollow.state.consensus.StateMachine;

/**
 * A log with one member that commits immediately; tests appoint the leader and make responses get lost.
 *
 * <p>Thread-safe.
 */
final class FakeReplicatedLog implements ReplicatedLog {

    private final InstanceId self;
    private final StateMachine machine;
    private InstanceId leader;
    private long term;
    private long leaseStartNanos;
    private long index;
    private int responsesToLose;

    FakeReplicatedLog(InstanceId self, StateMachine machine) {
        this.self = self;
        this.machine = machine;
    }

    synchronized void appoint(InstanceId newLeader, long nowNanos) {
        leader = newLeader;
        term++;
        leaseStartNanos = nowNanos;
    }

    /** Starts a new lease in the same term, as after a lapse. */
    synchronized void renewLease(long nowNanos) {
        leaseStartNanos = nowNanos;
    }

    synchronized void loseResponses(int count) {
        responsesToLose = count;
    }

    @Override
    public synchronized CompletableFuture<Applied> propose(byte[] command) {
        if (!holdsLease()) {
            return CompletableFuture.failedFuture(
                    StateException.refused(ErrorCode.NOT_LEADER, "This replica is not the leader", null));
        }
        index++;
        byte[] result = machine.apply(index, command);
        if (responsesToLose > 0) {
            responsesToLose--;
            return CompletableFuture.failedFuture(StateException.unknown(ErrorCode.NO_QUORUM, "the response was lost"));
        }
        return CompletableFuture.completedFuture(new Applied(index, result));
    }

    @Override
    public CompletableFuture<Applied> admit(InstanceId instance) {
        return CompletableFuture.failedFuture(new UnsupportedOperationException("a group of one member"));
    }

    @Override
    public CompletableFuture<Applied> remove(InstanceId instance) {
        return CompletableFuture.failedFuture(new UnsupportedOperationException("a group of one member"));
    }

    @Override
    public synchronized boolean holdsLease() {
        return self.equals(leader);
    }

    @Override
    public synchronized long leaseStartNanos() {
        return leaseStartNanos;
    }

    @Override
    public long ageMs() {
        return 0;
    }

    @Override
    public synchronized Status status() {
        String role = holdsLease() ? "leader" : "follower";
        return new Status(role, term, Optional.ofNullable(leader), index, index, 0, List.of(), Optional.empty());
    }

    @Override
    public void close() {}
}
