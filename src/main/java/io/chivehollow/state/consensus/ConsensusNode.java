package io.chivehollow.state.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import io.chivehollow.base.InstanceId;
import io.chivehollow.state.consensus.wire.Append;
import io.chivehollow.state.consensus.wire.AppendReply;
import io.chivehollow.state.consensus.wire.Entry;
import io.chivehollow.state.consensus.wire.InstallSnapshot;
import io.chivehollow.state.consensus.wire.Join;
import io.chivehollow.state.consensus.wire.JoinReply;
import io.chivehollow.state.consensus.wire.PeerMessage;
import io.chivehollow.state.consensus.wire.Timing;
import io.chivehollow.state.consensus.wire.Transfer;
import io.chivehollow.state.log.LogEntry;
import io.chivehollow.state.log.MemberState;
import io.chivehollow.state.log.Snapshot;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

import static com.google.common.base.Preconditions.checkState;

/**
 * The consensus protocol of one member, a variant of Raft, without files, threads, clocks or connections.
 *
 * <p>Inputs are messages, ticks and proposals, each with the current time of the member's clock. After the inputs, the
 * caller performs these steps in order: stores the result of {@link #takeWrites}, sends {@link
 * #takeMessagesBeforeSync}, syncs, calls {@link #onSynced}, sends {@link #takeMessagesAfterSync}, and applies {@link
 * #takeCommitted}.
 *
 * <p>Invariants: at most one vote per term; committed entries never change; a reply depends on synced writes only. Used
 * by one thread at a time.
 */
final class ConsensusNode {

    private static final Logger LOG = Logger.getLogger(ConsensusNode.class);

    private final NodeConfig config;
    private final ConsensusTimes times;
    private final MemberId self;
    private final RandomGenerator random;
    private final InMemoryLog log;
    private final SnapshotFiles files;

    /** Random id of this process. Echoed timestamps of an earlier process are ignored. */
    private final long processSession;

    private final FreshnessTracker freshnessTracker = new FreshnessTracker();
    private final Outbox outbox;
    private final ElectionTimer electionTimer;
    private final JoinProtocol joinProtocol;
    private final Elections elections;
    private final ElectionQuorums electionQuorums;
    private final TermState termState;
    private @Nullable Snapshot latestSnapshot;
    private @Nullable Snapshot unwrittenSnapshot;
    private @Nullable SnapshotReceiver snapshotReceiver;
    private @Nullable LeaderState leaderState;

    /** Members of a new group that this member tries to form while its log is empty, or null. */
    private @Nullable Members bootstrapMembers;

    /** The leader that this member has followed last, or null. */
    private @Nullable MemberId lastFollowed;

    /** Whether this member is about to stop. */
    private boolean isLeaving;

    private long firstUnwrittenIndex;
    private long syncedIndex;
    private long commitIndex;
    private long appliedIndex;

    ConsensusNode(
            NodeConfig config,
            MemberState stored,
            @Nullable Snapshot snapshot,
            List<LogEntry> entries,
            SnapshotFiles files,
            RandomGenerator random,
            long now) {
        this.config = config;
        this.times = config.times();
        this.random = random;
        this.self = new MemberId(
                config.self(),
                config.isEnabled(ConsensusSafeguard.INCARNATION)
                        ? stored.incarnation()
                        : config.self().hashCode());
        this.termState = new TermState(stored.term(), stored.vote());
        this.latestSnapshot = snapshot;
        this.log = new InMemoryLog(snapshot, entries);
        this.files = files;
        this.firstUnwrittenIndex = log.lastIndex() + 1;
        this.syncedIndex = log.lastIndex();
        this.commitIndex = log.baseIndex();
        this.appliedIndex = log.baseIndex();
        this.processSession = random.nextLong() | 1;
        this.outbox = new Outbox(self);
        this.electionTimer = new ElectionTimer(config, random, now);
        this.joinProtocol = new JoinProtocol(config, self);
        this.electionQuorums = new ElectionQuorums(config, self, random);
        this.elections = new Elections(config, self, log, outbox, electionTimer, termState, new ElectionCallbacks());
    }

    /** Role of a member. Names are written out in lower case, in the status of the member. */
    enum Role {
        LEARNER,
        FOLLOWER,
        PRE_CANDIDATE,
        CANDIDATE,
        LEADER
    }

