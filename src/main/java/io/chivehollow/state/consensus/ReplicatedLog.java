package io.chivehollow.state.consensus;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.chivehollow.base.InstanceId;

/**
 * A log of commands that is replicated to a group of members by a consensus protocol.
 *
 * <p>Implementations are thread-safe.
 */
public interface ReplicatedLog extends AutoCloseable {

    /**
     * Proposes a command. The future completes when the command is committed by a quorum and applied at this member.
     *
     * <p>The future fails with a {@link io.chivehollow.state.StateException}. If its {@code isNotRun} is true, the
     * command has not taken effect and never will; otherwise the outcome is unknown.
     */
    CompletableFuture<AppliedEntry> propose(byte[] command);

    /**
     * Admits an instance to the group. The future completes when the admission is committed. The instance then receives
     * the log as a learner and becomes a voter once it has caught up.
     *
     * <p>The future fails like that of {@link #propose}. The admission of an instance that is already admitted
     * succeeds.
     */
    CompletableFuture<AppliedEntry> admit(InstanceId instance);

    /**
     * Removes an instance from the group, or revokes its admission. The future completes when the removal is committed.
     *
     * <p>The future fails like that of {@link #propose}. The removal of an instance that is already removed succeeds. A
     * leader that is to be removed transfers its leadership and fails with {@code NOT_LEADER}.
     */
    CompletableFuture<AppliedEntry> remove(InstanceId instance);

    /** Returns whether this member is the leader, holds a valid lease, and has applied all earlier commits. */
    boolean holdsLease();

    /** Returns the start of the current leader lease in nanoseconds, on this process's monotonic clock. */
    long leaseStartNanos();

    /**
     * Returns an upper bound of the age of the applied state in milliseconds, 0 at a leader with a valid lease, or
     * {@link Long#MAX_VALUE} if the age is unknown.
     */
    long maxStalenessMs();

    /** Returns the instances of the group as of the last log entry at this member; empty if it has no membership. */
    default List<InstanceId> members() {
        return List.of();
    }

    /** Returns the current status. */
    Status status();

    /** Stops this member. A leader first tries to transfer its leadership. */
    @Override
    void close();

    /**
     * A command or membership change that has been committed and applied.
     *
     * @param index log index of the entry
     * @param result result that the state machine returned; empty for a membership change
     */
    record AppliedEntry(long index, byte[] result) {}

    /**
     * Status of this member.
     *
     * @param role follower, candidate, leader or learner
     * @param term current term
     * @param leader the leader according to this member, which may be this member itself, or empty if it is unknown
     * @param commitIndex last committed index
     * @param appliedIndex last applied index
     * @param logBytes size of the log entries in memory, in bytes
     * @param members status of the members, at the leader; empty at other members
     * @param admitted instance that is admitted but has not joined yet, at the leader; empty at other members
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
     * The status of a member according to the leader.
     *
     * @param instance the member
     * @param isVoter whether the member votes
     * @param matchIndex last index up to which the member has acknowledged the log
     * @param sinceLastReplyMs time since the last reply of the member, in milliseconds
     */
    record MemberStatus(InstanceId instance, boolean isVoter, long matchIndex, long sinceLastReplyMs) {}
}
