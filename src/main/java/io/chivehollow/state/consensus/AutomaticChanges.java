package io.chivehollow.state.consensus;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Computes the membership changes that a leader makes without an operator.
 *
 * <p>A voter is surplus if the group has more voters than when the system was first started, so that the replacement of
 * one of them already votes. Surplus voters that stop or do not reply are removed, because each one that is gone raises
 * the number of the others that have to be running. One that was removed although it was only cut off for a while
 * becomes a voter again when another one stops.
 *
 * <p>Invariants: a change affects one voter at most; the number of voters never falls below that of the first start; a
 * quorum of the present voters and one of the next voters are responsive. Used by one thread at a time.
 */
final class AutomaticChanges {

    /**
     * Maximum number of entries that a learner may lack when it becomes a voter. It receives that many entries in one
     * message.
     */
    private static final long MAX_PROMOTION_LAG = 64;

    /** Longer than any pause in the transfer of a snapshot. */
    private static final int SILENT_LEARNER_TIMEOUT_MS = 10_000;

    private final NodeConfig config;
    private final Members members;
    private final LeaderState leaderState;
    private final long now;

    AutomaticChanges(NodeConfig config, Members members, LeaderState leaderState, long now) {
        this.config = config;
        this.members = members;
        this.leaderState = leaderState;
        this.now = now;
    }

    /** Returns whether the group has more voters than when the system was first started. */
    static boolean hasSurplusVoter(Members members, NodeConfig config) {
        int minVoters = members.minVoters() > 0
                ? members.minVoters()
                : config.initialMembers().size();
        return members.voters().size() > minVoters;
    }

    /**
     * Returns the members after the next change, or empty if none is due.
     *
     * @param membershipIndex log index of the present members, which must be committed
     * @param commitIndex last committed index
     */
    Optional<Members> next(long membershipIndex, long commitIndex) {
        Optional<Members> promotion = promotion(membershipIndex, commitIndex);
        if (!config.policy().isAutomatic()) {
            return promotion;
        }
        Optional<Members> change =
                promotion.or(this::demotion).or(this::reinstatement).or(this::removalOfSilentVoter);
        return change.isPresent()
                ? change.filter(next -> canChangeVoters()).map(this::inSteps)
                : removalOfLearner().or(this::withoutOldRoles).or(this::anchoring);
    }

    /**
     * Returns whether a majority of the present voters can store a membership. Half of them could replace one of the
     * others, but cannot tell which of them will return.
     */
    private boolean canChangeVoters() {
        return leaderState.hasResponsiveQuorum(members, now);
    }

    /** Returns the next members, or first the present ones without the roles that depend on the present voters. */
    private Members inSteps(Members next) {
        boolean isReinstatement = members.evicted().filter(next::isVoter).isPresent();
        return members.hasRoles() && !isReinstatement ? members.withoutRoles() : next;
    }

    /** Returns the members with a learner as a voter that has caught up with the log. */
    private Optional<Members> promotion(long membershipIndex, long commitIndex) {
        return progressOf(members.learners())
                .filter(progress -> progress.isResponsive(now, config.times()) && !progress.isLeaving)
                .filter(progress -> progress.matchIndex >= membershipIndex
                        && progress.matchIndex + MAX_PROMOTION_LAG >= commitIndex)
                .findFirst()
                .map(progress -> config.policy().isAutomatic()
                        ? members.withNewAnchor(progress.member)
                        : members.withVoter(progress.member));
    }

    /**
     * Returns the members with a surplus voter as a learner that is about to stop. The one that has joined last rather
     * returns than the one that it replaces, so it remains a voter if another one does not reply.
     */
    private Optional<Members> demotion() {
        if (!hasSurplusVoter(members, config)) {
            return Optional.empty();
        }
        MemberId newest = members.voters().get(members.voters().size() - 1);
        return progressOf(members.voters())
                .filter(progress -> progress.isLeaving)
                .filter(progress -> !progress.member.equals(newest) || areAllVotersResponsive())
                .map(progress -> members.withDemoted(progress.member))
                .filter(next -> leaderState.hasResponsiveQuorum(next, now))
                .findFirst();
    }

    private boolean areAllVotersResponsive() {
        return members.voters().stream().allMatch(voter -> leaderState.isResponsive(voter, now));
    }

    /** Returns the members with the evicted voter as a voter again, if another one is about to stop. */
    private Optional<Members> reinstatement() {
        boolean isVoterLeaving = progressOf(members.voters()).anyMatch(progress -> progress.isLeaving);
        return members.evicted()
                .filter(voter -> isVoterLeaving && members.isEvictedSilent() && !members.contains(voter))
                .map(voter -> members.withReinstated());
    }

    private Optional<Members> removalOfSilentVoter() {
        if (!hasSurplusVoter(members, config)) {
            return Optional.empty();
        }
        return longestSilent()
                .filter(progress -> isSilent(progress, config.times().removalTimeoutMs()))
                .map(progress -> members.withEvicted(progress.member))
                .filter(next -> leaderState.hasResponsiveQuorum(next, now));
    }

    private Optional<ReplicationProgress> longestSilent() {
        return progressOf(members.voters()).min(Comparator.comparingLong(progress -> progress.lastReplyNanos));
    }

    /** Returns the members without a learner that has stopped, or that has been silent for so long that it is lost. */
    private Optional<Members> removalOfLearner() {
        return progressOf(members.learners())
                .filter(progress -> isSilent(
                        progress, progress.isLeaving ? config.times().voteHoldMs() : SILENT_LEARNER_TIMEOUT_MS))
                .findFirst()
                .map(this::withRemoved);
    }

    /** Returns the members without an evicted voter that will not return, or without an anchor that does not reply. */
    private Optional<Members> withoutOldRoles() {
        boolean isAnchorSilent = progressOf(members.anchor().stream().toList())
                .anyMatch(progress -> isSilent(progress, config.times().removalTimeoutMs()));
        boolean isEvictionFinal = members.evicted().isPresent() && leaderState.isEvictionFinal(now);
        return Optional.of(members.withoutRoles())
                .filter(next -> (isAnchorSilent || isEvictionFinal) && canChangeVoters());
    }

    /**
     * Returns the members with the voter as the anchor that has joined last, since it is not the one that is replaced.
     * It is not the leader, so that with one of the two the others can go on without those that are lost.
     */
    private Optional<Members> anchoring() {
        if (!members.isEven() || members.isSettled() || leaderState.isAnchorDeferred(now) || !canChangeVoters()) {
            return Optional.empty();
        }
        if (members.anchor().isPresent()) {
            return members.anchor().map(members::withAnchor);
        }
        return progressOf(members.voters())
                .filter(progress -> progress.isResponsive(now, config.times()))
                .reduce((earlier, later) -> later)
                .map(progress -> members.withAnchor(progress.member));
    }

    private Members withRemoved(ReplicationProgress progress) {
        return members.withRemoved(progress.member.instance());
    }

    private boolean isSilent(ReplicationProgress progress, int timeoutMs) {
        return now - progress.lastReplyNanos > TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    }

    /** Returns the progress of those members that are not the leader itself. */
    private Stream<ReplicationProgress> progressOf(List<MemberId> some) {
        return some.stream().map(leaderState::find).filter(Objects::nonNull);
    }
}