    // Inputs.

    void tick(long now) {
        if (termState.hasRole(Role.LEADER)) {
            leaderState.renewLease(members(), now);
            if (leaderState.hasLostQuorum(members(), now)) {
                LOG.warnf(
                        "No quorum of %s has replied; stepping down in term %d",
                        members().voters(), term());
                stepDown(now);
            } else {
                changeMembersAutomatically(now);
            }
            return;
        }
        // A member that was removed during a network partition has no record of its removal. It only observes that no
        // leader sends it messages any more.
        if (!members().contains(self) || termState.leader() == null) {
            sendJoin(now);
        }
        if (electionTimer.isDue(now)) {
            electionTimer.restart(now);
            if (isVoter() || electionQuorum(now).voters().contains(self)) {
                elections.startPreVote(now);
            } else {
                // A learner without a leader joins again, because it may have been removed.
                termState.setLeader(null);
            }
        }
    }

    /** Appends commands to the log and returns the index of the first one. Requires a leader with a valid lease. */
    long propose(List<byte[]> commands, long now) {
        checkState(canServeRequests(now), "Only a leader with a valid lease may append proposals");
        long first = log.lastIndex() + 1;
        for (byte[] command : commands) {
            appendAsLeader(LogEntry.EntryKind.COMMAND, command);
        }
        return first;
    }

    /** Admits an instance and returns the log index of the membership with it. Throws if the change is refused. */
    long admit(InstanceId instance, long now) {
        return applyMembershipChange(MembershipChanges.admit(members(), instance), now);
    }

    /** Removes an instance and returns the log index of the membership without it. Throws if the change is refused. */
    long remove(InstanceId instance, long now) {
        boolean isChecked = config.isEnabled(ConsensusSafeguard.REMOVAL_CHECK);
        Members next = MembershipChanges.remove(
                members(),
                instance,
                voter -> isChecked ? leaderState.responsiveness(voter, now) : Responsiveness.RESPONSIVE);
        if (instance.equals(self.instance()) && next != members()) {
            throw MembershipChanges.leaderRemovalRefusal(transferLeadership(now));
        }
        return applyMembershipChange(next, now);
    }

    private long applyMembershipChange(Members next, long now) {
        if (!canChangeMembers()) {
            throw MembershipChanges.previousChangeUncommitted();
        }
        if (next != members()) {
            if (members().hasRoles() && !next.voters().equals(members().voters())) {
                // The sender retries the change, which is possible once this one is committed.
                appendMembership(members().withoutRoles(), now);
                leaderState.deferAnchor(now);
                throw MembershipChanges.previousChangeUncommitted();
            }
            appendMembership(next, now);
        }
        return log.membershipIndex();
    }

    /**
     * Transfers the leadership to a responsive voter that has all entries.
     *
     * <p>Returns false if there is no such voter yet. Returns true if the transfer was started, or if none is needed
     * because this member is not the leader or is the only voter.
     */
    boolean transferLeadership(long now) {
        return transferLeadership(now, progress -> !progress.isLeaving) || transferLeadership(now, progress -> true);
    }

    private boolean transferLeadership(long now, Predicate<ReplicationProgress> isEligible) {
        if (!termState.hasRole(Role.LEADER) || members().voters().size() == 1) {
            return true;
        }
        for (MemberId voter : members().voters()) {
            ReplicationProgress progress = leaderState.find(voter);
            if (progress != null
                    && progress.matchIndex == log.lastIndex()
                    && progress.isResponsive(now, times)
                    && isEligible.test(progress)) {
                stepDown(now);
                // Sent after the sync, when the caller has published that the lease has ended.
                outbox.sendAfterSync(voter, header().setTransfer(Transfer.getDefaultInstance()));
                return true;
            }
        }
        return false;
    }

