package io.chivehollow.state.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Observes all members of a simulation and reports violations of the safety properties. */
final class SafetyChecker {

    private final Map<Long, String> commandAt = new TreeMap<>();
    private final Map<Long, Integer> hashAt = new HashMap<>();
    private final Set<String> applied = new HashSet<>();
    private final Set<String> refused = new HashSet<>();

    /** Highest committed index by simulation time, to check the reported age of applied states. */
    private final TreeMap<Long, Long> committedAt = new TreeMap<>();

    private long maxAcknowledged;
    private long maxCommitted;

    /** Records that a member applied a command; the hash covers all commands up to and including this one. */
    void onApply(long trueNanos, long index, String command, int hash) {
        String earlier = commandAt.putIfAbsent(index, command);
        if (earlier != null && !earlier.equals(command)) {
            throw new ViolationException("Two commits at index " + index + ": " + earlier + " and " + command);
        }
        onStateHash(index, hash);
        if (refused.contains(command)) {
            throw new ViolationException("Command " + command + " was refused as not run, but is committed");
        }
        applied.add(command);
        if (index > maxCommitted) {
            maxCommitted = index;
            committedAt.put(trueNanos, index);
        }
    }

    void onStateHash(long index, int hash) {
        Integer earlier = hashAt.putIfAbsent(index, hash);
        if (earlier != null && earlier != hash) {
            throw new ViolationException("Two different states after index " + index);
        }
    }

    void onAcknowledged(long index, String command) {
        if (!command.equals(commandAt.get(index))) {
            throw new ViolationException(
                    "Command " + command + " was acknowledged at index " + index + " but not applied");
        }
        maxAcknowledged = Math.max(maxAcknowledged, index);
    }

    void onRefused(String command) {
        refused.add(command);
        if (applied.contains(command)) {
            throw new ViolationException("Command " + command + " was refused as not run after its commit");
        }
    }

    void checkLeaseHolders(List<String> holders) {
        if (holders.size() > 1) {
            throw new ViolationException("Several lease holders: " + holders);
        }
    }

    /** Checks that a member has applied everything that was committed before the time that it reports for its state. */
    void checkFreshness(String member, long asOfTrueNanos, long appliedIndex) {
        Map.Entry<Long, Long> before = committedAt.lowerEntry(asOfTrueNanos);
        if (before != null && before.getValue() > appliedIndex) {
            throw new ViolationException(member + " reports a state that includes index " + before.getValue()
                    + " but has applied only " + appliedIndex);
        }
    }

    void checkFinal(List<Long> appliedIndexes) {
        for (long index : new ArrayList<>(appliedIndexes)) {
            if (index < maxAcknowledged) {
                throw new ViolationException(
                        "Acknowledged index " + maxAcknowledged + " is lost; a member has only " + index);
            }
        }
    }

    /** Returns the command that was committed at the index, or null if there is none. */
    String commandAt(long index) {
        return commandAt.get(index);
    }

    int refusals() {
        return refused.size();
    }

    long acknowledged() {
        return maxAcknowledged;
    }

    /** Thrown when a safety property is violated. */
    static final class ViolationException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        ViolationException(String message) {
            super(message);
        }
    }
}
