package io.chivehollow.state.machine;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.chivehollow.protocol.wire.ApplyRelease;
import io.chivehollow.protocol.wire.BeginCall;
import io.chivehollow.protocol.wire.CallOutcome;
import io.chivehollow.protocol.wire.CloseSession;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.CreateKey;
import io.chivehollow.protocol.wire.FinishCall;
import io.chivehollow.protocol.wire.OpenSession;
import io.chivehollow.protocol.wire.WithdrawKey;

/** Builds commands for tests. */
public final class Commands {

    /** Members of a release note that adds a small set of items of every kind. */
    public static final String FIRST_NOTE =
            """
            "added": {
              "teams": [{"id": "red", "rate_tokens_per_second": 1000, "burst_tokens": 3000, "weight": 2}],
              "domains": [{"id": "d1"}, {"id": "d2"}],
              "models": [{"id": "m", "context_tokens": 8000, "default_output_tokens": 200}],
              "pools": [
                {"id": "pre", "role": "prefill", "models": ["m"],
                 "servers": [{"id": "s1", "domain": "d1", "sidecar_address": "127.0.0.1:7101"}]},
                {"id": "book", "role": "plain",
                 "servers": [{"id": "s2", "domain": "d2", "sidecar_address": "127.0.0.1:7102"}]}],
              "routes": [{"path": "/bookings", "pool": "book"}],
              "draining": ["s2"]}""";

    private Commands() {}

    /** Returns a release whose note has the given members after note_id, number and operator. */
    public static Command release(String noteId, long number, String members) {
        String note =
                "{\"note_id\": \"" + noteId + "\", \"number\": " + number + ", \"operator\": \"op\", " + members + "}";
        return Command.newBuilder()
                .setApplyRelease(ApplyRelease.newBuilder()
                        .setNoteId(noteId)
                        .setNumber(number)
                        .setOperator("op")
                        .setNote(ByteString.copyFromUtf8(note)))
                .build();
    }

    /** Returns a release that changes the rate of team red. */
    public static Command rateChange(String noteId, long number, long rate) {
        return release(
                noteId,
                number,
                "\"changed\": {\"teams\": [{\"id\": \"red\", \"rate_tokens_per_second\": " + rate
                        + ", \"burst_tokens\": 3000}]}");
    }

    /** Returns a command that creates a key of team red. */
    public static Command createKey(String commandId, String keyId) {
        return createKey(commandId, keyId, ByteString.copyFrom(new byte[32]));
    }

    /** Returns a command that creates a key of team red with the given MAC. */
    public static Command createKey(String commandId, String keyId, ByteString mac) {
        return Command.newBuilder()
                .setCreateKey(CreateKey.newBuilder()
                        .setCommandId(commandId)
                        .setKeyId(keyId)
                        .setTeam("red")
                        .setSecretMac(mac))
                .build();
    }

    /** Returns a command that withdraws a key. */
    public static Command withdrawKey(String commandId, String keyId) {
        return Command.newBuilder()
                .setWithdrawKey(WithdrawKey.newBuilder().setCommandId(commandId).setKeyId(keyId))
                .build();
    }

    /** Returns a command that opens a session. */
    public static Command openSession(String session, String instance) {
        return Command.newBuilder()
                .setOpenSession(OpenSession.newBuilder().setSession(session).setInstance(instance))
                .build();
    }

    /** Returns a command that closes a session. */
    public static Command closeSession(String session) {
        return Command.newBuilder()
                .setCloseSession(CloseSession.newBuilder().setSession(session))
                .build();
    }

    /** Returns a command that begins a call of team red. */
    public static Command begin(long timeMs, String commandId, String session, IdempotencyKey key, String body) {
        return Command.newBuilder()
                .setTimeMs(timeMs)
                .setBeginCall(BeginCall.newBuilder()
                        .setTeam("red")
                        .setIdempotencyKey(key.text())
                        .setRoute("/bookings")
                        .setBodySha256(ByteString.copyFromUtf8(body))
                        .setSession(session)
                        .setCommandId(commandId))
                .build();
    }

    /** Returns a command that finishes a call of team red. */
    public static Command finish(long timeMs, IdempotencyKey key, int attempt, CallOutcome outcome) {
        return Command.newBuilder()
                .setTimeMs(timeMs)
                .setFinishCall(FinishCall.newBuilder()
                        .setTeam("red")
                        .setIdempotencyKey(key.text())
                        .setAttempt(attempt)
                        .setOutcome(outcome))
                .build();
    }

    /** Applies a command and parses the result. */
    static CommandResult apply(ControlState state, long index, Command command) {
        try {
            return CommandResult.parseFrom(state.apply(index, command.toByteArray()));
        } catch (InvalidProtocolBufferException e) {
            throw new AssertionError("The result cannot be parsed", e);
        }
    }
}
