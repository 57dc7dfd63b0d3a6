package io.chivehollow.state.consensus;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
    private final long startNanos;

    LeaderState(
            MemberId self,
            NodeConfig config,
            InMemoryLog log,
            SnapshotFiles files,
            VoterQuorum electionQuorum,
            long now) {
        this.self = self;
        this.config = config;
        this.times = config.times();
        this.log = log;
        this.files = files;
        this.termStartIndex = log.lastIndex() + 1;
        this.electionQuorum = electionQuorum;
        this.electionMembershipIndex = log.membershipIndex();
        this.startNanos = now;
    }

    /** Adds and removes replication progress after a membership change. */
    void onMembersChanged(Members members, long now) {
        peers.values().removeIf(progress -> !members.contains(progress.member));
        for (MemberId member : members.all()) {
            if (!member.equals(self)) {
                peers.computeIfAbsent(
                        member.instance(), instance -> new ReplicationProgress(member, log.lastIndex() + 1, now));
            }
        }
    }

    /** Sets the time at which a member was last heard of before this leader was elected. */
    void onLastHeard(MemberId member, long nanos) {
        ReplicationProgress progress = find(member);
        if (progress != null) {
            progress.lastReplyNanos = nanos;
        }
    }

    @Nullable
    ReplicationProgress find(MemberId member) {
        ReplicationProgress progress = peers.get(member.instance());
        return progress != null && progress.member.equals(member) ? progress : null;
    }

    /** Returns whether the member is this leader or has replied to it within the duration of a lease. */
    boolean isResponsive(MemberId member, long now) {
        ReplicationProgress progress = find(member);
        return member.equals(self) || (progress != null && progress.isResponsive(now, times));
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
    long quorumIndex(Members members, long ownSyncedIndex) {
        return quorumMinimum(members, ownSyncedIndex, progress -> progress.matchIndex);
    }

    private long quorumMinimum(Members members, long own, ToLongFunction<ReplicationProgress> value) {
        VoterQuorum quorum =
                log.membershipIndex() == electionMembershipIndex ? electionQuorum : VoterQuorum.of(members);
        List<Long> values = new ArrayList<>();
        for (MemberId voter : quorum.voters()) {
            if (voter.equals(self)) {
                values.add(own);
                continue;
            }
            ReplicationProgress progress = find(voter);
            values.add(progress == null ? ReplicationProgress.NEVER : value.applyAsLong(progress));
        }
        values.sort(Collections.reverseOrder());
        return values.get(quorum.size() - 1);
    }

    /** Extends the lease to {@code leaseMs} after the send time of the newest messages that a quorum acknowledged. */
    void renewLease(Members members, long now) {
        long ackedNanos = quorumMinimum(members, now, progress -> progress.newestAckedSendNanos);
        boolean wasValid = isLeaseValid(now);
        leaseUntilNanos = Math.max(leaseUntilNanos, ackedNanos + TimeUnit.MILLISECONDS.toNanos(times.leaseMs()));
        if (!wasValid && isLeaseValid(now)) {
            leaseStartNanos = now;
        }
    }

    void onCommit(long commitIndex, long now) {
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

    /**
     * Returns whether no quorum has replied within the maximum election timeout, so that the leader should step down.
     */
    boolean hasLostQuorum(Members members, long now) {
        long replied = quorumMinimum(members, now, progress -> progress.lastReplyNanos);
        long limitNanos = TimeUnit.MILLISECONDS.toNanos(times.voteHoldMs() + times.maxElectionJitterMs());
        return now - Math.max(replied, startNanos) > limitNanos;
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
