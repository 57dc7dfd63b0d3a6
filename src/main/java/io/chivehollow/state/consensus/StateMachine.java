package io.chivehollow.state.consensus;

import io.chivehollow.state.log.FileStore;

/**
 * A deterministic state machine to which the replicated log applies its commands.
 *
 * <p>Called by one thread at a time. The state must depend only on the applied commands, their indexes and their bytes.
 */
public interface StateMachine {

    /** Applies a committed command and returns its result. */
    byte[] apply(long index, byte[] command);

    /**
     * Opens the files of the state machine in the member's data folder, and returns the files that its snapshots
     * reference. Called before any other method.
     */
    default SnapshotFiles open(FileStore folder) {
        return SnapshotFiles.NONE;
    }

    /**
     * Returns whether there is disk space for the effects of further commands, after a retry of the writes that failed
     * because the disk was full. Commands that are already committed are applied regardless of the result.
     */
    default boolean hasDiskSpace() {
        return true;
    }

    /**
     * Returns the encoded state, without the durable files that it references.
     *
     * @throws io.chivehollow.state.StateException with code {@code DISK_FULL} and {@code isNotRun}, if there is no disk
     *     space for these files
     */
    byte[] snapshot();

    /** Replaces the state by one that {@link #snapshot} returned. */
    void restore(byte[] snapshot);
}
