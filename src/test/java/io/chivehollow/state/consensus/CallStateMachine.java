package io.chivehollow.state.consensus;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

import com.google.protobuf.InvalidProtocolBufferException;
import io.chivehollow.protocol.wire.CallOutcome;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.state.log.FileStore;
import io.chivehollow.state.machine.Commands;
import io.chivehollow.state.machine.ControlState;
import io.chivehollow.state.machine.IdempotencyKey;

/**
 * Executes each command as a non-idempotent call on the real state machine, retries an earlier call, and maintains a
 * hash of all commands.
 */
final class CallStateMachine implements StateMachine {

    private static final String SESSION = "session";
    private static final long START_MS = 1_800_000_000_000L;

    /** Index and hash are appended to the state as a protobuf field that is unknown to the state machine. */
    private static final int TAIL_BYTES = 14;

    private static final byte TAIL_TAG = 15 << 3 | 2;

    private final ControlState controlState;
    private final SafetyChecker checker;
    private long index;
    private int hash;

    CallStateMachine(ControlState controlState, SafetyChecker checker) {
        this.controlState = controlState;
        this.checker = checker;
    }

    long index() {
        return index;
    }

    int hash() {
        return hash;
    }

    @Override
    public SnapshotFiles open(FileStore folder) {
        return controlState.open(folder);
    }

    @Override
    public boolean hasDiskSpace() {
        return controlState.hasDiskSpace();
    }

    @Override
    public byte[] apply(long newIndex, byte[] command) {
        if (newIndex <= index) {
            throw new SafetyChecker.ViolationException("Index " + newIndex + " applied after index " + index);
        }
        String text = new String(command, StandardCharsets.UTF_8);
        if (hash == 0) {
            send(3 * newIndex, Commands.openSession(SESSION, "gateway"));
        }
        index = newIndex;
        hash = 31 * hash + text.hashCode();
        if (!begin(3 * index + 1, text).getCall().getBegun()) {
            throw new SafetyChecker.ViolationException("The new call " + text + " did not begin");
        }
        send(3 * index + 2, Commands.finish(0, keyOf(text), 1, outcomeOf(text)));
        return new byte[0];
    }

    /** Retries a call that finished at an earlier index. */
    void checkRetriedCall() {
        long earlier = 1 + Integer.toUnsignedLong(hash) % index;
        String text = checker.commandAt(earlier);
        if (text == null || earlier == index) {
            return;
        }
        CallOutcome found = controlState
                .callRecord("red", keyOf(text).text())
                .orElseThrow(() -> new SafetyChecker.ViolationException("The record of " + text + " is lost"))
                .getOutcome();
        // The retry of a call that was not run begins again, so only completed calls are retried.
        boolean isBegunAgain = outcomeOf(text) == CallOutcome.COMPLETED
                && begin(3 * index + 2, text).getCall().getBegun();
        if (found != outcomeOf(text) || isBegunAgain) {
            throw new SafetyChecker.ViolationException(
                    "The call " + text + " has the recorded outcome " + found + " or ran twice");
        }
    }

    private CommandResult begin(long callIndex, String text) {
        return send(callIndex, Commands.begin(0, "command-" + callIndex, SESSION, keyOf(text), text));
    }

    private CommandResult send(long callIndex, Command command) {
        byte[] bytes = command.toBuilder().setTimeMs(START_MS).build().toByteArray();
        try {
            return CommandResult.parseFrom(controlState.apply(callIndex, bytes));
        } catch (InvalidProtocolBufferException e) {
            throw new AssertionError("The result cannot be parsed", e);
        }
    }

    private static IdempotencyKey keyOf(String text) {
        return IdempotencyKey.create(START_MS, new SplittableRandom(text.hashCode()));
    }

    private static CallOutcome outcomeOf(String text) {
        return text.hashCode() % 3 == 0 ? CallOutcome.NOT_RUN : CallOutcome.COMPLETED;
    }

    @Override
    public byte[] snapshot() {
        byte[] state = controlState.snapshot();
        ByteBuffer out = ByteBuffer.allocate(state.length + TAIL_BYTES).put(state);
        return out.put(TAIL_TAG).put((byte) 12).putLong(index).putInt(hash).array();
    }

    @Override
    public void restore(byte[] snapshot) {
        controlState.restore(snapshot);
        ByteBuffer in = ByteBuffer.wrap(snapshot, snapshot.length - 12, 12);
        index = in.getLong();
        hash = in.getInt();
    }
}
