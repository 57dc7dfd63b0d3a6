package io.chivehollow.state.consensus;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.chivehollow.base.InstanceId;
import io.chivehollow.state.consensus.wire.Append;
import io.chivehollow.state.consensus.wire.AppendReply;
import io.chivehollow.state.consensus.wire.Entry;
import io.chivehollow.state.consensus.wire.InstallSnapshot;
import io.chivehollow.state.consensus.wire.PeerMessage;
import io.chivehollow.state.consensus.wire.Timing;
import io.chivehollow.state.log.LogEntry;
import io.chivehollow.state.log.Snapshot;
import org.jspecify.annotations.Nullable;

/**
 * The state of a leader during one term: the replication progress of the other members and the leader lease.
 *
 * <p>Used by one thread at a time.
 */
final class LeaderState {

    /** Maximum number of unacknowledged entries per member; limits the memory of connections to slow members. */
    private static final long MAX_IN_FLIGHT_ENTRIES = 16_384;

    private static final long BATCH_BYTES = 1 << 20;
    private static final long PROBE_BYTES = 64 << 10;

    /**
     * Minimum interval between two messages to a member that only carry a new commit index. Without this limit, each
     * commit of a single proposer would cost one such message per member. A later commit index is sent with the next
     * entries or at the next tick.
     */
    private static final long COMMIT_NOTICE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /**
     * Time after which an unacknowledged snapshot part is retried. Any usable connection transfers a part of 1 MB, the
     * default size, in less time.
     */
    private static final long SNAPSHOT_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final MemberId self;
    private final NodeConfig config;
    private final ConsensusTimes times;
    private final InMemoryLog log;
    private final SnapshotFiles files;
    private final long termStartIndex;
    private final Map<InstanceId, ReplicationProgress> peers = new HashMap<>();
    private final JoinNonces joinNonces = new JoinNonces();

    /** Quorum that has elected this leader; it is used until the membership changes. */
    private final VoterQuorum electionQuorum;

    private final long electionMembershipIndex;
    private long leaseUntilNanos = ReplicationProgress.NEVER;
    private long leaseStartNanos = ReplicationProgress.NEVER;
    private boolean hasCommittedInTerm;
    private long committedIndex;
    private final long startNanos;

    /** Leader before this one, or null. */
    private @Nullable MemberId heardBefore;

    /** Time since which the present membership has had its evicted voter, as far as this leader knows. */
    private long evictionNanos;

    private Optional<MemberId> evicted = Optional.empty();

    /** Time until which no anchor is set, so that an operator can change the voters. */
    private long anchorDeferredUntilNanos = ReplicationProgress.NEVER;

    LeaderState(
            MemberId self,
            NodeConfig config,
            InMemoryLog log,
            SnapshotFiles files,
            VoterQuorum electionQuorum,
            long commitIndex,
            long now) {
        this.self = self;
        this.config = config;
        this.times = config.times();
        this.log = log;
        this.files = files;
        this.termStartIndex = log.lastIndex() + 1;
        this.electionQuorum = electionQuorum;
        this.electionMembershipIndex = log.membershipIndex();
        this.committedIndex = commitIndex;
        this.startNanos = now;
    }

    /** Adds and removes replication progress after a membership change. */
    void onMembersChanged(Members members, long now) {
        if (!members.evicted().equals(evicted)) {
            evicted = members.evicted();
            evictionNanos = now;
        }
        peers.values().removeIf(progress -> !members.contains(progress.member));
        for (MemberId member : members.all()) {
            if (!member.equals(self)) {
                peers.computeIfAbsent(
                        member.instance(), instance -> new ReplicationProgress(member, log.lastIndex() + 1, now));
            }
        }
    }

    /** Sets the time at which the members that have elected this leader last heard of the leader before it. */
    void onLastHeard(MemberId member, long nanos) {
        ReplicationProgress progress = find(member);
        if (progress != null) {
            progress.lastReplyNanos = nanos;
            heardBefore = member;
        }
    }

    /** Returns whether the evicted voter may no longer return in place of another one. */
    boolean isEvictionFinal(long now) {
        return now - evictionNanos > TimeUnit.MILLISECONDS.toNanos(times.returnTimeoutMs());
    }

    void deferAnchor(long now) {
        anchorDeferredUntilNanos = now + TimeUnit.MILLISECONDS.toNanos(times.removalTimeoutMs());
    }

