package io.chivehollow.state.consensus;

import io.chivehollow.base.InstanceId;
import io.chivehollow.state.consensus.ConsensusNode.Role;
import org.jspecify.annotations.Nullable;

/**
 * The current term of a member, with its role, its vote and the leader.
 *
 * <p>Invariants: the term never decreases; a vote of a term never changes to another member. Used by one thread at a
 * time.
 */
final class TermState {

    private Role role = Role.FOLLOWER;
    private long term;
    private String vote;
    private boolean isVoteChanged;
    private @Nullable InstanceId leader;

    TermState(long term, String vote) {
        this.term = term;
        this.vote = vote;
    }

    Role role() {
        return role;
    }

    boolean hasRole(Role expected) {
        return role == expected;
    }

    /** Changes the role; the leader is null if it is unknown. */
    void setRole(Role newRole, @Nullable InstanceId newLeader) {
        role = newRole;
        leader = newLeader;
    }

    void setLeader(@Nullable InstanceId newLeader) {
        leader = newLeader;
    }

    @Nullable
    InstanceId leader() {
        return leader;
    }

    long term() {
        return term;
    }

    String vote() {
        return vote;
    }

    /** Sets the term and the vote, which must be durable before messages that depend on them are sent. */
    void setVote(long newTerm, String newVote) {
        if (newTerm != term || !newVote.equals(vote)) {
            term = newTerm;
            vote = newVote;
            isVoteChanged = true;
        }
    }

    /** Returns whether the term or the vote has changed since the last call. */
    boolean pollVoteChanged() {
        boolean isChanged = isVoteChanged;
        isVoteChanged = false;
        return isChanged;
    }
}
