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
 * <p>Commands are serialized {@link Command} messages and results are serialized {@link CommandResult} messages; a
 * command that cannot be parsed is refused like any other invalid one.
 *
 * <p>Invariants: time never goes back, whatever the commands say; the version of the released state increases by one
 * with each accepted release and each change of an API key, and never decreases. Thread-safe: all state is guarded by
 * this object's lock, and the released state can be read without it.
 */
public final class ControlState implements StateMachine {

    private final Releases releases = new Releases();
    private final KeyTable keys = new KeyTable();
    private final FinishedRecords finished;
    private final CallRecords calls;
    private final RecordOptions recordOptions;
    private final Sessions sessions = new Sessions();
    private final FencingNumbers fencing = new FencingNumbers();
    private final LendingRecord lending = new LendingRecord();
    private final PublishedDeployment deployment = new PublishedDeployment();
    private final List<Runnable> versionListeners = new CopyOnWriteArrayList<>();
    private final List<Consumer<SaveBudgets>> budgetListeners = new CopyOnWriteArrayList<>();
    private volatile ReleasedState released = ReleasedState.getDefaultInstance();
    private long timeMs;

    private ControlState(RecordOptions recordOptions) {
        this.recordOptions = recordOptions;
        this.finished = new FinishedRecords(recordOptions);
        this.calls = new CallRecords(finished);
    }

    /** Returns an empty state. */
    public static ControlState create() {
        return new ControlState(RecordOptions.defaults());
    }

    static ControlState create(RecordOptions recordOptions) {
        return new ControlState(recordOptions);
    }

    /** Moves finished idempotency records to segment files in the folder; without a folder all stay in memory. */
    @Override
    public synchronized SnapshotFiles open(FileStore folder) {
        RecordFiles files = new RecordFiles(folder, recordOptions);
        finished.open(files);
        return files;
    }

