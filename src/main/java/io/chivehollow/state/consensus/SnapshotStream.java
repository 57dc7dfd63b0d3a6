package io.chivehollow.state.consensus;

import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.chivehollow.state.log.Snapshot;
import org.jspecify.annotations.Nullable;

/**
 * The byte stream in which a snapshot is sent to another member: its state, followed by the files that it references.
 *
 * <p>Used by one thread at a time.
 */
final class SnapshotStream {

    private final Snapshot snapshot;
    private final SnapshotFiles files;
    private final List<SnapshotFile> referencedFiles;

    SnapshotStream(Snapshot snapshot, SnapshotFiles files) {
        this.snapshot = snapshot;
        this.files = files;
        this.referencedFiles = files.referencedBy(snapshot.state());
    }

    Snapshot snapshot() {
        return snapshot;
    }

    /** Returns a part that does not extend beyond the state or a single file, or null if the file has been deleted. */
    @Nullable
    ByteString read(long offset, int maxBytes) {
        byte[] state = snapshot.state();
        if (offset < state.length) {
            int sizeBytes = (int) Math.min(maxBytes, state.length - offset);
            return UnsafeByteOperations.unsafeWrap(state, (int) offset, sizeBytes);
        }
        long start = state.length;
        for (SnapshotFile file : referencedFiles) {
            if (offset < start + file.sizeBytes()) {
                int sizeBytes = (int) Math.min(maxBytes, start + file.sizeBytes() - offset);
                byte[] part = files.read(file, offset - start, sizeBytes);
                return part == null ? null : UnsafeByteOperations.unsafeWrap(part);
            }
            start += file.sizeBytes();
        }
        return ByteString.EMPTY;
    }
}