    boolean isAnchorDeferred(long now) {
        return now < anchorDeferredUntilNanos;
    }

    @Nullable
    ReplicationProgress find(MemberId member) {
        ReplicationProgress progress = peers.get(member.instance());
        return progress != null && progress.member.equals(member) ? progress : null;
    }

    Responsiveness responsiveness(MemberId member, long now) {
        if (member.equals(self)) {
            return Responsiveness.RESPONSIVE;
        }
        ReplicationProgress progress = find(member);
        return progress == null ? Responsiveness.SILENT : progress.responsiveness(now, times);
    }

    /** Returns whether the member is this leader or has replied to it within the duration of a lease. */
    boolean isResponsive(MemberId member, long now) {
        return responsiveness(member, now) == Responsiveness.RESPONSIVE;
    }

    boolean hasResponsiveQuorum(Members members, long now) {
        return members.voters().stream()
                        .filter(voter -> isResponsive(voter, now))
                        .count()
                >= members.quorum();
    }

    JoinNonces joinNonces() {
        return joinNonces;
    }

    Iterable<ReplicationProgress> peers() {
        return peers.values();
    }

    void onAppendReply(ReplicationProgress progress, AppendReply reply, Members members, long now) {
        progress.onReply(now);
        progress.isLeaving = reply.getLeaving();
        progress.followerTiming = reply.getTiming();
        progress.newestAckedSendNanos =
                Math.max(progress.newestAckedSendNanos, reply.getTiming().getLeaderSentNanos());
        if (reply.getSnapshotIndex() != 0) {
            progress.onSnapshotPartReply(reply.getSnapshotIndex(), reply.getSnapshotOffset());
        } else if (reply.getSuccess()) {
            progress.onAccepted(Math.min(reply.getMatchIndex(), log.lastIndex()));
        } else {
            progress.onRejected(reply.getMatchIndex());
        }
        renewLease(members, now);
    }

    /** Returns the highest index up to which a quorum of the voters has synced the log. */
    long quorumIndex(Members members, long ownSyncedIndex, long now) {
        return quorumMinimum(members, ownSyncedIndex, progress -> progress.matchIndex, now);
    }

    private long quorumMinimum(Members members, long own, ToLongFunction<ReplicationProgress> value, long now) {
        ToLongFunction<MemberId> valueOf = voter -> {
            ReplicationProgress progress = find(voter);
            if (voter.equals(self)) {
                return own;
            }
            return progress == null ? ReplicationProgress.NEVER : value.applyAsLong(progress);
        };
        if (isElectionQuorumInUse()
                && electionQuorum.voters().size() < members.voters().size()) {
            return electionQuorum.reachedValue(valueOf);
        }
        boolean isWide = isWideQuorumNeeded(members);
        long reached = (isWide ? VoterQuorum.wide(members) : VoterQuorum.majority(members)).reachedValue(valueOf);
        return VoterQuorum.ofHeard(inUse(members), isWide, voter -> isSilent(voter, now))
                .map(quorum -> Math.max(reached, quorum.reachedValue(valueOf)))
                .orElse(reached);
    }

    private Members inUse(Members members) {
        return members.inUse(log.membershipIndex() <= committedIndex);
    }

    /** Returns whether a member that lacks the last membership may still count the evicted voter of the one before. */
    private boolean isWideQuorumNeeded(Members members) {
        Members previous = log.previousMembers();
        boolean isPreviousInUse = committedIndex < log.membershipIndex()
                && previous != null
                && previous.evicted().isPresent()
                && !members.isVoter(previous.evicted().get());
        return members.evicted().isPresent() || isPreviousInUse;
    }

    /**
     * Returns whether a voter has been silent for so long that a quorum without it may be used. Other leaders may have
     * heard of it until this one was elected, but not of the leader before.
     */
    private boolean isSilent(MemberId voter, long now) {
        ReplicationProgress progress = find(voter);
        if (voter.equals(self) || progress == null) {
            return false;
        }
        long heardNanos =
                voter.equals(heardBefore) ? progress.lastReplyNanos : Math.max(progress.lastReplyNanos, startNanos);
        return now - heardNanos >= TimeUnit.MILLISECONDS.toNanos(times.narrowQuorumSilenceMs());
    }