    /**
     * States to the leader that this member is about to stop, and returns whether it may stop without harm to the
     * group: as a learner, or as a voter that the group needs and that may return.
     *
     * <p>A leader transfers its leadership to a voter that remains. If the group has a surplus voter, the leader makes
     * this member a learner, so that the group does not wait for it after its end; until then it still receives the
     * log.
     */
    boolean leave(long now) {
        isLeaving = true;
        if (termState.hasRole(Role.LEADER)) {
            transferLeadership(now, progress -> !progress.isLeaving);
            return members().voters().size() == 1;
        }
        boolean isGroupStable = members().learners().isEmpty()
                && members().evicted().isEmpty()
                && !AutomaticChanges.hasSurplusVoter(members(), config);
        return log.membershipIndex() <= commitIndex && (!config.policy().isAutomatic() || !isVoter() || isGroupStable);
    }

    void receive(PeerMessage message, long now) {
        long to = message.getToIncarnation();
        if (to != self.incarnation() && (to != 0 || !message.hasJoin())) {
            return;
        }
        MemberId from = new MemberId(InstanceId.of(message.getFrom()), message.getFromIncarnation());
        switch (message.getBodyCase()) {
            case JOIN -> onJoin(from, message.getJoin(), now);
            case JOIN_REPLY -> joinProtocol.onReply(from, message.getJoinReply());
            case VOTE_REQUEST -> elections.onVoteRequest(from, message.getTerm(), message.getVoteRequest(), now);
            case VOTE_REPLY -> elections.onVoteReply(from, message.getTerm(), message.getVoteReply(), now);
            case APPEND -> onAppend(from, message.getTerm(), message.getAppend(), now);
            case APPEND_REPLY -> onAppendReply(from, message.getTerm(), message.getAppendReply(), now);
            case TRANSFER -> elections.onLeadershipTransfer(from, message.getTerm(), now);
            case INSTALL_SNAPSHOT -> onInstallSnapshot(from, message.getTerm(), message.getInstallSnapshot(), now);
            default -> {
                // A message type of a newer version; the sender handles the missing reply like a lost message.
            }
        }
    }

    // Outputs.

    PendingWrites takeWrites() {
        List<LogEntry> entries =
                firstUnwrittenIndex > log.lastIndex() ? List.of() : log.entriesFrom(firstUnwrittenIndex);
        PendingWrites writes = new PendingWrites(
                termState.pollVoteChanged(), termState.term(), termState.vote(), unwrittenSnapshot, entries);
        unwrittenSnapshot = null;
        firstUnwrittenIndex = log.lastIndex() + 1;
        return writes;
    }

    /** Returns and clears the messages that do not depend on the sync of the last writes. */
    List<OutgoingMessage> takeMessagesBeforeSync(long now) {
        if (termState.hasRole(Role.LEADER)) {
            leaderState.addDueMessages(outbox.beforeSync(), header().build(), commitIndex, latestSnapshot, now);
        }
        return outbox.takeBeforeSync();
    }

    /** Records that the writes returned by {@link #takeWrites} are durable. */
    void onSynced(long now) {
        syncedIndex = log.lastIndex();
        if (termState.hasRole(Role.LEADER)) {
            advanceCommit(now);
        }
    }

    /** Returns and clears the messages that must be sent only after the last writes are synced. */
    List<OutgoingMessage> takeMessagesAfterSync() {
        return outbox.takeAfterSync();
    }

    /** Returns the committed entries that no earlier call returned. */
    List<LogEntry> takeCommitted() {
        List<LogEntry> committed = new ArrayList<>();
        while (appliedIndex < commitIndex) {
            appliedIndex++;
            committed.add(log.entry(appliedIndex));
        }
        return committed;
    }

    /** Records that all entries returned by {@link #takeCommitted} have been applied. */
    void onApplied() {
        freshnessTracker.onApplied(appliedIndex);
    }

    /**
     * Stores a snapshot of the applied state and compacts the log up to the snapshot, except for the given number of
     * entries before it. Only members that lag far behind need the compacted entries.
     */
    void onSnapshot(Snapshot taken, long retainedEntries) {
        latestSnapshot = taken;
        log.compactTo(taken.index() - retainedEntries);
    }

    // Queries.

    /** Returns whether a snapshot is partly received; its files must be retained until it is complete. */
    boolean isReceivingSnapshot() {
        return snapshotReceiver != null;
    }

    Role role() {
        return !termState.hasRole(Role.LEADER) && !isVoter() ? Role.LEARNER : termState.role();
    }

    long term() {
        return termState.term();
    }

