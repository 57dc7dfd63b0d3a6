package io.chivehollow.state.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
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
 * The protocol of one member, without files, threads, clocks or connections.
 *
 * <p>Inputs are messages, ticks and proposals, each with the current time of the member's clock. After inputs the owner
 * takes {@link #takeWrites}, stores them, sends {@link #takeMessages}, syncs, calls {@link #onSynced}, sends
 * {@link #takeAnswers} and applies {@link #takeCommitted}, in this order.
 *
 * <p>Invariants: at most one vote per term; committed entries never change; an answer depends on synced writes only.
 * Used by one thread at a time.
 */
final class ConsensusNode {

    private static final Logger LOG = Logger.getLogger(ConsensusNode.class);

    /** A learner votes once it lacks fewer entries than this; it receives them within one message. */
    private static final long PROMOTION_LAG = 64;

    private final NodeConfig config;
    private final ConsensusTimes times;
    private final MemberId self;
    private final RandomGenerator random;
    private final EntryLog log;
    private final SnapshotFiles files;
    private final long session;
    private final Freshness freshness = new Freshness();
    private final Outbox outbox;
    private final ElectionTimer electionTimer;
    private final Joining joining;
    private final Elections elections;
    private final TermState state;
    private @Nullable Snapshot snapshot;
    private @Nullable Snapshot installed;
    private @Nullable SnapshotReceipt receipt;
    private @Nullable Leadership leadership;
    private @Nullable Members formingMembers;
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
                config.uses(Mechanism.INCARNATION)
                        ? stored.incarnation()
                        : config.self().hashCode());
        this.state = new TermState(stored.term(), stored.vote());
        this.snapshot = snapshot;
        this.log = new EntryLog(snapshot, entries);
        this.files = files;
        this.firstUnwrittenIndex = log.lastIndex() + 1;
        this.syncedIndex = log.lastIndex();
        this.commitIndex = log.baseIndex();
        this.appliedIndex = log.baseIndex();
        this.session = random.nextLong() | 1;
        this.outbox = new Outbox(self);
        this.electionTimer = new ElectionTimer(config, random, now);
        this.joining = new Joining(config, self);
        this.elections = new Elections(config, self, log, outbox, electionTimer, state, new ElectionOwner());
    }

    /** What a member currently does. */
    enum Role {
        LEARNER,
        FOLLOWER,
        PRE_CANDIDATE,
        CANDIDATE,
        LEADER
    }

    // Inputs.

    void tick(long now) {
        if (state.is(Role.LEADER)) {
            leadership.renewLease(members(), now);
            if (leadership.hasLostQuorum(members(), now)) {
                stepDown(now);
            } else {
                promoteLearner(now);
                removeSilentVoter(now);
            }
            return;
        }
        // A member that was removed while it was cut off does not know that; it only hears from no leader any more.
        if (!isMember() || state.leader() == null) {
            sendJoin(now);
        }
        if (electionTimer.isDue(now)) {
            electionTimer.restart(now);
            if (isVoter()) {
                elections.startPreVote(now);
            }
        }
    }

    /** Appends commands to the log; only for a leader inside its lease. Returns the index of the first one. */
    long propose(List<byte[]> commands, long now) {
        checkState(canServe(now), "Only a leader inside its lease takes proposals");
        long first = log.lastIndex() + 1;
        for (byte[] command : commands) {
            appendOwn(LogEntry.Kind.COMMAND, command);
        }
        return first;
    }

    /** Lets an instance join; returns the index of the membership that says so. Throws if it is refused. */
    long admit(InstanceId instance, long now) {
        return change(MemberChanges.admit(members(), instance), now);
    }

    /** Removes an instance; returns the index of the membership without it. Throws if it is refused. */
    long remove(InstanceId instance, long now) {
        Members next = MemberChanges.remove(
                members(), instance, voter -> !config.uses(Mechanism.REMOVAL_CHECK) || isAlive(voter, now));
        if (instance.equals(self.instance()) && next != members()) {
            throw MemberChanges.leaderRemoval(transferLeadership(now));
        }
        return change(next, now);
    }

    private long change(Members next, long now) {
        if (!canChangeMembers()) {
            throw MemberChanges.uncommitted();
        }
        if (next != members()) {
            changeMembers(next, now);
        }
        return log.membersIndex();
    }

    private boolean isAlive(MemberId member, long now) {
        Progress progress = leadership.find(member);
        return member.equals(self) || (progress != null && progress.isAlive(now, times));
    }

    /**
     * Gives the leadership to a voter that has all entries; returns whether nothing is left to do.
     *
     * <p>Returns false if no voter has all entries yet.
     */
    boolean transferLeadership(long now) {
        if (!state.is(Role.LEADER) || members().voters().size() == 1) {
            return true;
        }
        for (MemberId voter : members().voters()) {
            Progress progress = leadership.find(voter);
            if (progress != null && progress.matchIndex == log.lastIndex() && progress.isAlive(now, times)) {
                stepDown(now);
                // Sent with the answers, that is after the owner has published that the lease is gone.
                outbox.sendSynced(voter, header().setTransfer(Transfer.getDefaultInstance()));
                return true;
            }
        }
        return false;
    }

    void receive(PeerMessage message, long now) {
        long to = message.getToIncarnation();
        if (to != self.incarnation() && (to != 0 || !message.hasJoin())) {
            return;
        }
        MemberId from = new MemberId(InstanceId.of(message.getFrom()), message.getFromIncarnation());
        switch (message.getBodyCase()) {
            case JOIN -> onJoin(from, message.getJoin(), now);
            case JOIN_REPLY -> joining.onReply(from, message.getJoinReply());
            case VOTE_REQUEST -> elections.onVoteRequest(from, message.getTerm(), message.getVoteRequest(), now);
            case VOTE_REPLY -> elections.onVoteReply(from, message.getTerm(), message.getVoteReply(), now);
            case APPEND -> onAppend(from, message.getTerm(), message.getAppend(), now);
            case APPEND_REPLY -> onAppendReply(from, message.getTerm(), message.getAppendReply(), now);
            case TRANSFER -> elections.onTransfer(from, message.getTerm(), now);
            case INSTALL_SNAPSHOT -> onInstall(from, message.getTerm(), message.getInstallSnapshot(), now);
            default -> {
                // A message of a newer version; the sender treats it as lost.
            }
        }
    }

    // Outputs.

    Writes takeWrites() {
        List<LogEntry> entries = firstUnwrittenIndex > log.lastIndex() ? List.of() : log.from(firstUnwrittenIndex);
        Writes writes = new Writes(state.takeVoteChange(), state.term(), state.vote(), installed, entries);
        installed = null;
        firstUnwrittenIndex = log.lastIndex() + 1;
        return writes;
    }

    /** Returns the messages that do not depend on the sync of the last writes. */
    List<Outgoing> takeMessages(long now) {
        if (state.is(Role.LEADER)) {
            leadership.addMessages(outbox.messages(), header().build(), commitIndex, snapshot, now);
        }
        return outbox.takeMessages();
    }

    /** Records that all writes that were taken are durable. */
    void onSynced(long now) {
        syncedIndex = log.lastIndex();
        if (state.is(Role.LEADER)) {
            advanceCommit(now);
        }
    }

    /** Returns the messages that depend on the last writes. */
    List<Outgoing> takeAnswers() {
        return outbox.takeAnswers();
    }

    /** Returns the committed entries that were not returned before. */
    List<LogEntry> takeCommitted() {
        List<LogEntry> committed = new ArrayList<>();
        while (appliedIndex < commitIndex) {
            appliedIndex++;
            committed.add(log.entry(appliedIndex));
        }
        return committed;
    }

    /** Records that everything that was committed has been applied. */
    void onApplied() {
        freshness.onApplied(appliedIndex);
    }

    /** Takes a snapshot that was made from the applied entries, and forgets entries that few members still need. */
    void onSnapshot(Snapshot taken, long keptEntries) {
        snapshot = taken;
        log.compactTo(taken.index() - keptEntries);
    }

    // Views.

    /** Returns whether parts of a snapshot have arrived, whose files must be kept until the rest arrives. */
    boolean isReceivingSnapshot() {
        return receipt != null;
    }

    Role role() {
        return !state.is(Role.LEADER) && !isVoter() ? Role.LEARNER : state.role();
    }

    long term() {
        return state.term();
    }

    Optional<InstanceId> leader() {
        return Optional.ofNullable(state.leader());
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

    Freshness freshness() {
        return freshness;
    }

    @Nullable
    Leadership leadership() {
        return leadership;
    }

    @Nullable
    Members currentMembers() {
        return log.members();
    }

    /** Returns whether this member may answer requests as the leader. */
    boolean canServe(long now) {
        if (!state.is(Role.LEADER) || !leadership.hasCommittedInTerm()) {
            return false;
        }
        return !config.uses(Mechanism.LEASE) || leadership.isLeaseValid(now);
    }

    // Roles.

    private void becomeLeader(long now) {
        state.setRole(Role.LEADER, self.instance());
        Members members = members();
        leadership = new Leadership(self, config, log, files, log.lastIndex() + 1, now);
        leadership.onMembers(members, now);
        if (log.members() == null) {
            appendOwn(LogEntry.Kind.MEMBERSHIP, members.encode());
        } else {
            appendOwn(LogEntry.Kind.EMPTY, new byte[0]);
        }
        formingMembers = null;
    }

    private void becomeFollower(long newTerm, @Nullable InstanceId newLeader, long now) {
        if (newTerm > state.term()) {
            state.setVote(newTerm, "");
        }
        if (!state.is(Role.FOLLOWER)) {
            stepDown(now);
        }
        state.setLeader(newLeader);
    }

    private void stepDown(long now) {
        state.setRole(Role.FOLLOWER, null);
        leadership = null;
        electionTimer.restart(now);
    }

    // Replication.

    private void appendOwn(LogEntry.Kind kind, byte[] data) {
        log.append(new LogEntry(log.lastIndex() + 1, state.term(), kind, data));
    }

    /** Returns whether the sender leads this or a later term; follows it then. */
    private boolean follow(MemberId from, long leaderTerm, long now) {
        if (leaderTerm < state.term()) {
            return false;
        }
        checkState(
                !state.is(Role.LEADER) || leaderTerm > state.term(),
                "Two leaders in term %s: %s and %s",
                state.term(),
                self,
                from);
        becomeFollower(leaderTerm, from.instance(), now);
        electionTimer.onLeaderHeard(now);
        return true;
    }

    private void onAppend(MemberId from, long leaderTerm, Append append, long now) {
        if (!follow(from, leaderTerm, now)) {
            answerAppend(from, false, log.lastIndex(), append.getTiming(), now);
            return;
        }
        Timing timing = append.getTiming();
        if (timing.getFollowerTimeValid() && timing.getFollowerSession() == session) {
            freshness.onEcho(timing.getFollowerSentNanos(), append.getCommitIndex());
        }
        long previousIndex = append.getPreviousIndex();
        if (previousIndex > log.lastIndex()) {
            answerAppend(from, false, log.lastIndex(), timing, now);
            return;
        }
        if (previousIndex > commitIndex && log.termAt(previousIndex) != append.getPreviousTerm()) {
            answerAppend(from, false, endOfEarlierTerm(previousIndex), timing, now);
            return;
        }
        for (Entry entry : append.getEntriesList()) {
            store(entry);
        }
        receipt = null;
        long matchIndex = previousIndex + append.getEntriesCount();
        commitIndex = Math.max(commitIndex, Math.min(append.getCommitIndex(), matchIndex));
        answerAppend(from, true, matchIndex, timing, now);
    }

    /** Returns the last index before the term of the entry at the index; committed entries are known to match. */
    private long endOfEarlierTerm(long index) {
        long wrongTerm = log.termAt(index);
        long candidate = index - 1;
        while (candidate > commitIndex && log.termAt(candidate) == wrongTerm) {
            candidate--;
        }
        return candidate;
    }

    private void store(Entry entry) {
        long index = entry.getIndex();
        if (index <= commitIndex || (index <= log.lastIndex() && log.termAt(index) == entry.getTerm())) {
            return;
        }
        if (index <= log.lastIndex()) {
            log.truncateFrom(index);
            firstUnwrittenIndex = Math.min(firstUnwrittenIndex, index);
            syncedIndex = Math.min(syncedIndex, index - 1);
        }
        // The leader goes on with entries, so it has given up sending a snapshot.
        receipt = null;
        byte[] data = entry.getData().toByteArray();
        log.append(new LogEntry(index, entry.getTerm(), LogEntry.Kind.of(entry.getKind()), data));
    }

    private void answerAppend(MemberId to, boolean isSuccess, long matchIndex, Timing timing, long now) {
        AppendReply.Builder reply =
                appendReply(timing, now).setSuccess(isSuccess).setMatchIndex(matchIndex);
        outbox.sendSynced(to, header().setAppendReply(reply));
    }

    private AppendReply.Builder appendReply(Timing timing, long now) {
        return AppendReply.newBuilder()
                .setTiming(Timing.newBuilder()
                        .setLeaderSentNanos(timing.getLeaderSentNanos())
                        .setFollowerSentNanos(now)
                        .setFollowerSession(session));
    }

    private void onAppendReply(MemberId from, long repliedTerm, AppendReply reply, long now) {
        if (repliedTerm > state.term()) {
            becomeFollower(repliedTerm, null, now);
            return;
        }
        Progress progress = state.is(Role.LEADER) ? leadership.find(from) : null;
        if (repliedTerm < state.term() || progress == null) {
            return;
        }
        leadership.onReply(progress, reply, members(), now);
        advanceCommit(now);
    }

    private void advanceCommit(long now) {
        long index = leadership.quorumIndex(members(), syncedIndex);
        if (index > commitIndex && (log.termAt(index) == state.term() || !config.uses(Mechanism.OWN_TERM_COMMIT))) {
            commitIndex = index;
            leadership.onCommit(commitIndex, now);
        }
    }

    private void onInstall(MemberId from, long leaderTerm, InstallSnapshot install, long now) {
        if (!follow(from, leaderTerm, now)) {
            answerAppend(from, false, log.lastIndex(), install.getTiming(), now);
            return;
        }
        if (install.getIndex() > commitIndex) {
            if (receipt == null || !receipt.isFor(leaderTerm, install)) {
                receipt = new SnapshotReceipt(files, leaderTerm, install);
            }
            if (!receipt.add(install)) {
                // Without an answer the leader sends the part again after a second, not at once.
                return;
            }
            if (!receipt.isComplete()) {
                AppendReply.Builder reply = appendReply(install.getTiming(), now)
                        .setSnapshotIndex(install.getIndex())
                        .setSnapshotOffset(receipt.offset());
                outbox.sendSynced(from, header().setAppendReply(reply));
                return;
            }
            install(receipt.toSnapshot(install));
        }
        receipt = null;
        answerAppend(from, true, install.getIndex(), install.getTiming(), now);
    }

    private void install(Snapshot received) {
        log.reset(received);
        installed = received;
        snapshot = received;
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
        return formingMembers != null ? formingMembers : Members.ofVoters(List.of());
    }

    private boolean isMember() {
        return members().contains(self);
    }

    private boolean isVoter() {
        return members().isVoter(self);
    }

    private boolean isEmpty() {
        return log.lastIndex() == 0;
    }

    private boolean canChangeMembers() {
        return state.is(Role.LEADER) && leadership.hasCommittedInTerm() && log.membersIndex() <= commitIndex;
    }

    private void changeMembers(Members next, long now) {
        appendOwn(LogEntry.Kind.MEMBERSHIP, next.encode());
        leadership.onMembers(next, now);
    }

    private void promoteLearner(long now) {
        if (!canChangeMembers()) {
            return;
        }
        for (MemberId learner : members().learners()) {
            Progress progress = leadership.find(learner);
            if (progress.isAlive(now, times)
                    && progress.matchIndex >= log.membersIndex()
                    && progress.matchIndex + PROMOTION_LAG >= commitIndex) {
                changeMembers(members().withVoter(learner), now);
                return;
            }
        }
    }

    /** Removes one voter that has been silent for long, so that its successor makes the group whole again. */
    private void removeSilentVoter(long now) {
        if (!canChangeMembers()
                || members().voters().size() <= config.initialMembers().size()) {
            return;
        }
        for (MemberId voter : members().voters()) {
            Progress progress = leadership.find(voter);
            boolean isSilent = progress != null
                    && now - progress.lastReplyNanos > config.policy().removalSilenceNanos();
            if (isSilent) {
                Members next = members().withRemoved(voter.instance());
                long alive = next.voters().stream()
                        .filter(other -> isAlive(other, now))
                        .count();
                if (alive >= next.quorum()) {
                    LOG.infof("Member %s has been silent for long and is removed from the group", voter.instance());
                    changeMembers(next, now);
                    return;
                }
            }
        }
    }

    private void sendJoin(long now) {
        if (!joining.takeTurn(now)) {
            return;
        }
        for (InstanceId target : joining.targets(members())) {
            outbox.sendNow(target, header().setJoin(joining.request(isEmpty())));
        }
        Members forming = isEmpty() ? joining.formGroup() : null;
        if (!Objects.equals(forming, formingMembers)) {
            // Votes that were counted for other members must not elect a leader of these.
            formingMembers = forming;
            stepDown(now);
        }
    }

    private void onJoin(MemberId from, Join join, long now) {
        JoinReply.Builder reply = JoinReply.newBuilder().setEmpty(isEmpty());
        members().all().forEach(member -> reply.addMembers(member.instance().value()));
        if (canChangeMembers()) {
            if (!joining.isAdmissible(from, members())) {
                return;
            }
            // A delayed message of an earlier incarnation must not displace the present one.
            if (leadership.confirmsNonce(from, join.getNonce(), random.nextLong() | 1)) {
                changeMembers(members().withLearner(from), now);
                return;
            }
            reply.setNonce(leadership.nonceOf(from));
        }
        outbox.sendNow(from, header().setJoinReply(reply));
    }

    private PeerMessage.Builder header() {
        return outbox.header(state.term());
    }

    /** Connects the elections with the rest of the member. */
    private final class ElectionOwner implements Elections.Owner {

        @Override
        public Members members() {
            return ConsensusNode.this.members();
        }

        @Override
        public boolean isLeaseValid(long now) {
            return leadership != null && leadership.isLeaseValid(now);
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
