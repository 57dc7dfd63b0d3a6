package io.chivehollow.state.consensus;

import java.nio.ByteBuffer;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The immutable files that the snapshots of a state machine reference.
 *
 * <p>A file is durable before a snapshot references it, and only {@link #retain} deletes files. Used by the thread that
 * applies commands. Errors are fatal for the member, except where a method specifies otherwise.
 */
public interface SnapshotFiles {

    /** For state machines whose snapshots reference no files. */
    SnapshotFiles NONE = new NoSnapshotFiles();

    /** Returns the files that a snapshot references, in the order in which they are sent to other members. */
    List<SnapshotFile> referencedBy(byte[] state);

    /** Returns whether this member has a complete, verified and durable copy of the file. */
    boolean has(SnapshotFile file);

    /**
     * Returns a part of a file, or null if the file has been deleted in the meantime.
     *
     * <p>Reading the first part verifies the entire file, so that damage does not spread to other members.
     */
    byte @Nullable [] read(SnapshotFile file, long offset, int sizeBytes);

    /** Writes a part of a file that was received from another member; returns false if there is no disk space. */
    boolean write(SnapshotFile file, long offset, ByteBuffer part);

    /** Verifies a file after its last part was written and makes it durable; returns false if it is damaged. */
    boolean complete(SnapshotFile file);

    /** Deletes all files that the state, as returned by {@link StateMachine#snapshot}, does not reference. */
    void retain(byte[] state);
}