    Optional<InstanceId> leader() {
        return Optional.ofNullable(termState.leader());
    }

    long commitIndex() {
        return commitIndex;
    }

    long appliedIndex() {
        return appliedIndex;
    }

    long logBytes() {
        return log.sizeBytes();
    }

    long termOf(long index) {
        return log.termAt(index);
    }

    byte[] membershipAt(long index) {
        return log.membersAt(index).encode();
    }

    MemberId self() {
        return self;
    }

    FreshnessTracker freshnessTracker() {
        return freshnessTracker;
    }

    @Nullable
    LeaderState leaderState() {
        return leaderState;
    }

    @Nullable
    Members latestMembers() {
        return log.members();
    }

    /** Returns whether this member may serve requests as the leader. */
    boolean canServeRequests(long now) {
        if (!termState.hasRole(Role.LEADER) || !leaderState.hasCommittedInTerm()) {
            return false;
        }
        return !config.isEnabled(ConsensusSafeguard.LEASE) || leaderState.isLeaseValid(now);
    }

    // Roles.

    private void becomeLeader(long now) {
        termState.setRole(Role.LEADER, self.instance());
        Members members = members();
        leaderState = new LeaderState(self, config, log, files, elections.quorum(), commitIndex, now);
        leaderState.onMembersChanged(members, now);
        if (lastFollowed != null) {
            leaderState.onLastHeard(lastFollowed, elections.leaderHeardNanos());
        }
        Optional<MemberId> replaced = elections.quorum().replacedByEvicted(members);
        if (replaced.isPresent()) {
            appendMembership(members.withReinstatedInPlaceOf(replaced.get()), now);
        } else if (log.members() == null) {
            appendAsLeader(LogEntry.EntryKind.MEMBERSHIP, members.encode());
        } else {
            appendAsLeader(LogEntry.EntryKind.EMPTY, new byte[0]);
        }
        bootstrapMembers = null;
    }

    private void becomeFollower(long newTerm, @Nullable InstanceId newLeader, long now) {
        if (newTerm > termState.term()) {
            termState.setVote(newTerm, "");
        }
        if (!termState.hasRole(Role.FOLLOWER)) {
            stepDown(now);
        }
        termState.setLeader(newLeader);
    }

    private void stepDown(long now) {
        if (leaderState != null) {
            electionQuorums.onHeard(leaderState.ackedNanos());
        }
        termState.setRole(Role.FOLLOWER, null);
        leaderState = null;
        electionTimer.restart(now);
    }

    // Replication.

    private void appendAsLeader(LogEntry.EntryKind kind, byte[] data) {
        log.append(new LogEntry(log.lastIndex() + 1, termState.term(), kind, data));
    }

    /** Follows the sender if it leads the current or a later term, and returns whether it does. */
    private boolean followLeader(MemberId from, long leaderTerm, long now) {
        if (leaderTerm < termState.term()) {
            return false;
        }
        checkState(
                !termState.hasRole(Role.LEADER) || leaderTerm > termState.term(),
                "Two leaders in term %s: %s and %s",
                termState.term(),
                self,
                from);
        becomeFollower(leaderTerm, from.instance(), now);
        lastFollowed = from;
        electionTimer.onLeaderMessage(now);
        return true;
    }

    private void onAppend(MemberId from, long leaderTerm, Append append, long now) {
        if (!followLeader(from, leaderTerm, now)) {
            sendAppendReply(from, false, log.lastIndex(), append.getTiming(), now);
            return;
        }
        Timing timing = append.getTiming();
        if (timing.getFollowerTimeValid() && timing.getFollowerSession() == processSession) {
            freshnessTracker.onTimestampEchoed(timing.getFollowerSentNanos(), append.getCommitIndex());
            electionQuorums.onHeard(timing.getFollowerSentNanos());
        }
        long previousIndex = append.getPreviousIndex();
        if (previousIndex > log.lastIndex()) {
            sendAppendReply(from, false, log.lastIndex(), timing, now);
            return;
        }
        if (previousIndex > commitIndex && log.termAt(previousIndex) != append.getPreviousTerm()) {
            sendAppendReply(from, false, lastIndexBeforeConflictingTerm(previousIndex), timing, now);
            return;
        }
        for (Entry entry : append.getEntriesList()) {
            storeEntry(entry);
        }
        snapshotReceiver = null;
        long matchIndex = previousIndex + append.getEntriesCount();
        commitIndex = Math.max(commitIndex, Math.min(append.getCommitIndex(), matchIndex));
        sendAppendReply(from, true, matchIndex, timing, now);
    }

