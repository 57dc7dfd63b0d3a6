package io.chivehollow.state.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;
import java.util.random.RandomGenerator;

import com.google.protobuf.InvalidProtocolBufferException;
import io.chivehollow.base.Clock;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.InstanceId;
import io.chivehollow.state.StateException;
import io.chivehollow.state.consensus.ReplicatedLog.AppliedEntry;
import io.chivehollow.state.consensus.wire.Append;
import io.chivehollow.state.consensus.wire.PeerMessage;
import io.chivehollow.state.log.LogEntry;
import io.chivehollow.state.log.LogStore;
import io.chivehollow.state.log.Snapshot;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Connects the protocol of a member with its log store, its state machine and its transport.
 *
 * <p>Inputs change only memory until {@link #flush}, which performs one synced write for all of them. Every exception
 * that a method throws is fatal for the member. Used by one thread at a time, except {@link #view}.
 */
final class MemberDriver {

    /** Maximum size of a command. Larger commands would delay the heartbeats behind them on a slow connection. */
    static final int MAX_COMMAND_BYTES = 1 << 20;

    /** Maximum number of proposals without an outcome. With commands of 1 KB they take a few MB of memory. */
    static final int MAX_PENDING_OUTCOMES = 8_192;

    /**
     * The snapshot interval divided by this number gives the entries before a snapshot that are retained in memory, for
     * members that lag slightly.
     */
    private static final int RETAINED_ENTRIES_DIVISOR = 10;

    /** Disk space reserved for entries of the protocol itself: membership changes and the first entry of a term. */
    private static final long RESERVED_PROTOCOL_BYTES = 64 << 10;

    /**
     * Size of unwritten entries above which they are flushed before further messages, to limit the size of a record.
     */
    private static final long FLUSH_THRESHOLD_BYTES = 4 << 20;

    /**
     * Size of the entries in memory above which a snapshot is taken, even before {@code snapshotEntries} is reached.
     */
    private static final long MAX_IN_MEMORY_LOG_BYTES = 16 << 20;

    private static final int ENTRY_OVERHEAD_BYTES = 64;

    private static final Logger LOG = Logger.getLogger(MemberDriver.class);

    private final NodeConfig config;
    private final ConsensusNode node;
    private final LogStore store;
    private final StateMachine stateMachine;
    private final SnapshotFiles files;
    private final PeerTransport transport;
    private final Clock clock;
    private final int snapshotEntries;
    private final TreeMap<Long, PendingOutcome> pendingOutcomes = new TreeMap<>();
    private final List<Runnable> completions = new ArrayList<>();
    private long unwrittenBytes;
    private long nextSnapshotIndex;
    private MemberObserver observer = MemberObserver.none();
    private boolean hasStateMachineSpace = true;
    private volatile MemberView view;

    MemberDriver(
            NodeConfig config,
            LogStore.RecoveredLog opened,
            StateMachine stateMachine,
            PeerTransport transport,
            Clock clock,
            RandomGenerator random,
            int snapshotEntries) {
        this.config = config;
        this.store = opened.store();
        this.stateMachine = stateMachine;
        this.transport = transport;
        this.clock = clock;
        this.snapshotEntries = snapshotEntries;
        Snapshot snapshot = store.snapshot();
        this.files = stateMachine.open(store.files());
        if (snapshot != null) {
            stateMachine.restore(snapshot.state());
        }
        // Files that are newer than the snapshot are recreated from the log.
        files.retain(snapshot == null ? new byte[0] : snapshot.state());
        this.node = new ConsensusNode(
                config, store.memberState(), snapshot, opened.entries(), files, random, clock.nanoTime());
        this.nextSnapshotIndex = node.appliedIndex() + snapshotEntries;
        this.view = MemberView.of(node, config, clock.nanoTime());
    }

    /** Sets the observer of syncs and proposals; must be called before the first input. */
    void setObserver(MemberObserver newObserver) {
        observer = newObserver;
    }

    /** Returns the state as of the last flush. May be called by any thread. */
    MemberView view() {
        return view;
    }

    /** Returns whether the instance is a voter with the given incarnation, according to the last log entry. */
    boolean isVoter(InstanceId instance, long incarnation) {
        Members members = node.latestMembers();
        return members != null && members.isVoter(new MemberId(instance, incarnation));
    }

    void tick() {
        long now = clock.nanoTime();
        node.tick(now);
        hasStateMachineSpace = stateMachine.hasDiskSpace();
        expirePendingOutcomes(now);
    }

    /** Admits an instance; the future completes when the change is committed. */
    CompletableFuture<AppliedEntry> admit(InstanceId instance) {
        return changeMembers(now -> node.admit(instance, now));
    }

    /** Removes an instance; the future completes when the change is committed. */
    CompletableFuture<AppliedEntry> remove(InstanceId instance) {
        return changeMembers(now -> node.remove(instance, now));
    }

    private CompletableFuture<AppliedEntry> changeMembers(LongUnaryOperator change) {
        long now = clock.nanoTime();
        CompletableFuture<AppliedEntry> outcome = new CompletableFuture<>();
        StateException refusal = refusal(now);
        if (refusal != null) {
            failAfterFlush(outcome, refusal);
            return outcome;
        }
        try {
            long index = change.applyAsLong(now);
            if (index <= node.commitIndex()) {
                completions.add(() -> outcome.complete(new AppliedEntry(index, new byte[0])));
            } else {
                pendingOutcomes.put(index, new PendingOutcome(node.term(), outcome, now));
            }
        } catch (StateException e) {
            failAfterFlush(outcome, e);
        }
        return outcome;
    }

    /** Transfers the leadership before this member stops; returns whether the transfer is started or not needed. */
    boolean transferLeadership() {
        return node.transferLeadership(clock.nanoTime());
    }

    /** States that this member is about to stop; returns whether it may stop without harm to the group. */
    boolean leave() {
        return node.leave(clock.nanoTime());
    }

    /** Handles a message of another member; its sender has been authenticated as the instance {@code from}. */
    void receive(InstanceId from, byte[] bytes) {
        PeerMessage message;
        try {
            message = PeerMessage.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            LOG.warnf("Discarding a malformed message: %s", e.getMessage());
            return;
        }
        if (!message.getFrom().equals(from.value())) {
            LOG.warnf("Discarding a message from %s that names %s as its sender", from, message.getFrom());
            return;
        }
        if (message.hasAppend() && message.getAppend().getEntriesCount() > 0) {
            message = reserveOrDiscardEntries(message);
        }
        node.receive(message, clock.nanoTime());
    }

    /**
     * Reserves space for the entries of a message, or returns the message without entries, which acts as a heartbeat.
     */
    private PeerMessage reserveOrDiscardEntries(PeerMessage message) {
        Append append = message.getAppend();
        long sizeBytes = message.getSerializedSize() + (long) append.getEntriesCount() * ENTRY_OVERHEAD_BYTES;
        if (tryReserve(sizeBytes) == null) {
            return message;
        }
        return message.toBuilder().setAppend(append.toBuilder().clearEntries()).build();
    }

    private @Nullable StateException tryReserve(long sizeBytes) {
        if (!hasStateMachineSpace) {
            return StateException.refused(
                    ErrorCode.DISK_FULL, "No disk space left for the files of the state machine", null);
        }
        try {
            store.reserve(unwrittenBytes + sizeBytes + RESERVED_PROTOCOL_BYTES);
            unwrittenBytes += sizeBytes;
            return null;
        } catch (StateException e) {
            if (!e.isNotRun()) {
                throw e;
            }
            LOG.warnf("Refusing new log entries: %s", e.getMessage());
            return e;
        }
    }

    void propose(List<Proposal> proposals) {
        long now = clock.nanoTime();
        StateException refusal = refusal(now);
        List<Proposal> accepted = new ArrayList<>();
        List<byte[]> commands = new ArrayList<>();
        for (Proposal proposal : proposals) {
            StateException failure = refusal;
            if (failure == null && pendingOutcomes.size() + accepted.size() >= MAX_PENDING_OUTCOMES) {
                failure = StateException.refused(
                        ErrorCode.OVERLOADED, "The limit of commands without an outcome is reached", null);
            }
            if (failure == null) {
                failure = tryReserve(proposal.command().length + ENTRY_OVERHEAD_BYTES);
            }
            if (failure != null) {
                failAfterFlush(proposal.outcome(), failure);
                continue;
            }
            accepted.add(proposal);
            commands.add(proposal.command());
        }
        observer.onProposals(accepted.size(), proposals.size() - accepted.size());
        if (accepted.isEmpty()) {
            return;
        }
        long index = node.propose(commands, now);
        for (Proposal proposal : accepted) {
            pendingOutcomes.put(index, new PendingOutcome(node.term(), proposal.outcome(), now));
            index++;
        }
    }

    private @Nullable StateException refusal(long now) {
        if (node.role() != ConsensusNode.Role.LEADER) {
            return StateException.refused(ErrorCode.NOT_LEADER, "This member is not the leader", null);
        }
        if (!node.canServeRequests(now)) {
            return StateException.refused(ErrorCode.NO_QUORUM, "The leader has no valid lease", null);
        }
        return null;
    }

    /** Returns whether the unwritten entries should be flushed before further inputs are handled. */
    boolean isFlushDue() {
        return unwrittenBytes >= FLUSH_THRESHOLD_BYTES;
    }

    /**
     * Stores the writes, sends the messages and applies the commits that result from the inputs since the last flush.
     */
    void flush() {
        if (node.leaderState() == null && view.leaseUntilNanos() != ReplicationProgress.NEVER) {
            // A message of this flush may help to elect another member, so the view must not show the lease any more.
            view = MemberView.of(node, config, clock.nanoTime());
        }
        PendingWrites writes = node.takeWrites();
        if (writes.receivedSnapshot() != null) {
            installSnapshot(writes.receivedSnapshot());
        }
        if (writes.isVoteChanged()) {
            store.saveVote(writes.term(), writes.vote());
        }
        store.append(writes.entries());
        unwrittenBytes = 0;
        send(node.takeMessagesBeforeSync(clock.nanoTime()));
        if (config.isEnabled(ConsensusSafeguard.SYNC_BEFORE_RESPONSE)) {
            long startNanos = clock.nanoTime();
            store.sync();
            if (!writes.entries().isEmpty()) {
                // A sync without new entries does no work; its duration would distort the metric.
                observer.onSync(clock.nanoTime() - startNanos);
            }
        }
        node.onSynced(clock.nanoTime());
        send(node.takeMessagesAfterSync());
        apply(node.takeCommitted());
        node.onApplied();
        view = MemberView.of(node, config, clock.nanoTime());
        List<Runnable> due = List.copyOf(completions);
        completions.clear();
        due.forEach(Runnable::run);
        boolean isLogLarge =
                node.logBytes() > MAX_IN_MEMORY_LOG_BYTES && node.appliedIndex() > nextSnapshotIndex - snapshotEntries;
        if (node.appliedIndex() >= nextSnapshotIndex || isLogLarge) {
            takeSnapshot(isLogLarge ? 0 : snapshotEntries / RETAINED_ENTRIES_DIVISOR);
        }
    }

    private void send(List<OutgoingMessage> messages) {
        for (OutgoingMessage outgoing : messages) {
            transport.send(outgoing.to(), outgoing.message().toByteArray());
        }
    }

    private void installSnapshot(Snapshot snapshot) {
        store.installSnapshot(snapshot);
        stateMachine.restore(snapshot.state());
        files.retain(snapshot.state());
        nextSnapshotIndex = snapshot.index() + snapshotEntries;
        while (!pendingOutcomes.isEmpty() && pendingOutcomes.firstKey() <= snapshot.index()) {
            failAfterFlush(
                    pendingOutcomes.pollFirstEntry().getValue().outcome(),
                    StateException.mayHaveRun(
                            ErrorCode.NOT_LEADER, "Leadership was lost before the outcome was known"));
        }
    }

    private void apply(List<LogEntry> committed) {
        if (committed.isEmpty()) {
            return;
        }
        for (LogEntry entry : committed) {
            byte[] result = entry.kind() == LogEntry.EntryKind.COMMAND
                    ? stateMachine.apply(entry.index(), entry.data())
                    : new byte[0];
            PendingOutcome pendingOutcome = pendingOutcomes.remove(entry.index());
            if (pendingOutcome == null) {
                continue;
            }
            if (pendingOutcome.term() == entry.term()) {
                AppliedEntry applied = new AppliedEntry(entry.index(), result);
                completions.add(() -> pendingOutcome.outcome().complete(applied));
            } else {
                failAfterFlush(
                        pendingOutcome.outcome(),
                        StateException.refused(
                                ErrorCode.NOT_LEADER,
                                "Another leader committed a different entry at the log index",
                                null));
            }
        }
        hasStateMachineSpace = stateMachine.hasDiskSpace();
    }

    private void takeSnapshot(long retainedEntries) {
        long index = node.appliedIndex();
        nextSnapshotIndex = index + snapshotEntries;
        Snapshot taken;
        try {
            taken = new Snapshot(index, node.termOf(index), node.membershipAt(index), stateMachine.snapshot());
            store.saveSnapshot(taken);
        } catch (StateException e) {
            if (!e.isNotRun()) {
                throw e;
            }
            LOG.warnf("Cannot take a snapshot at index %d: %s; retrying after further entries", index, e.getMessage());
            return;
        }
        node.onSnapshot(taken, retainedEntries);
        if (!node.isReceivingSnapshot()) {
            files.retain(taken.state());
        }
    }

    private void expirePendingOutcomes(long now) {
        long limitNanos = TimeUnit.MILLISECONDS.toNanos(config.times().proposalTimeoutMs());
        while (!pendingOutcomes.isEmpty()
                && now - pendingOutcomes.firstEntry().getValue().startNanos() > limitNanos) {
            failAfterFlush(
                    pendingOutcomes.pollFirstEntry().getValue().outcome(),
                    StateException.mayHaveRun(
                            ErrorCode.NO_QUORUM, "No quorum acknowledged the log entry within the proposal timeout"));
        }
    }

    /** Fails all pending proposals and membership changes, and closes the files. */
    void close() {
        pendingOutcomes.values().forEach(pendingOutcome -> pendingOutcome
                .outcome()
                .completeExceptionally(
                        StateException.mayHaveRun(ErrorCode.SHUTTING_DOWN, "The member is shutting down")));
        pendingOutcomes.clear();
        // A flush that failed has not run them.
        completions.forEach(Runnable::run);
        completions.clear();
        store.close();
    }

    private void failAfterFlush(CompletableFuture<AppliedEntry> outcome, StateException failure) {
        completions.add(() -> outcome.completeExceptionally(failure));
    }

    /**
     * A command that is to be appended to the log.
     *
     * @param command the encoded command
     * @param outcome completes when the command is applied or has failed
     */
    record Proposal(byte[] command, CompletableFuture<AppliedEntry> outcome) {}

    private record PendingOutcome(long term, CompletableFuture<AppliedEntry> outcome, long startNanos) {}
}
