package io.chivehollow.state.consensus;

import java.nio.ByteBuffer;
import java.util.List;

import org.jspecify.annotations.Nullable;

/** An empty set of snapshot files. Stateless and thread-safe. */
final class NoSnapshotFiles implements SnapshotFiles {

    @Override
    public List<SnapshotFile> referencedBy(byte[] state) {
        return List.of();
    }

    @Override
    public boolean has(SnapshotFile file) {
        return false;
    }

    @Override
    public byte @Nullable [] read(SnapshotFile file, long offset, int sizeBytes) {
        return null;
    }

    @Override
    public boolean write(SnapshotFile file, long offset, ByteBuffer part) {
        return false;
    }

    @Override
    public boolean complete(SnapshotFile file) {
        return false;
    }

    @Override
    public void retain(byte[] state) {
        // No files to delete.
    }
}
