package io.chivehollow.state.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.InstanceId;
import io.chivehollow.state.consensus.ReplicatedLog.MemberStatus;
import io.chivehollow.state.consensus.ReplicatedLog.Status;
import org.jspecify.annotations.Nullable;

/**
 * A view of a member's state for other threads.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status status of the member
 * @param group the group as of the member's last log entry, or null if it has no membership
 * @param leaseUntilNanos end of the leader lease, or {@link ReplicationProgress#NEVER}
 * @param leaseStartNanos start of the leader lease, or {@link ReplicationProgress#NEVER}
 * @param freshAsOfNanos time up to which the applied state contains all commits, or {@link ReplicationProgress#NEVER}
 */
record MemberView(
        Status status, @Nullable Members group, long leaseUntilNanos, long leaseStartNanos, long freshAsOfNanos) {

    static MemberView of(ConsensusNode node, NodeConfig config, long now) {
        LeaderState leaderState = node.leaderState();
        long leaseUntilNanos = ReplicationProgress.NEVER;
        List<MemberStatus> members = new ArrayList<>();
        Optional<InstanceId> admitted = Optional.empty();
        if (leaderState != null) {
            leaseUntilNanos = leaderState.leaseUntilNanos();
            if (!config.isEnabled(ConsensusSafeguard.LEASE) && leaderState.hasCommittedInTerm()) {
                leaseUntilNanos = Long.MAX_VALUE;
            }
            Members current = node.latestMembers();
            admitted = current.admitted();
            members.add(new MemberStatus(config.self(), current.isVoter(node.self()), node.commitIndex(), 0));
            for (ReplicationProgress progress : leaderState.peers()) {
                members.add(new MemberStatus(
                        progress.member.instance(),
                        current.isVoter(progress.member),
                        progress.matchIndex,
                        TimeUnit.NANOSECONDS.toMillis(now - progress.lastReplyNanos)));
            }
        }
        Status status = new Status(
                node.role().name().toLowerCase(Locale.ROOT),
                node.term(),
                node.leader(),
                node.commitIndex(),
                node.appliedIndex(),
                node.logBytes(),
                List.copyOf(members),
                admitted);
        return new MemberView(
                status,
                node.latestMembers(),
                leaseUntilNanos,
                leaderState == null ? ReplicationProgress.NEVER : leaderState.leaseStartNanos(),
                node.freshnessTracker().freshAsOfNanos());
    }

    /** Returns the instances of the group; empty if the member has no membership. */
    List<InstanceId> members() {
        return group == null
                ? List.of()
                : group.all().stream().map(MemberId::instance).toList();
    }

    boolean holdsLease(long now) {
        return now < leaseUntilNanos;
    }

    long maxStalenessMs(long now) {
        if (holdsLease(now)) {
            return 0;
        }
        if (freshAsOfNanos == ReplicationProgress.NEVER) {
            return Long.MAX_VALUE;
        }
        // Rounded up, because the value is an upper bound.
        return TimeUnit.NANOSECONDS.toMillis(now - freshAsOfNanos) + 1;
    }
}