    /**
     * Returns the last index before the term of the entry at the given index, or the commit index if that is higher,
     * because committed entries always match.
     */
    private long lastIndexBeforeConflictingTerm(long index) {
        long conflictingTerm = log.termAt(index);
        long candidate = index - 1;
        while (candidate > commitIndex && log.termAt(candidate) == conflictingTerm) {
            candidate--;
        }
        return candidate;
    }

    private void storeEntry(Entry entry) {
        long index = entry.getIndex();
        if (index <= commitIndex || (index <= log.lastIndex() && log.termAt(index) == entry.getTerm())) {
            return;
        }
        if (index <= log.lastIndex()) {
            log.truncateFrom(index);
            firstUnwrittenIndex = Math.min(firstUnwrittenIndex, index);
            syncedIndex = Math.min(syncedIndex, index - 1);
        }
        // The leader sends entries, so it has abandoned the snapshot transfer.
        snapshotReceiver = null;
        byte[] data = entry.getData().toByteArray();
        log.append(new LogEntry(index, entry.getTerm(), LogEntry.EntryKind.of(entry.getKind()), data));
    }

    private void sendAppendReply(MemberId to, boolean isSuccess, long matchIndex, Timing timing, long now) {
        AppendReply.Builder reply =
                newAppendReply(timing, now).setSuccess(isSuccess).setMatchIndex(matchIndex);
        outbox.sendAfterSync(to, header().setAppendReply(reply));
    }

    private AppendReply.Builder newAppendReply(Timing timing, long now) {
        return AppendReply.newBuilder()
                .setLeaving(isLeaving)
                .setTiming(Timing.newBuilder()
                        .setLeaderSentNanos(timing.getLeaderSentNanos())
                        .setFollowerSentNanos(now)
                        .setFollowerSession(processSession));
    }

    private void onAppendReply(MemberId from, long repliedTerm, AppendReply reply, long now) {
        if (repliedTerm > termState.term()) {
            becomeFollower(repliedTerm, null, now);
            return;
        }
        ReplicationProgress progress = termState.hasRole(Role.LEADER) ? leaderState.find(from) : null;
        if (repliedTerm < termState.term() || progress == null) {
            return;
        }
        leaderState.onAppendReply(progress, reply, members(), now);
        advanceCommit(now);
    }

    private void advanceCommit(long now) {
        long index = leaderState.quorumIndex(members(), syncedIndex, now);
        if (index > commitIndex
                && (log.termAt(index) == termState.term()
                        || !config.isEnabled(ConsensusSafeguard.CURRENT_TERM_COMMIT))) {
            commitIndex = index;
            leaderState.onCommit(commitIndex, now);
        }
    }

    private void onInstallSnapshot(MemberId from, long leaderTerm, InstallSnapshot install, long now) {
        if (!followLeader(from, leaderTerm, now)) {
            sendAppendReply(from, false, log.lastIndex(), install.getTiming(), now);
            return;
        }
        if (install.getIndex() > commitIndex) {
            if (snapshotReceiver == null || !snapshotReceiver.isPartOfSameSnapshot(leaderTerm, install)) {
                snapshotReceiver = new SnapshotReceiver(files, leaderTerm, install);
            }
            if (!snapshotReceiver.add(install)) {
                // Without a reply the leader retries the part after 1 s instead of immediately.
                return;
            }
            if (!snapshotReceiver.isComplete()) {
                AppendReply.Builder reply = newAppendReply(install.getTiming(), now)
                        .setSnapshotIndex(install.getIndex())
                        .setSnapshotOffset(snapshotReceiver.offset());
                outbox.sendAfterSync(from, header().setAppendReply(reply));
                return;
            }
            installSnapshot(snapshotReceiver.toSnapshot(install));
        }
        snapshotReceiver = null;
        sendAppendReply(from, true, install.getIndex(), install.getTiming(), now);
    }

