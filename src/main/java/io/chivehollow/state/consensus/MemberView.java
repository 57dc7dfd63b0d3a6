package io.chivehollow.state.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.InstanceId;
import io.chivehollow.state.consensus.ReplicatedLog.MemberStatus;
import io.chivehollow.state.consensus.ReplicatedLog.Status;

/**
 * The state of a member as other threads see it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status status of the member
 * @param members instances of the group, as far as the member knows it
 * @param leaseUntilNanos end of the leader lease, or {@link Progress#NEVER}
 * @param leaseStartNanos start of the leader lease
 * @param freshAsOfNanos time as of which the applied state is known to be complete, or {@link Progress#NEVER}
 */
record MemberView(
        Status status, List<InstanceId> members, long leaseUntilNanos, long leaseStartNanos, long freshAsOfNanos) {

    static MemberView of(ConsensusNode node, NodeConfig config, long now) {
        Leadership leadership = node.leadership();
        long leaseUntilNanos = Progress.NEVER;
        List<MemberStatus> members = new ArrayList<>();
        Optional<InstanceId> admitted = Optional.empty();
        if (leadership != null) {
            leaseUntilNanos = leadership.leaseUntilNanos();
            if (!config.uses(Mechanism.LEASE) && leadership.hasCommittedInTerm()) {
                leaseUntilNanos = Long.MAX_VALUE;
            }
            Members current = node.currentMembers();
            admitted = current.admitted();
            members.add(new MemberStatus(config.self(), current.isVoter(node.self()), node.commitIndex(), 0));
            for (Progress progress : leadership.others()) {
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
        Members known = node.currentMembers();
        List<InstanceId> instances = known == null
                ? List.of()
                : known.all().stream().map(MemberId::instance).toList();
        return new MemberView(
                status,
                instances,
                leaseUntilNanos,
                leadership == null ? Progress.NEVER : leadership.leaseStartNanos(),
                node.freshness().freshAsOfNanos());
    }

    boolean holdsLease(long now) {
        return now < leaseUntilNanos;
    }

    long ageMs(long now) {
        if (holdsLease(now)) {
            return 0;
        }
        if (freshAsOfNanos == Progress.NEVER) {
            return Long.MAX_VALUE;
        }
        // Rounded up, because the value is an upper bound.
        return TimeUnit.NANOSECONDS.toMillis(now - freshAsOfNanos) + 1;
    }
}
