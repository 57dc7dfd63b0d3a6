package io.chivehollow.state.machine;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.BeginCall;
import io.chivehollow.protocol.wire.CallOutcome;
import io.chivehollow.protocol.wire.CallRecord;
import io.chivehollow.protocol.wire.CallResult;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.ControlSnapshot;
import io.chivehollow.protocol.wire.FinishCall;
import io.chivehollow.state.StateException;
import org.jspecify.annotations.Nullable;

/**
 * Idempotency records of non-idempotent calls.
 *
 * <p>The record of a call is open from the BeginCall command until a FinishCall command stores its outcome, or until
 * the session of its gateway is closed, which makes the outcome UNKNOWN.
 *
 * <p>Invariants: an attempt is begun by at most one BeginCall command; the attempt number of a record only increases; a
 * known outcome (COMPLETED or NOT_RUN) is replaced only by a new attempt, and only if it is NOT_RUN; a key whose record
 * was deleted is refused from then on, because the deletion and the refusal both depend on the key's creation time and
 * on a time that never decreases. Not thread-safe.
 */
final class CallRecords {

    /** Age of a key at which its record is deleted and the key is refused. */
    static final long RETENTION_MS = 24 * 3_600_000L;

    /** Longest time by which the creation time of a key may be ahead of the time of a command. */
    static final long MAX_FUTURE_MS = 5 * 60_000L;

    private final TreeMap<RecordId, CallRecord> openCalls = new TreeMap<>();

    private final FinishedRecords finishedRecords;

    CallRecords(FinishedRecords finishedRecords) {
        this.finishedRecords = finishedRecords;
    }

    CommandResult.Builder begin(BeginCall command, long index, long nowMs, Predicate<String> isOpenSession) {
        Optional<IdempotencyKey> key = IdempotencyKey.parse(command.getIdempotencyKey());
        if (key.isEmpty()) {
            return CommandResults.refused(
                    ErrorCode.IDEMPOTENCY_KEY_INVALID, "the idempotency key must be a UUID of version 7");
        }
        long ageMs = nowMs - key.get().creationMs();
        if (ageMs > RETENTION_MS || ageMs < -MAX_FUTURE_MS) {
            return CommandResults.refused(
                    ErrorCode.IDEMPOTENCY_KEY_INVALID,
                    "the idempotency key must be at most 24 h old and at most 5 min in the future, but is " + ageMs
                            + " ms old");
        }
        RecordId id = RecordId.of(key.get(), command.getTeam());
        CallRecord existing = get(id);
        if (existing == null) {
            return beginAttempt(key.get(), command, index, nowMs, 1, isOpenSession);
        }
        boolean isSameCall = existing.getRoute().equals(command.getRoute())
                && existing.getBodySha256().equals(command.getBodySha256());
        if (!isSameCall) {
            return CommandResults.refused(
                    ErrorCode.IDEMPOTENCY_KEY_REUSED, "the idempotency key was used before with another route or body");
        }
        boolean isRetry = !command.getCommandId().isEmpty()
                && existing.getCommandId().equals(command.getCommandId())
                && existing.getSession().equals(command.getSession());
        if (isRetry) {
            // While the call is open, the gateway that proposed this command has not received a response to it, so it
            // has not sent the call to a backend server yet.
            return result(existing, existing.getOutcome() == CallOutcome.OPEN);
        }
        if (existing.getOutcome() == CallOutcome.NOT_RUN) {
            return beginAttempt(key.get(), command, index, nowMs, existing.getAttempt() + 1, isOpenSession);
        }
        return result(existing, false);
    }

    private CommandResult.Builder beginAttempt(
            IdempotencyKey key,
            BeginCall command,
            long index,
            long nowMs,
            int attempt,
            Predicate<String> isOpenSession) {
        if (!isOpenSession.test(command.getSession())) {
            return CommandResults.refused(
                    ErrorCode.FENCED, "session " + command.getSession() + " of the gateway is not open");
        }
        CallRecord record = CallRecord.newBuilder()
                .setTeam(command.getTeam())
                .setIdempotencyKey(key.text())
                .setRoute(command.getRoute())
                .setBodySha256(command.getBodySha256())
                .setSession(command.getSession())
                .setAttempt(attempt)
                .setOutcome(CallOutcome.OPEN)
                .setBegunIndex(index)
                .setBegunMs(nowMs)
                .setCommandId(command.getCommandId())
                .build();
        put(RecordId.of(key, command.getTeam()), record);
        return result(record, true);
    }

