package io.chivehollow.state.consensus;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The intervals and timeouts of the consensus protocol, in milliseconds.
 *
 * <p>Immutable and thread-safe.
 *
 * @param heartbeatMs maximum interval between two messages of a leader to a member
 * @param leaseMs duration of the leader lease, from the send time of the acknowledged messages
 * @param voteHoldMs time after a leader's message during which a member does not vote
 * @param maxElectionJitterMs upper limit of the random addition to {@code voteHoldMs} in the election timeout
 * @param proposalTimeoutMs time after which the outcome of a proposal is reported as unknown
 */
public record ConsensusTimes(
        int heartbeatMs, int leaseMs, int voteHoldMs, int maxElectionJitterMs, int proposalTimeoutMs) {

    /** A process that is restarted replies again within a few vote hold times. */
    private static final int REMOVAL_VOTE_HOLDS = 5;

    /** Exceeds {@link #REMOVAL_VOTE_HOLDS}, so that a single silent voter is removed before. */
    private static final int NARROW_QUORUM_VOTE_HOLDS = 8;

    /** Longer than the pauses of an instance that is not lost. */
    private static final int RETURN_VOTE_HOLDS = 20;

    /**
     * Checks that the lease ends before members vote again.
     *
     * @throws IllegalArgumentException if the lease is too long for the vote hold or too short for the heartbeat
     */
    public ConsensusTimes {
        // A clock that is 10% slow prolongs the lease; one that is 10% fast shortens the vote hold.
        checkArgument(
                leaseMs * 1.1 <= voteHoldMs * 0.9,
                "leaseMs %s must be at most 9/11 of voteHoldMs %s, to allow for clock drift",
                leaseMs,
                voteHoldMs);
        checkArgument(heartbeatMs * 2 <= leaseMs, "heartbeatMs %s must be at most half of leaseMs", heartbeatMs);
    }

    /** Returns the time without a reply after which a voter that the group can do without is removed. */
    int removalTimeoutMs() {
        return voteHoldMs * REMOVAL_VOTE_HOLDS;
    }

    /** Returns the time for which other voters have to be silent before a leader uses a quorum without them. */
    int narrowQuorumSilenceMs() {
        return voteHoldMs * NARROW_QUORUM_VOTE_HOLDS;
    }

    /**
     * Returns the time within which a retired voter has to be heard of after a leader has heard of this member. It ends
     * before {@link #narrowQuorumSilenceMs} on another clock, if one of them is 10% fast and the other 10% slow.
     */
    int confirmedRetirementMs() {
        return narrowQuorumSilenceMs() * 4 / 5;
    }

    /** Returns the time for which an evicted voter may return in place of another one. */
    int returnTimeoutMs() {
        return voteHoldMs * RETURN_VOTE_HOLDS;
    }

    /**
     * Returns times for a group whose members have a network latency of a few milliseconds.
     *
     * @param voteHoldMs time after a leader's message during which a member does not vote; the heartbeat, the lease and
     *     the election jitter are derived from it
     */
    public static ConsensusTimes ofVoteHold(int voteHoldMs) {
        return new ConsensusTimes(voteHoldMs / 4, voteHoldMs * 3 / 4, voteHoldMs, voteHoldMs, 3_000);
    }

    /** Returns the default times: {@link #ofVoteHold} with a vote hold of 1 s. */
    public static ConsensusTimes defaults() {
        return ofVoteHold(1_000);
    }
}