    private void installSnapshot(Snapshot received) {
        log.reset(received);
        unwrittenSnapshot = received;
        latestSnapshot = received;
        commitIndex = received.index();
        appliedIndex = received.index();
        firstUnwrittenIndex = received.index() + 1;
        syncedIndex = received.index();
    }

    // Members.

    private Members members() {
        Members members = log.members();
        if (members != null) {
            return members;
        }
        return bootstrapMembers != null ? bootstrapMembers : Members.ofVoters(List.of());
    }

    /** Returns the quorum of an election that begins now; it may include this member as the evicted voter. */
    private VoterQuorum electionQuorum(long now) {
        return log.members() == null
                ? VoterQuorum.majority(members())
                : electionQuorums.quorum(
                        members(),
                        log.previousMembers(),
                        log.membershipIndex() <= commitIndex,
                        electionTimer.lastLeaderMessageNanos(),
                        now);
    }

    private boolean isVoter() {
        return members().isVoter(self);
    }

    private boolean isEmpty() {
        return log.lastIndex() == 0;
    }

    private boolean canChangeMembers() {
        return termState.hasRole(Role.LEADER)
                && leaderState.hasCommittedInTerm()
                && log.membershipIndex() <= commitIndex;
    }

    private void appendMembership(Members next, long now) {
        appendAsLeader(LogEntry.EntryKind.MEMBERSHIP, next.encode());
        leaderState.onMembersChanged(next, now);
    }

    /** Makes at most one change of the members; further ones follow when it is committed. */
    private void changeMembersAutomatically(long now) {
        if (canChangeMembers()) {
            new AutomaticChanges(config, members(), leaderState, now)
                    .next(log.membershipIndex(), commitIndex)
                    .ifPresent(next -> appendMembership(next, now));
        }
    }

    private void sendJoin(long now) {
        if (!joinProtocol.pollDue(now)) {
            return;
        }
        for (InstanceId target : joinProtocol.targets(members())) {
            outbox.sendBeforeSync(target, header().setJoin(joinProtocol.newRequest(target, isEmpty())));
        }
        Members forming = isEmpty() ? joinProtocol.tryFormGroup() : null;
        if (!Objects.equals(forming, bootstrapMembers)) {
            // Votes that were counted under the former membership must not elect a leader of the new one.
            bootstrapMembers = forming;
            stepDown(now);
        }
    }

    private void onJoin(MemberId from, Join join, long now) {
        JoinReply.Builder reply = JoinReply.newBuilder().setEmpty(isEmpty());
        members().all().forEach(member -> reply.addMembers(member.instance().value()));
        Members next = members().withLearner(from, join.getFounder());
        // A leader that appends what it can't commit would change the quorum of the next election.
        if (canChangeMembers() && leaderState.hasResponsiveQuorum(next, now)) {
            if (!joinProtocol.isAdmissible(from, members())) {
                return;
            }
            // The nonce shows that this is no delayed message of an earlier incarnation.
            if (leaderState.joinNonces().confirmOrIssue(from, join.getNonce(), random.nextLong() | 1, now)) {
                appendMembership(next, now);
                return;
            }
            reply.setNonce(leaderState.joinNonces().issued(from));
        } else if (log.members() != null) {
            reply.setNonce(electionQuorums.onJoin(from, join.getNonce(), members(), now));
        }
        outbox.sendBeforeSync(from, header().setJoinReply(reply));
    }

    private PeerMessage.Builder header() {
        return outbox.header(termState.term());
    }

    /** Connects {@link Elections} with the rest of the member. */
    private final class ElectionCallbacks implements Elections.MemberCallbacks {

        @Override
        public Members members() {
            return ConsensusNode.this.members();
        }

        @Override
        public VoterQuorum quorum(long now) {
            return electionQuorum(now);
        }

        @Override
        public boolean isLeaseValid(long now) {
            return leaderState != null && leaderState.isLeaseValid(now);
        }

        @Override
        public void becomeFollower(long newTerm, @Nullable InstanceId newLeader, long now) {
            ConsensusNode.this.becomeFollower(newTerm, newLeader, now);
        }

        @Override
        public void becomeLeader(long now) {
            ConsensusNode.this.becomeLeader(now);
        }
    }
}