    /** Extends the lease to {@code leaseMs} after the send time of the newest messages that a quorum acknowledged. */
    void renewLease(Members members, long now) {
        long ackedNanos = quorumMinimum(members, now, progress -> progress.newestAckedSendNanos, now);
        boolean wasValid = isLeaseValid(now);
        leaseUntilNanos = Math.max(leaseUntilNanos, ackedNanos + TimeUnit.MILLISECONDS.toNanos(times.leaseMs()));
        if (!wasValid && isLeaseValid(now)) {
            leaseStartNanos = now;
        }
    }

    void onCommit(long commitIndex, long now) {
        committedIndex = commitIndex;
        if (!hasCommittedInTerm && commitIndex >= termStartIndex) {
            hasCommittedInTerm = true;
            leaseStartNanos = now;
        }
    }

    boolean isLeaseValid(long now) {
        return hasCommittedInTerm && now < leaseUntilNanos;
    }

    boolean hasCommittedInTerm() {
        return hasCommittedInTerm;
    }

    long leaseUntilNanos() {
        return hasCommittedInTerm ? leaseUntilNanos : ReplicationProgress.NEVER;
    }

    long leaseStartNanos() {
        return leaseStartNanos;
    }

    /** Returns the newest send time of messages that a quorum has acknowledged; before any other if there is none. */
    long ackedNanos() {
        return hasCommittedInTerm
                ? leaseUntilNanos - TimeUnit.MILLISECONDS.toNanos(times.leaseMs())
                : ReplicationProgress.NEVER;
    }

    /**
     * Returns whether no quorum has replied within the maximum election timeout, so that the leader should step down.
     *
     * <p>In a group with an anchor a leader stays with half of the voters for some time: if it stepped down, they would
     * be too few to elect another, whereas it can commit with them once the others have been silent for long enough,
     * and it can admit one that returns with an empty data folder.
     */
    boolean hasLostQuorum(Members members, long now) {
        long limitNanos = TimeUnit.MILLISECONDS.toNanos(times.voteHoldMs() + times.maxElectionJitterMs());
        if (isWithin(VoterQuorum.majority(members), now, limitNanos)
                || (isElectionQuorumInUse() && isWithin(electionQuorum, now, limitNanos))) {
            return false;
        }
        VoterQuorum half = new VoterQuorum(members.voters(), members.voters().size() / 2, Optional.empty());
        long sinceLeaseNanos = now - Math.max(startNanos, leaseUntilNanos);
        return inUse(members).anchor().isEmpty()
                || sinceLeaseNanos > TimeUnit.MILLISECONDS.toNanos(times.returnTimeoutMs())
                || !isWithin(half, now, limitNanos);
    }

    /** Returns whether a quorum has replied within the time. */
    private boolean isWithin(VoterQuorum quorum, long now, long limitNanos) {
        long replied = quorum.reachedValue(voter -> {
            ReplicationProgress progress = find(voter);
            return voter.equals(self) ? now : progress == null ? ReplicationProgress.NEVER : progress.lastReplyNanos;
        });
        return now - Math.max(replied, startNanos) <= limitNanos;
    }

    private boolean isElectionQuorumInUse() {
        return log.membershipIndex() == electionMembershipIndex;
    }

    /** Adds the messages that are due: new entries, snapshots and heartbeats. */
    void addDueMessages(
            List<OutgoingMessage> out, PeerMessage header, long commitIndex, @Nullable Snapshot snapshot, long now) {
        for (ReplicationProgress progress : peers.values()) {
            if (progress.nextIndex <= log.baseIndex() && snapshot != null) {
                addSnapshot(out, header, progress, snapshot, commitIndex, now);
                continue;
            }
            boolean isHeartbeatDue = now - progress.lastSentNanos >= TimeUnit.MILLISECONDS.toNanos(times.heartbeatMs());
            if (progress.isProbing) {
                if (!progress.isAwaitingProbeReply || isHeartbeatDue) {
                    progress.isAwaitingProbeReply = true;
                    addAppend(out, header, progress, log.slice(progress.nextIndex, PROBE_BYTES), commitIndex, now);
                }
                continue;
            }
            while (progress.nextIndex <= log.lastIndex()
                    && progress.nextIndex - progress.matchIndex <= MAX_IN_FLIGHT_ENTRIES) {
                List<LogEntry> entries = log.slice(progress.nextIndex, BATCH_BYTES);
                addAppend(out, header, progress, entries, commitIndex, now);
                progress.nextIndex += entries.size();
                isHeartbeatDue = false;
            }
            if (isHeartbeatDue) {
                addAppend(out, header, progress, List.of(), commitIndex, now);
            } else if (isCommitNoticeDue(progress, commitIndex, now)) {
                progress.commitNoticeNanos = now;
                addAppend(out, header, progress, List.of(), commitIndex, now);
            }
        }
    }

