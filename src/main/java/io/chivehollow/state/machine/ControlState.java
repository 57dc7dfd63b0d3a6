package io.chivehollow.state.machine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.AcceptedRelease;
import io.chivehollow.protocol.wire.ApplyRelease;
import io.chivehollow.protocol.wire.CallRecord;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.ControlSnapshot;
import io.chivehollow.protocol.wire.CreateKey;
import io.chivehollow.protocol.wire.OpenSession;
import io.chivehollow.protocol.wire.PublishDeployment;
import io.chivehollow.protocol.wire.ReleasedState;
import io.chivehollow.protocol.wire.SaveBudgets;
import io.chivehollow.protocol.wire.Session;
import io.chivehollow.protocol.wire.SetDomain;
import io.chivehollow.protocol.wire.WithdrawKey;
import io.chivehollow.state.StateException;
import io.chivehollow.state.consensus.SnapshotFiles;
import io.chivehollow.state.consensus.StateMachine;
import io.chivehollow.state.log.FileStore;

/**
 * The replicated state machine of the control plane.
 *
 * <p>Commands are serialized {@link Command} messages and results are serialized {@link CommandResult} messages. A
 * command that cannot be parsed is refused like any other invalid command.
 *
 * <p>Invariants: the time of the state never decreases, whatever times the commands have; the version of the released
 * state never decreases, and increases by one with each accepted release note and each change of the deployment, of a
 * failure domain or of an API key. Thread-safe: all state is guarded by this object's lock, and the released state can
 * be read without it.
 */
public final class ControlState implements StateMachine {

    private final Releases releases = new Releases();
    private final ApiKeyTable apiKeys = new ApiKeyTable();
    private final FinishedRecords finishedRecords;
    private final CallRecords callRecords;
    private final RecordOptions recordOptions;
    private final GatewaySessions sessions = new GatewaySessions();
    private final FencingNumbers fencingNumbers = new FencingNumbers();
    private final LendingRecord lendingRecord = new LendingRecord();
    private final PublishedDeployment publishedDeployment = new PublishedDeployment();
    private final List<Runnable> releasedStateListeners = new CopyOnWriteArrayList<>();
    private final List<Consumer<SaveBudgets>> budgetCheckpointListeners = new CopyOnWriteArrayList<>();
    private volatile ReleasedState released = ReleasedState.getDefaultInstance();
    private long timeMs;

    private ControlState(RecordOptions recordOptions) {
        this.recordOptions = recordOptions;
        this.finishedRecords = new FinishedRecords(recordOptions);
        this.callRecords = new CallRecords(finishedRecords);
    }

    /** Returns an empty state. */
    public static ControlState create() {
        return new ControlState(RecordOptions.defaults());
    }

    static ControlState create(RecordOptions recordOptions) {
        return new ControlState(recordOptions);
    }

    /** Lets finished idempotency records move to segment files in the folder; without a folder all stay in memory. */
    @Override
    public synchronized SnapshotFiles open(FileStore folder) {
        RecordFiles files = new RecordFiles(folder, recordOptions);
        finishedRecords.setFiles(files);
        return files;
    }

    @Override
    public synchronized boolean hasDiskSpace() {
        return finishedRecords.writePendingSegments();
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        ReleasedState before = released;
        byte[] result;
        synchronized (this) {
            result = applyLocked(index, command).setIndex(index).build().toByteArray();
            finishedRecords.flushIfDue(index);
        }
        if (released != before) {
            releasedStateListeners.forEach(Runnable::run);
        }
        return result;
    }

