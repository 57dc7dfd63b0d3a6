package io.chivehollow.state.machine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.AcceptedRelease;
import io.chivehollow.protocol.wire.ApplyRelease;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.ControlSnapshot;
import io.chivehollow.protocol.wire.ReleaseResult;
import org.jspecify.annotations.Nullable;

/**
 * The accepted release notes.
 *
 * <p>Invariants: numbers increase by one, and a note id is accepted once. Not thread-safe.
 */
final class Releases {

    /** Number of notes that are stored: four days at 460 a day. Older numbers are still refused as taken. */
    private static final int MAX_RELEASES = 2_000;

    private final LinkedHashMap<Long, AcceptedRelease> byNumber = new LinkedHashMap<>();
    private final Map<String, Long> numberByNoteId = new LinkedHashMap<>();
    private long lastNumber;

    /**
     * Returns the result of a note that is retried or whose id or number is taken, or null if the note must be checked.
     */
    CommandResult.@Nullable Builder resultByNoteIdOrNumber(ApplyRelease command) {
        Long acceptedNumber = numberByNoteId.get(command.getNoteId());
        if (acceptedNumber != null) {
            return retryResult(command, byNumber.get(acceptedNumber));
        }
        if (command.getNumber() <= lastNumber) {
            String winningNoteId = Optional.ofNullable(byNumber.get(command.getNumber()))
                    .map(AcceptedRelease::getNoteId)
                    .orElse("");
            return CommandResults.refused(
                            ErrorCode.NUMBER_TAKEN,
                            "number: " + command.getNumber() + " was taken by note \"" + winningNoteId
                                    + "\"; the next number is " + (lastNumber + 1))
                    .setRelease(ReleaseResult.newBuilder()
                            .setNumber(command.getNumber())
                            .setWinningNoteId(winningNoteId));
        }
        return null;
    }

    private static CommandResult.Builder retryResult(ApplyRelease command, AcceptedRelease accepted) {
        boolean isSame =
                command.getNumber() == accepted.getNumber() && command.getNote().equals(accepted.getNote());
        return isSame
                ? result(accepted)
                : CommandResults.refused(
                        ErrorCode.RELEASE_INVALID,
                        "note_id: \"" + command.getNoteId() + "\" was accepted with other content as number "
                                + accepted.getNumber());
    }

    /** Adds a fault if the note differs from its command, and one if it does not have the next number. */
    void check(ApplyRelease command, ReleaseNote note, List<String> faults) {
        boolean matchesCommand = note.noteId().equals(command.getNoteId())
                && note.number() == command.getNumber()
                && note.operator().equals(command.getOperator());
        if (!matchesCommand) {
            faults.add("note_id, number, operator: expected the same in the note and in the command");
        }
        if (command.getNumber() != lastNumber + 1) {
            faults.add("number: " + command.getNumber() + ": expected " + (lastNumber + 1));
        }
    }

    CommandResult.Builder accept(ApplyRelease command, long nowMs, long configVersion) {
        AcceptedRelease accepted = AcceptedRelease.newBuilder()
                .setNumber(command.getNumber())
                .setNoteId(command.getNoteId())
                .setOperator(command.getOperator())
                .setNote(command.getNote())
                .setTimeMs(nowMs)
                .setConfigVersion(configVersion)
                .build();
        add(accepted);
        if (byNumber.size() > MAX_RELEASES) {
            AcceptedRelease oldest =
                    byNumber.remove(byNumber.keySet().iterator().next());
            numberByNoteId.remove(oldest.getNoteId());
        }
        return result(accepted);
    }

    private void add(AcceptedRelease accepted) {
        byNumber.put(accepted.getNumber(), accepted);
        numberByNoteId.put(accepted.getNoteId(), accepted.getNumber());
        lastNumber = accepted.getNumber();
    }

    private static CommandResult.Builder result(AcceptedRelease accepted) {
        return CommandResult.newBuilder()
                .setRelease(ReleaseResult.newBuilder()
                        .setNumber(accepted.getNumber())
                        .setWinningNoteId(accepted.getNoteId())
                        .setConfigVersion(accepted.getConfigVersion()));
    }

    List<AcceptedRelease> all() {
        return new ArrayList<>(byNumber.values());
    }

    void save(ControlSnapshot.Builder snapshot) {
        snapshot.addAllReleases(byNumber.values());
    }

    void restore(ControlSnapshot snapshot) {
        byNumber.clear();
        numberByNoteId.clear();
        lastNumber = 0;
        snapshot.getReleasesList().forEach(this::add);
    }
}
