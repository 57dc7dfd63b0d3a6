package io.chivehollow.state.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.chivehollow.base.InstanceId;
import io.chivehollow.state.consensus.ConsensusNode.Role;
import io.chivehollow.state.consensus.wire.VoteReply;
import io.chivehollow.state.consensus.wire.VoteRequest;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * The leader election protocol of a member, as a voter, as a candidate, and after a leadership transfer.
 *
 * <p>Invariants: at most one vote per term; no vote while a leader whose messages this member has acknowledged may hold
 * its lease, unless that leader has released it. Used by one thread at a time.
 */
final class Elections {

    private static final Logger LOG = Logger.getLogger(Elections.class);

    private final NodeConfig config;
    private final MemberId self;
    private final InMemoryLog log;
    private final Outbox outbox;
    private final ElectionTimer timer;
    private final TermState state;
    private final MemberCallbacks callbacks;
    private final Set<MemberId> grantedVotes = new HashSet<>();

    /** Quorum of the present or last election; fixed before its votes are requested. */
    private VoterQuorum quorum = new VoterQuorum(List.of(), 1, Optional.empty());

    /** Time at which this member or one that has voted for it last heard of a leader. */
    private long leaderHeardNanos = ReplicationProgress.NEVER;

    /** Votes of the last unsuccessful election that was logged. */
    private Set<MemberId> loggedVotes = Set.of();

    Elections(
            NodeConfig config,
            MemberId self,
            InMemoryLog log,
            Outbox outbox,
            ElectionTimer timer,
            TermState state,
            MemberCallbacks callbacks) {
        this.config = config;
        this.self = self;
        this.log = log;
        this.outbox = outbox;
        this.timer = timer;
        this.state = state;
        this.callbacks = callbacks;
    }

    /** Starts a pre-vote, which checks whether an election could succeed without incrementing the term. */
    void startPreVote(long now) {
        if (state.hasRole(Role.PRE_CANDIDATE) || state.hasRole(Role.CANDIDATE)) {
            logUnsuccessful();
        }
        state.setRole(Role.PRE_CANDIDATE, null);
        quorum = callbacks.quorum(now);
        grantedVotes.clear();
        requestVotes(state.term() + 1, true, false);
        countVote(self, now);
    }

    private void logUnsuccessful() {
        if (grantedVotes.equals(loggedVotes)) {
            return;
        }
        loggedVotes = Set.copyOf(grantedVotes);
        LOG.warnf(
                "No leader is elected after term %d: %d of %d votes are needed, granted by %s, not granted by %s",
                state.term(),
                quorum.size(),
                quorum.voters().size(),
                loggedVotes,
                quorum.voters().stream()
                        .filter(voter -> !grantedVotes.contains(voter))
                        .toList());
    }

    void onLeadershipTransfer(MemberId from, long leaderTerm, long now) {
        boolean isFromLeader = leaderTerm == state.term() && from.instance().equals(state.leader());
        if (isFromLeader && state.hasRole(Role.FOLLOWER) && callbacks.members().isVoter(self)) {
            quorum = callbacks.quorum(now);
            startElection(true, now);
        }
    }

    /** Returns the quorum of the last election. */
    VoterQuorum quorum() {
        return quorum;
    }

    /** Returns the time at which a voter of the last election, or this member, last heard of an earlier leader. */
    long leaderHeardNanos() {
        return leaderHeardNanos;
    }

    private void startElection(boolean isTransferred, long now) {
        state.setRole(Role.CANDIDATE, state.leader());
        grantedVotes.clear();
        leaderHeardNanos = timer.lastLeaderMessageNanos();
        state.setVote(state.term() + 1, self.toString());
        requestVotes(state.term(), false, isTransferred);
        countVote(self, now);
    }

    private void requestVotes(long requestedTerm, boolean isPreVote, boolean isTransferred) {
        VoteRequest request = VoteRequest.newBuilder()
                .setLastIndex(log.lastIndex())
                .setLastTerm(log.lastTerm())
                .setPre(isPreVote)
                .setTransferred(isTransferred)
                .build();
        for (MemberId voter : quorum.voters()) {
            if (!voter.equals(self)) {
                outbox.sendAfterSync(voter, outbox.header(requestedTerm).setVoteRequest(request));
            }
        }
    }

    void onVoteRequest(MemberId from, long requestedTerm, VoteRequest request, long now) {
        // The leader whose messages this member may have acknowledged has released its lease. A leader of an earlier
        // term lost its lease before that.
        boolean isLeaseReleased = request.getTransferred() && requestedTerm > state.term();
        if ((timer.isVoteHoldActive(now) && !isLeaseReleased) || callbacks.isLeaseValid(now)) {
            return;
        }
        if (!request.getPre() && requestedTerm > state.term()) {
            callbacks.becomeFollower(requestedTerm, null, now);
        }
        boolean isLogUpToDate = request.getLastTerm() > log.lastTerm()
                || (request.getLastTerm() == log.lastTerm() && request.getLastIndex() >= log.lastIndex());
        boolean isGranted = (isLogUpToDate || !config.isEnabled(ConsensusSafeguard.ELECTION_RESTRICTION))
                && requestedTerm >= state.term();
        if (request.getPre()) {
            isGranted = isGranted && requestedTerm > state.term();
        } else {
            isGranted = isGranted && (state.vote().isEmpty() || state.vote().equals(from.toString()));
            if (isGranted) {
                state.setVote(state.term(), from.toString());
                timer.restart(now);
            }
        }
        long replyTerm = request.getPre() && isGranted ? requestedTerm : state.term();
        VoteReply.Builder reply = VoteReply.newBuilder()
                .setGranted(isGranted)
                .setPre(request.getPre())
                .setLeaderSilenceNanos(now - timer.lastLeaderMessageNanos());
        outbox.sendAfterSync(from, outbox.header(replyTerm).setVoteReply(reply));
    }

    void onVoteReply(MemberId from, long repliedTerm, VoteReply reply, long now) {
        if (!reply.getGranted()) {
            if (repliedTerm > state.term()) {
                callbacks.becomeFollower(repliedTerm, null, now);
            }
            return;
        }
        boolean isExpected = reply.getPre()
                ? state.hasRole(Role.PRE_CANDIDATE) && repliedTerm == state.term() + 1
                : state.hasRole(Role.CANDIDATE) && repliedTerm == state.term();
        if (isExpected && quorum.voters().contains(from)) {
            leaderHeardNanos = Math.max(leaderHeardNanos, now - reply.getLeaderSilenceNanos());
            countVote(from, now);
        }
    }

    private void countVote(MemberId from, long now) {
        grantedVotes.add(from);
        if (!quorum.isReachedBy(grantedVotes)) {
            return;
        }
        if (state.hasRole(Role.PRE_CANDIDATE)) {
            startElection(false, now);
        } else {
            callbacks.becomeLeader(now);
        }
    }

    /** Operations of the member that takes part in the elections. */
    interface MemberCallbacks {

        /** Returns the members of the group. */
        Members members();

        /** Returns the quorum of an election that begins now. */
        VoterQuorum quorum(long now);

        /** Returns whether this member is the leader and holds a valid lease. */
        boolean isLeaseValid(long now);

        /** Becomes a follower in a term that is not lower than the current one; the leader is null if it is unknown. */
        void becomeFollower(long newTerm, @Nullable InstanceId newLeader, long now);

        /** Becomes the leader of the current term. */
        void becomeLeader(long now);
    }
}
