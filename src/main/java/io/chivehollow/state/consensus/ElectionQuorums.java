package io.chivehollow.state.consensus;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the quorum of an election by what a member knows of the other voters.
 *
 * <p>Used by one thread at a time.
 */
final class ElectionQuorums {

    private final MemberId self;
    private final MembershipPolicy policy;
    private final RetiredVoters retiredVoters;

    /** Time as of which a leader with a lease, or a quorum of this member as the leader, has heard of this member. */
    private long heardNanos = ReplicationProgress.NEVER;

    ElectionQuorums(NodeConfig config, MemberId self, RandomGenerator random) {
        this.self = self;
        this.policy = config.policy();
        this.retiredVoters = new RetiredVoters(random, config.times());
    }

    /** Records the time as of which a leader with a lease, or a quorum of this leader, has heard of this member. */
    void onHeard(long nanos) {
        heardNanos = Math.max(heardNanos, nanos);
    }

    /**
     * Handles a request of an instance to join; returns the nonce that the instance has to return, or 0 if it is not a
     * voter under another incarnation.
     */
    long onJoin(MemberId from, long nonce, Members members, long now) {
        return retiredVoters.onJoin(from, nonce, members, now);
    }

    /**
     * Returns the quorum of an election that begins now.
     *
     * <p>While it is not known whether an evicted voter has become a voter again, the quorum is that of the membership
     * before: it also intersects each majority that includes the returned voter.
     *
     * @param members the last membership in the log
     * @param previous the membership before it, or null
     * @param isCommitted whether the last membership is known to be committed
     * @param leaderHeardNanos time at which a leader was last heard of
     */
    VoterQuorum quorum(
            Members members, @Nullable Members previous, boolean isCommitted, long leaderHeardNanos, long now) {
        Set<MemberId> retired = retiredVoters.among(members);
        Members inUse = members.inUse(isCommitted);
        if (isAbandonmentDue(leaderHeardNanos, now)) {
            return VoterQuorum.ofRest(inUse, retired);
        }
        boolean isReturnOpen = !isCommitted
                && previous != null
                && previous.evicted().filter(members::isVoter).isPresent()
                && members.voters().containsAll(previous.voters());
        Members relevant = isReturnOpen ? previous : inUse;
        // What a leader has heard of a member says nothing of the quorums in which that member does not count.
        Set<MemberId> confirmed = relevant.isVoter(self) ? retiredVoters.confirmed(members, heardNanos) : Set.of();
        VoterQuorum quorum = VoterQuorum.ofElection(relevant, retired, confirmed);
        return isReturnOpen && confirmed.isEmpty() ? VoterQuorum.majority(members) : quorum;
    }

    /** Returns whether the group has had no leader for so long that missing voters count as lost for good. */
    private boolean isAbandonmentDue(long leaderHeardNanos, long now) {
        long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(policy.abandonTimeoutMs());
        return timeoutNanos > 0 && now - leaderHeardNanos > timeoutNanos;
    }
}
