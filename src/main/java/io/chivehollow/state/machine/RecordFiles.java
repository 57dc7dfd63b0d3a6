package io.chivehollow.state.machine;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;

import com.google.protobuf.InvalidProtocolBufferException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.ControlSnapshot;
import io.chivehollow.protocol.wire.RecordSegmentFile;
import io.chivehollow.state.StateException;
import io.chivehollow.state.consensus.SnapshotFile;
import io.chivehollow.state.consensus.SnapshotFiles;
import io.chivehollow.state.log.DiskFullException;
import io.chivehollow.state.log.FileStore;
import io.chivehollow.state.machine.RecordOptions.RecordSafeguard;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * The segment files of idempotency records in the data folder.
 *
 * <p>Invariants: the name of a file contains its log index and its checksum, and a complete file never changes; only a
 * file that this process has written completely or verified counts as available. Every error except a full disk is
 * fatal. Used by the thread that applies commands, except {@link #find}, which any thread may call.
 */
final class RecordFiles implements SnapshotFiles {

    private static final Logger LOG = Logger.getLogger(RecordFiles.class);
    private static final String PREFIX = "records-";

    private final FileStore folder;
    private final RecordOptions options;
    private final Set<String> availableFiles = new HashSet<>();

    RecordFiles(FileStore folder, RecordOptions options) {
        this.folder = folder;
        this.options = options;
    }

    /** Writes a segment and makes it durable; returns null, and leaves no file, if there is no disk space. */
    @Nullable
    RecordSegment write(long logIndex, SortedMap<RecordId, byte[]> records) {
        try {
            byte[] content = RecordSegment.encode(records);
            RecordSegmentFile file = RecordSegment.describe(logIndex, content);
            if (!writeFile(nameOf(file), content)) {
                return null;
            }
            availableFiles.add(nameOf(file));
            return RecordSegment.load(file, (offset, sizeBytes) -> {
                byte[] part = new byte[(int) Math.min(sizeBytes, content.length - offset)];
                System.arraycopy(content, (int) offset, part, 0, part.length);
                return part;
            });
        } catch (IOException e) {
            throw storageFailure("Cannot write a segment of idempotency records", e);
        }
    }

    private boolean writeFile(String name, byte[] content) throws IOException {
        // The file may exist from a snapshot whose transfer was abandoned.
        availableFiles.remove(name);
        try (FileStore.OpenFile out = folder.open(name)) {
            out.truncate(0);
            out.write(0, ByteBuffer.wrap(content));
            if (options.isEnabled(RecordSafeguard.SYNC_SEGMENTS)) {
                out.sync();
            }
        } catch (DiskFullException e) {
            folder.delete(name);
            return false;
        }
        if (options.isEnabled(RecordSafeguard.SYNC_SEGMENTS)) {
            folder.syncFolder();
        }
        return true;
    }

    /** Reads the index of a segment; fails if the file is missing or its index block is damaged. */
    RecordSegment load(RecordSegmentFile file) {
        try {
            RecordSegment segment = RecordSegment.load(file, readerOf(nameOf(file)));
            availableFiles.add(nameOf(file));
            return segment;
        } catch (IOException e) {
            throw storageFailure("Cannot prove the records in file " + nameOf(file), e);
        }
    }

    /** Returns a record of a segment, or null if the segment does not have it. */
    byte @Nullable [] find(RecordSegment segment, RecordId id) {
        try {
            // The file name is built only for a read; building it for each segment would dominate the lookup time.
            return segment.find(id, (offset, sizeBytes) -> folder.read(nameOf(segment.file()), offset, sizeBytes));
        } catch (IOException e) {
            throw storageFailure("Cannot prove the records in file " + nameOf(segment.file()), e);
        }
    }

    private RecordSegment.RangeReader readerOf(String name) {
        return (offset, sizeBytes) -> folder.read(name, offset, sizeBytes);
    }

    @Override
    public List<SnapshotFile> referencedBy(byte[] state) {
        try {
            return ControlSnapshot.parseFrom(state).getSegmentsList().stream()
                    .map(file -> new SnapshotFile(nameOf(file), file.getSizeBytes()))
                    .toList();
        } catch (InvalidProtocolBufferException e) {
            throw storageFailure("The snapshot cannot be parsed", e);
        }
    }

    @Override
    public boolean has(SnapshotFile file) {
        return availableFiles.contains(file.name());
    }

    @Override
    public byte @Nullable [] read(SnapshotFile file, long offset, int sizeBytes) {
        if (!has(file)) {
            return null;
        }
        try {
            if (offset == 0) {
                verify(file);
            }
            return folder.read(file.name(), offset, sizeBytes);
        } catch (IOException e) {
            throw storageFailure("Cannot prove the records in file " + file.name(), e);
        }
    }

    private void verify(SnapshotFile file) throws IOException {
        RecordSegment.RangeReader reader = readerOf(file.name());
        RecordSegment.load(segmentFileOf(file), reader).verify(reader);
    }

    @Override
    public boolean write(SnapshotFile file, long offset, ByteBuffer part) {
        try (FileStore.OpenFile out = folder.open(file.name())) {
            if (offset == 0) {
                out.truncate(0);
            }
            out.write(offset, part);
            return true;
        } catch (DiskFullException e) {
            LOG.warnf(
                    "No disk space for file %s of a received snapshot; the part was not stored: %s",
                    file.name(), e.getMessage());
            return false;
        } catch (IOException e) {
            throw storageFailure("Cannot write file " + file.name() + " of a received snapshot", e);
        }
    }

    @Override
    public boolean complete(SnapshotFile file) {
        try (FileStore.OpenFile out = folder.open(file.name())) {
            out.sync();
            folder.syncFolder();
        } catch (IOException e) {
            throw storageFailure("Cannot sync file " + file.name() + " of a received snapshot", e);
        }
        try {
            verify(file);
        } catch (IOException e) {
            LOG.warnf("File %s of a received snapshot is damaged and not accepted: %s", file.name(), e.getMessage());
            return false;
        }
        availableFiles.add(file.name());
        return true;
    }

    @Override
    public void retain(byte[] state) {
        Set<String> needed = new HashSet<>();
        referencedBy(state).forEach(file -> needed.add(file.name()));
        try {
            for (String name : folder.list()) {
                if (name.startsWith(PREFIX) && !needed.contains(name)) {
                    availableFiles.remove(name);
                    folder.delete(name);
                }
            }
        } catch (IOException e) {
            throw storageFailure("Cannot delete a segment of idempotency records", e);
        }
    }

    private static String nameOf(RecordSegmentFile file) {
        return String.format("%s%020d-%08x", PREFIX, file.getIndex(), file.getChecksum());
    }

    private static RecordSegmentFile segmentFileOf(SnapshotFile file) {
        String[] fields = file.name().substring(PREFIX.length()).split("-");
        return RecordSegmentFile.newBuilder()
                .setIndex(Long.parseLong(fields[0]))
                .setChecksum(Integer.parseUnsignedInt(fields[1], 16))
                .setSizeBytes(file.sizeBytes())
                .build();
    }

    private static StateException storageFailure(String message, IOException cause) {
        return StateException.failed(ErrorCode.STORAGE_FAILED, message, cause);
    }
}