    @Override
    public synchronized boolean hasRoom() {
        return finished.writeWaiting();
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        ReleasedState before = released;
        byte[] result;
        synchronized (this) {
            result = applyLocked(index, command).setIndex(index).build().toByteArray();
            finished.seal(index);
        }
        if (released != before) {
            versionListeners.forEach(Runnable::run);
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
        calls.removeExpired(timeMs);
        sessions.removeExpired(timeMs);
        return switch (command.getKindCase()) {
            case APPLY_RELEASE -> applyRelease(command.getApplyRelease());
            case CREATE_KEY -> createKey(command.getCreateKey());
            case WITHDRAW_KEY -> withdrawKey(command.getWithdrawKey());
            case BEGIN_CALL -> calls.begin(command.getBeginCall(), index, timeMs, sessions::isOpen);
            case FINISH_CALL -> calls.finish(command.getFinishCall());
            case NEXT_FENCING_NUMBER -> fencing.next(command.getNextFencingNumber());
            case OPEN_SESSION -> openSession(command.getOpenSession());
            case CLOSE_SESSION -> closeSession(command.getCloseSession().getSession());
            case START_LENDING -> lending.start(command.getStartLending());
            case SAVE_BUDGETS -> saveBudgets(command.getSaveBudgets());
            case PUBLISH_DEPLOYMENT -> publishDeployment(command.getPublishDeployment());
            case SET_DOMAIN -> setDomain(command.getSetDomain());
            default -> CommandResults.refused(ErrorCode.INVALID_REQUEST, "the command has no known kind");
        };
    }

    private CommandResult.Builder saveBudgets(SaveBudgets command) {
        CommandResult.Builder result = lending.save(command);
        if (result.getErrorCode().isEmpty()) {
            budgetListeners.forEach(listener -> listener.accept(command));
        }
        return result;
    }

    private CommandResult.Builder applyRelease(ApplyRelease command) {
        CommandResult.Builder known = releases.knownAnswer(command);
        if (known != null) {
            return known;
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
        keys.withdrawTeams(draft.teamIds());
        ReleasedState.Builder next = released.toBuilder().setReleaseNumber(command.getNumber());
        draft.copyTo(next);
        long version = publish(next);
        return releases.accept(command, timeMs, version);
    }

    private CommandResult.Builder publishDeployment(PublishDeployment command) {
        ReleasedState.Builder next = deployment.publish(command, released);
        if (next != null) {
            publish(next);
        }
        return PublishedDeployment.result(released);
    }

    private CommandResult.Builder setDomain(SetDomain command) {
        if (command.getDomain().isEmpty()) {
            return PublishedDeployment.refuseEmpty();
        }
        ReleasedState.Builder next = PublishedDeployment.setDomain(command, released);
        if (next != null) {
            publish(next);
        }
        return PublishedDeployment.result(released);
    }

    private CommandResult.Builder createKey(CreateKey command) {
        CommandResult.Builder first = keys.resend(command.getCommandId(), command.getKeyId());
        if (first != null) {
            return first;
        }
        boolean isTeamKnown =
                released.getTeamsList().stream().anyMatch(team -> team.getId().equals(command.getTeam()));
        List<String> faults = keys.faults(command, isTeamKnown);
        if (!faults.isEmpty()) {
            return CommandResults.refused(ErrorCode.INVALID_REQUEST, faults);
        }
        CommandResult.Builder result = keys.create(command, released.getVersion() + 1);
        publish(released.toBuilder());
        return result;
    }

    private CommandResult.Builder withdrawKey(WithdrawKey command) {
        CommandResult.Builder first = keys.resend(command.getCommandId(), command.getKeyId());
        if (first != null) {
            return first;
        }
        List<String> faults = keys.faults(command);
        if (!faults.isEmpty()) {
            return CommandResults.refused(ErrorCode.INVALID_REQUEST, faults);
        }
        CommandResult.Builder result = keys.withdraw(command, released.getVersion() + 1);
        publish(released.toBuilder());
        return result;
    }

    private CommandResult.Builder openSession(OpenSession command) {
        List<String> closed = new ArrayList<>();
        CommandResult.Builder result = sessions.open(command, timeMs, closed);
        closed.forEach(calls::onSessionClosed);
        return result;
    }

    private CommandResult.Builder closeSession(String session) {
        sessions.close(session, timeMs);
        calls.onSessionClosed(session);
        return CommandResult.newBuilder();
    }

    private long publish(ReleasedState.Builder next) {
        next.clearKeys().addAllKeys(keys.keys()).setVersion(released.getVersion() + 1);
        released = next.build();
        return released.getVersion();
    }

    @Override
    public synchronized byte[] snapshot() {
        ControlSnapshot.Builder snapshot =
                ControlSnapshot.newBuilder().setTimeMs(timeMs).setReleased(released);
        releases.save(snapshot);
        keys.save(snapshot);
        calls.save(snapshot);
        sessions.save(snapshot);
        fencing.save(snapshot);
        lending.save(snapshot);
        deployment.save(snapshot);
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
            keys.restore(snapshot);
            calls.restore(snapshot);
            sessions.restore(snapshot);
            fencing.restore(snapshot);
            lending.restore(snapshot);
            deployment.restore(snapshot);
        }
        versionListeners.forEach(Runnable::run);
    }

    /** Returns the released state. */
    public ReleasedState released() {
        return released;
    }

    /** Returns the operator's document of the published deployment, compressed with gzip; empty if there is none. */
    public synchronized ByteString deploymentDocument() {
        return deployment.document();
    }

    /** Returns the accepted release notes that are kept, oldest first. */
    public synchronized List<AcceptedRelease> releases() {
        return releases.all();
    }

    /** Returns the idempotency record of a team's key. */
    public synchronized Optional<CallRecord> callRecord(String team, String idempotencyKey) {
        return calls.record(team, idempotencyKey);
    }

    /** Returns the sessions that are open. */
    public synchronized List<Session> openSessions() {
        return sessions.openSessions();
    }

    /** Runs the listener, on the thread that applies commands, after each change of the released state. */
    public void onReleasedStateChange(Runnable listener) {
        versionListeners.add(listener);
    }

    /** Calls the listener with each checkpoint of budgets that is applied; it must not block. */
    public void onSaveBudgets(Consumer<SaveBudgets> listener) {
        budgetListeners.add(listener);
    }
}