    CommandResult.Builder finish(FinishCall command) {
        CallOutcome outcome = command.getOutcome();
        if (outcome == CallOutcome.OPEN || outcome == CallOutcome.UNRECOGNIZED) {
            return CommandResults.refused(
                    ErrorCode.INVALID_REQUEST, "outcome: " + outcome + ": expected COMPLETED, NOT_RUN or UNKNOWN");
        }
        Optional<RecordId> id = RecordId.of(command.getTeam(), command.getIdempotencyKey());
        CallRecord existing = id.map(this::get).orElse(null);
        if (existing == null) {
            return CommandResults.refused(ErrorCode.INVALID_REQUEST, "there is no record with this idempotency key");
        }
        if (existing.getAttempt() != command.getAttempt()) {
            return CommandResults.refused(
                    ErrorCode.FENCED,
                    "attempt " + command.getAttempt() + " is not the current attempt " + existing.getAttempt());
        }
        boolean isOutcomeKnown =
                existing.getOutcome() == CallOutcome.COMPLETED || existing.getOutcome() == CallOutcome.NOT_RUN;
        if (isOutcomeKnown) {
            return result(existing, false);
        }
        CallRecord.Builder next = existing.toBuilder().setOutcome(outcome);
        if (outcome == CallOutcome.COMPLETED) {
            // The session and the command id are needed only while the call can be begun again or become UNKNOWN.
            next.setResult(command.getResult()).clearSession().clearCommandId();
        }
        CallRecord record = next.build();
        put(id.get(), record);
        return result(record, false);
    }

    /** Sets the outcome of the open calls of a closed session to UNKNOWN; a late FinishCall may still replace it. */
    void onSessionClosed(String session) {
        List<CallRecord> openInSession = openCalls.values().stream()
                .filter(record -> record.getSession().equals(session))
                .toList();
        for (CallRecord record : openInSession) {
            put(idOf(record), record.toBuilder().setOutcome(CallOutcome.UNKNOWN).build());
        }
    }

    /** Deletes the records whose keys are older than the retention period and so refused from now on. */
    void removeExpired(long nowMs) {
        while (!openCalls.isEmpty() && nowMs - openCalls.firstKey().creationMs() > RETENTION_MS) {
            openCalls.pollFirstEntry();
        }
        finishedRecords.removeExpired(nowMs);
    }

    Optional<CallRecord> find(String team, String idempotencyKey) {
        return RecordId.of(team, idempotencyKey).map(this::get);
    }

    private @Nullable CallRecord get(RecordId id) {
        CallRecord open = openCalls.get(id);
        if (open != null) {
            return open;
        }
        byte[] bytes = finishedRecords.get(id);
        return bytes == null ? null : parse(bytes);
    }

    private void put(RecordId id, CallRecord record) {
        if (record.getOutcome() == CallOutcome.OPEN) {
            finishedRecords.remove(id);
            openCalls.put(id, record);
        } else {
            openCalls.remove(id);
            finishedRecords.put(id, record.toByteArray());
        }
    }

    void save(ControlSnapshot.Builder snapshot) {
        openCalls.values().forEach(record -> snapshot.addRecords(record.toByteString()));
        finishedRecords.save(snapshot);
    }

    void restore(ControlSnapshot snapshot) {
        openCalls.clear();
        finishedRecords.restore(snapshot);
        for (ByteString bytes : snapshot.getRecordsList()) {
            if (!FinishedRecords.isRecord(bytes)) {
                continue;
            }
            CallRecord record = parse(bytes.toByteArray());
            put(idOf(record), record);
        }
    }

    private static CallRecord parse(byte[] bytes) {
        try {
            return CallRecord.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw StateException.refused(ErrorCode.STORAGE_FAILED, "An idempotency record cannot be parsed", e);
        }
    }

    private static RecordId idOf(CallRecord record) {
        return RecordId.of(new IdempotencyKey(record.getIdempotencyKey()), record.getTeam());
    }

    private static CommandResult.Builder result(CallRecord record, boolean begun) {
        return CommandResult.newBuilder()
                .setCall(CallResult.newBuilder().setBegun(begun).setRecord(record));
    }
}
