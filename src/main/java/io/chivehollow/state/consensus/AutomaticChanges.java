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
 * the number of the others that have to be running.
 *
 * <p>Invariants: a change affects one voter at most; the number of voters never falls below that of the first start; a
 * quorum of the remaining voters is responsive. Used by one thread at a time.
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
        return promotion.or(this::demotion).or(this::removalOfSilentVoter).or(this::removalOfLearner);
    }

    /** Returns the members with a learner as a voter that has caught up with the log. */
    private Optional<Members> promotion(long membershipIndex, long commitIndex) {
        return progressOf(members.learners())
                .filter(progress -> progress.isResponsive(now, config.times()) && !progress.isLeaving)
                .filter(progress -> progress.matchIndex >= membershipIndex
                        && progress.matchIndex + MAX_PROMOTION_LAG >= commitIndex)
                .findFirst()
                .map(progress -> members.withVoter(progress.member));
    }

    /** Returns the members with a surplus voter as a learner that is about to stop. */
    private Optional<Members> demotion() {
        if (!hasSurplusVoter(members, config)) {
            return Optional.empty();
        }
        return progressOf(members.voters())
                .filter(progress -> progress.isLeaving)
                .map(progress -> members.withLearner(progress.member, false))
                .filter(next -> leaderState.hasResponsiveQuorum(next, now))
                .findFirst();
    }

    /**
     * Returns whether the group can do without the voter that has been silent longest. A leader that has lost its
     * quorum then stays, so that it can remove that voter: if it stepped down, the others might be too few to elect
     * another.
     */
    boolean canSpareSilentVoter() {
        return config.policy().isAutomatic() && withoutLongestSilent().isPresent();
    }

    private Optional<Members> removalOfSilentVoter() {
        return longestSilent()
                .filter(progress -> isSilent(progress, config.times().removalTimeoutMs()))
                .flatMap(progress -> withoutLongestSilent());
    }

    private Optional<Members> withoutLongestSilent() {
        if (!hasSurplusVoter(members, config)) {
            return Optional.empty();
        }
        return longestSilent().map(this::withRemoved).filter(next -> leaderState.hasResponsiveQuorum(next, now));
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