    /**
     * Returns whether to send a new commit index before the next heartbeat, so that reads at the member see it soon.
     */
    private static boolean isCommitNoticeDue(ReplicationProgress progress, long commitIndex, long now) {
        return Math.min(commitIndex, progress.matchIndex) > progress.sentCommitIndex
                && now - progress.commitNoticeNanos >= COMMIT_NOTICE_NANOS;
    }

    private void addAppend(
            List<OutgoingMessage> out,
            PeerMessage header,
            ReplicationProgress progress,
            List<LogEntry> entries,
            long commitIndex,
            long now) {
        long previousIndex = Math.max(progress.nextIndex - 1, log.baseIndex());
        Append.Builder append = Append.newBuilder()
                .setPreviousIndex(previousIndex)
                .setPreviousTerm(log.termAt(previousIndex))
                .setCommitIndex(commitIndex)
                .setTiming(timing(progress, now));
        for (LogEntry entry : entries) {
            append.addEntries(toWire(entry));
        }
        progress.lastSentNanos = now;
        progress.sentCommitIndex = commitIndex;
        out.add(addressed(progress, header.toBuilder().setAppend(append)));
    }

    private void addSnapshot(
            List<OutgoingMessage> out,
            PeerMessage header,
            ReplicationProgress progress,
            Snapshot snapshot,
            long commitIndex,
            long now) {
        if (progress.snapshotStream == null
                || progress.snapshotStream.snapshot().index() < log.baseIndex()) {
            progress.startSnapshot(new SnapshotStream(snapshot, files));
        }
        if (now - progress.snapshotSentNanos < SNAPSHOT_RETRY_NANOS) {
            if (now - progress.lastSentNanos >= TimeUnit.MILLISECONDS.toNanos(times.heartbeatMs())) {
                addAppend(out, header, progress, List.of(), commitIndex, now);
            }
            return;
        }
        ByteString part = progress.snapshotStream.read(progress.snapshotOffset, config.snapshotPartBytes());
        if (part == null) {
            // A file of the snapshot has expired and was deleted; the latest snapshot does not refer to it.
            progress.startSnapshot(new SnapshotStream(snapshot, files));
            part = progress.snapshotStream.read(0, config.snapshotPartBytes());
        }
        Snapshot sent = progress.snapshotStream.snapshot();
        InstallSnapshot install = InstallSnapshot.newBuilder()
                .setIndex(sent.index())
                .setTerm(sent.term())
                .setMembership(Members.decode(sent.membership()).toWire())
                .setState(part)
                .setOffset(progress.snapshotOffset)
                .setSizeBytes(sent.state().length)
                .setTiming(timing(progress, now))
                .build();
        progress.snapshotSentNanos = now;
        progress.lastSentNanos = now;
        out.add(addressed(progress, header.toBuilder().setInstallSnapshot(install)));
    }

    private Timing timing(ReplicationProgress progress, long now) {
        Timing.Builder timing = Timing.newBuilder().setLeaderSentNanos(now);
        if (progress.followerTiming.getFollowerSession() != 0) {
            timing.setFollowerSentNanos(progress.followerTiming.getFollowerSentNanos())
                    .setFollowerSession(progress.followerTiming.getFollowerSession())
                    .setFollowerTimeValid(isLeaseValid(now));
        }
        return timing.build();
    }

    private static OutgoingMessage addressed(ReplicationProgress progress, PeerMessage.Builder message) {
        return new OutgoingMessage(
                progress.member.instance(),
                message.setToIncarnation(progress.member.incarnation()).build());
    }

    private static Entry toWire(LogEntry entry) {
        return Entry.newBuilder()
                .setIndex(entry.index())
                .setTerm(entry.term())
                .setKind(entry.kind().ordinal())
                .setData(UnsafeByteOperations.unsafeWrap(entry.data()))
                .build();
    }
}
