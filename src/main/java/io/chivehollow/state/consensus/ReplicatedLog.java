package io.chivehollow.state.consensus;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.base.InstanceId;

/**
 * The replicated log as its users see it.
 *
 * <p>Implementations are thread-safe.
 */
public interface ReplicatedLog extends AutoCloseable {

    /**
     * Proposes a command; the future completes when the command is committed on a quorum and applied here.
     *
     * <p>It fails with a {@link io.chivehollow.state.StateException}; {@code isNotRun} tells whether the command
     * has certainly not taken effect.
     */
    CompletableFuture<Applied> propose(byte[] command);

    /**
     * Lets an instance join the group; the future completes when that is committed. The instance receives the log as a
     * learner and votes once it has caught up.
     *
     * <p>It fails like {@link #propose}. An instance that was admitted before is confirmed again.
     */
    CompletableFuture<Applied> admit(InstanceId instance);

    /**
     * Removes an instance from the group, or its admission; the future completes when that is committed.
     *
     * <p>It fails like {@link #propose}. An instance that was removed before is confirmed again. A leader that is to be
     * removed hands the leadership over and fails with {@code NOT_LEADER}.
     */
    CompletableFuture<Applied> remove(InstanceId instance);

    /** Returns whether this member is the leader, inside its lease, and has applied all that was committed before. */
    boolean holdsLease();

    /** Returns the time at which the current leader lease started, on this process's monotonic clock. */
    long leaseStartNanos();

    /** Returns an upper bound of the age of the applied state, or {@link Long#MAX_VALUE} if there is none. */
    long ageMs();

    /** Returns the instances of the group as this member knows them; empty if it knows none. */
    default List<InstanceId> members() {
        return List.of();
    }

    /** Returns the current status. */
    Status status();

    /** Stops this member. */
    @Override
    void close();

    /**
     * The effect of a command.
     *
     * @param index position of the command in the log
     * @param result what the state machine returned
     */
    record Applied(long index, byte[] result) {}

    /**
     * Status of this member.
     *
     * @param role follower, candidate, leader or learner
     * @param term current term
     * @param leader the leader, if known
     * @param commitIndex last committed index
     * @param appliedIndex last applied index
     * @param logBytes size of the log entries in memory
     * @param members what the leader knows about the members; empty elsewhere
     * @param admitted an instance that is admitted and has not joined yet, as far as the leader knows
     */
    record Status(
            String role,
            long term,
            Optional<InstanceId> leader,
            long commitIndex,
            long appliedIndex,
            long logBytes,
            List<MemberStatus> members,
            Optional<InstanceId> admitted) {}

    /**
     * What the leader knows about a member.
     *
     * @param instance the member
     * @param isVoter whether the member votes
     * @param matchIndex last index that the member is known to have
     * @param silentMs time since the member's last answer
     */
    record MemberStatus(InstanceId instance, boolean isVoter, long matchIndex, long silentMs) {}
}