    private CommandResult.Builder applyLocked(long index, byte[] bytes) {
        Command command;
        try {
            command = Command.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            return CommandResults.refused(ErrorCode.INVALID_REQUEST, "the command cannot be parsed");
        }
        timeMs = Math.max(timeMs, command.getTimeMs());
        callRecords.removeExpired(timeMs);
        sessions.removeExpired(timeMs);
        return switch (command.getKindCase()) {
            case APPLY_RELEASE -> applyRelease(command.getApplyRelease());
            case CREATE_KEY -> createKey(command.getCreateKey());
            case WITHDRAW_KEY -> withdrawKey(command.getWithdrawKey());
            case BEGIN_CALL -> callRecords.begin(command.getBeginCall(), index, timeMs, sessions::isOpen);
            case FINISH_CALL -> callRecords.finish(command.getFinishCall());
            case NEXT_FENCING_NUMBER -> fencingNumbers.next(command.getNextFencingNumber());
            case OPEN_SESSION -> openSession(command.getOpenSession());
            case CLOSE_SESSION -> closeSession(command.getCloseSession().getSession());
            case START_LENDING -> lendingRecord.startLending(command.getStartLending());
            case SAVE_BUDGETS -> saveBudgets(command.getSaveBudgets());
            case PUBLISH_DEPLOYMENT -> publishDeployment(command.getPublishDeployment());
            case SET_DOMAIN -> setDomain(command.getSetDomain());
            default -> CommandResults.refused(
                    ErrorCode.INVALID_REQUEST, "the kind of the command is missing or not supported");
        };
    }

    private CommandResult.Builder saveBudgets(SaveBudgets command) {
        CommandResult.Builder result = lendingRecord.saveBudgets(command);
        if (result.getErrorCode().isEmpty()) {
            budgetCheckpointListeners.forEach(listener -> listener.accept(command));
        }
        return result;
    }

    private CommandResult.Builder applyRelease(ApplyRelease command) {
        CommandResult.Builder earlyResult = releases.resultByNoteIdOrNumber(command);
        if (earlyResult != null) {
            return earlyResult;
        }
        List<String> faults = new ArrayList<>();
        ReleaseNote note = ReleaseNoteParser.parse(command.getNote().toByteArray(), faults);
        releases.check(command, note, faults);
        ReleaseDraft draft = new ReleaseDraft(released);
        draft.apply(note, faults);
        draft.checkReferences(faults);
        if (!faults.isEmpty()) {
            return CommandResults.refused(ErrorCode.RELEASE_INVALID, faults);
        }
        apiKeys.retainKeysOfTeams(draft.teamIds());
        ReleasedState.Builder next = released.toBuilder().setReleaseNumber(command.getNumber());
        draft.copyTo(next);
        long version = publish(next);
        return releases.accept(command, timeMs, version);
    }

    private CommandResult.Builder publishDeployment(PublishDeployment command) {
        ReleasedState.Builder next = publishedDeployment.publish(command, released);
        if (next != null) {
            publish(next);
        }
        return PublishedDeployment.result(released);
    }

    private CommandResult.Builder setDomain(SetDomain command) {
        if (command.getDomain().isEmpty()) {
            return PublishedDeployment.emptyDomainResult();
        }
        ReleasedState.Builder next = PublishedDeployment.setDomain(command, released);
        if (next == null) {
            return PublishedDeployment.result(released);
        }
        if (command.hasDomainsVersion() && command.getDomainsVersion() != released.getDomainsVersion()) {
            return CommandResults.refused(
                    ErrorCode.STATE_CHANGED,
                    "domain: a failure domain has changed in version " + released.getDomainsVersion()
                            + ", and the command is based on version " + command.getDomainsVersion());
        }
        publish(next);
        return PublishedDeployment.result(released);
    }

    private CommandResult.Builder createKey(CreateKey command) {
        CommandResult.Builder previousResult = apiKeys.previousResult(command.getCommandId(), command.getKeyId());
        if (previousResult != null) {
            return previousResult;
        }
        boolean teamExists =
                released.getTeamsList().stream().anyMatch(team -> team.getId().equals(command.getTeam()));
        List<String> faults = apiKeys.faults(command, teamExists);
        if (!faults.isEmpty()) {
            return CommandResults.refused(ErrorCode.INVALID_REQUEST, faults);
        }
        CommandResult.Builder result = apiKeys.create(command, released.getVersion() + 1);
        publish(released.toBuilder());
        return result;
    }

