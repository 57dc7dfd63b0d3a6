package io.chivehollow.state.consensus;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The times of the protocol.
 *
 * <p>Immutable and thread-safe.
 *
 * @param heartbeatMs longest pause between two messages of a leader to a member
 * @param leaseMs age of an acknowledged message up to which it supports the leader's lease
 * @param voteHoldMs time after a leader's message in which a member does not vote
 * @param electionSpreadMs random addition to {@code voteHoldMs} after which a member starts an election
 * @param proposalTimeoutMs time after which the outcome of a proposal is reported as unknown
 */
public record ConsensusTimes(
        int heartbeatMs, int leaseMs, int voteHoldMs, int electionSpreadMs, int proposalTimeoutMs) {

    /** Checks that the lease ends before members vote again. */
    public ConsensusTimes {
        // A clock that is 10% slow stretches the lease, one that is 10% fast shortens the vote hold.
        checkArgument(
                leaseMs * 1.1 <= voteHoldMs * 0.9,
                "leaseMs %s must be at most 9/11 of voteHoldMs %s, to allow for clock drift",
                leaseMs,
                voteHoldMs);
        checkArgument(heartbeatMs * 2 <= leaseMs, "heartbeatMs %s must be at most half of leaseMs", heartbeatMs);
    }

    /**
     * Returns times for a group whose members are a few milliseconds apart.
     *
     * @param voteHoldMs time after a leader's message in which a member does not vote; the other times follow from it
     */
    public static ConsensusTimes ofVoteHold(int voteHoldMs) {
        return new ConsensusTimes(voteHoldMs / 4, voteHoldMs * 3 / 4, voteHoldMs, voteHoldMs, 3_000);
    }

    /** Returns the times of the design. */
    public static ConsensusTimes defaults() {
        return ofVoteHold(1_000);
    }
}