    private CommandResult.Builder withdrawKey(WithdrawKey command) {
        CommandResult.Builder previousResult = apiKeys.previousResult(command.getCommandId(), command.getKeyId());
        if (previousResult != null) {
            return previousResult;
        }
        List<String> faults = apiKeys.faults(command);
        if (!faults.isEmpty()) {
            return CommandResults.refused(ErrorCode.INVALID_REQUEST, faults);
        }
        CommandResult.Builder result = apiKeys.withdraw(command, released.getVersion() + 1);
        publish(released.toBuilder());
        return result;
    }

    private CommandResult.Builder openSession(OpenSession command) {
        List<String> closedSessions = new ArrayList<>();
        CommandResult.Builder result = sessions.open(command, timeMs, closedSessions);
        closedSessions.forEach(callRecords::onSessionClosed);
        return result;
    }

    private CommandResult.Builder closeSession(String session) {
        sessions.close(session, timeMs);
        callRecords.onSessionClosed(session);
        return CommandResult.newBuilder();
    }

    private long publish(ReleasedState.Builder next) {
        if (!next.getDomainsList().equals(released.getDomainsList())) {
            next.setDomainsVersion(released.getVersion() + 1);
        }
        next.clearKeys().addAllKeys(apiKeys.keys()).setVersion(released.getVersion() + 1);
        released = next.build();
        return released.getVersion();
    }

    @Override
    public synchronized byte[] snapshot() {
        ControlSnapshot.Builder snapshot =
                ControlSnapshot.newBuilder().setTimeMs(timeMs).setReleased(released);
        releases.save(snapshot);
        apiKeys.save(snapshot);
        callRecords.save(snapshot);
        sessions.save(snapshot);
        fencingNumbers.save(snapshot);
        lendingRecord.save(snapshot);
        publishedDeployment.save(snapshot);
        return snapshot.build().toByteArray();
    }

    @Override
    public void restore(byte[] bytes) {
        synchronized (this) {
            ControlSnapshot snapshot;
            try {
                snapshot = ControlSnapshot.parseFrom(bytes);
            } catch (InvalidProtocolBufferException e) {
                throw StateException.refused(ErrorCode.STORAGE_FAILED, "The snapshot cannot be parsed", e);
            }
            timeMs = snapshot.getTimeMs();
            released = snapshot.getReleased();
            releases.restore(snapshot);
            apiKeys.restore(snapshot);
            callRecords.restore(snapshot);
            sessions.restore(snapshot);
            fencingNumbers.restore(snapshot);
            lendingRecord.restore(snapshot);
            publishedDeployment.restore(snapshot);
        }
        releasedStateListeners.forEach(Runnable::run);
    }

    /** Returns the current released state: the configuration that the other processes read. */
    public ReleasedState releasedState() {
        return released;
    }

    /** Returns the operator's document of the published deployment, compressed with gzip; empty if there is none. */
    public synchronized ByteString deploymentDocument() {
        return publishedDeployment.document();
    }

    /** Returns the accepted release notes that are still stored, oldest first. */
    public synchronized List<AcceptedRelease> releases() {
        return releases.all();
    }

    /** Returns the idempotency record of a team's key, or nothing if there is none. */
    public synchronized Optional<CallRecord> callRecord(String team, String idempotencyKey) {
        return callRecords.find(team, idempotencyKey);
    }

    /** Returns the sessions that are open. */
    public synchronized List<Session> openSessions() {
        return sessions.openSessions();
    }

    /** Adds a listener that runs after each change of the released state, on the thread that applies commands. */
    public void addReleasedStateListener(Runnable listener) {
        releasedStateListeners.add(listener);
    }

    /** Adds a listener that receives each checkpoint of budgets that is applied; it must not block. */
    public void addBudgetCheckpointListener(Consumer<SaveBudgets> listener) {
        budgetCheckpointListeners.add(listener);
    }
}
