package io.chivehollow.state.consensus;

import java.util.List;

import io.chivehollow.state.consensus.wire.InstallSnapshot;
import io.chivehollow.state.log.Snapshot;

/**
 * Assembles a snapshot from the parts that the leader sends.
 *
 * <p>The state is buffered in memory. The files that follow it are written to the data folder, and those that the
 * member already has are skipped.
 *
 * <p>Invariant: all parts come from one leader in one term, because two members may encode the same state differently.
 * Used by one thread at a time.
 */
final class SnapshotReceiver {

    private final SnapshotFiles files;
    private final long leaderTerm;
    private final long index;
    private final long term;
    private final byte[] state;
    private List<SnapshotFile> referencedFiles = List.of();

    /** Index of the next file in the list of referenced files; {@code fileStartOffset} is its offset in the stream. */
    private int fileIndex;

    private long fileStartOffset;
    private long offset;

    SnapshotReceiver(SnapshotFiles files, long leaderTerm, InstallSnapshot first) {
        this.files = files;
        this.leaderTerm = leaderTerm;
        this.index = first.getIndex();
        this.term = first.getTerm();
        this.state = new byte[(int) first.getSizeBytes()];
    }

    boolean isPartOfSameSnapshot(long partTerm, InstallSnapshot part) {
        return partTerm == leaderTerm
                && part.getIndex() == index
                && part.getTerm() == term
                && part.getSizeBytes() == state.length;
    }

    /**
     * Adds a part if it is the next one; ignores a duplicate or early part. Returns false if there is no disk space for
     * the part.
     */
    boolean add(InstallSnapshot part) {
        if (part.getOffset() != offset || isComplete()) {
            return true;
        }
        if (offset < state.length) {
            addState(part);
            return true;
        }
        SnapshotFile file = referencedFiles.get(fileIndex);
        long fileOffset = offset - fileStartOffset;
        if (part.getState().size() > file.sizeBytes() - fileOffset) {
            return true;
        }
        if (!files.write(file, fileOffset, part.getState().asReadOnlyByteBuffer())) {
            return false;
        }
        offset += part.getState().size();
        if (offset == fileStartOffset + file.sizeBytes()) {
            completeFile(file);
        }
        return true;
    }

    private void addState(InstallSnapshot part) {
        if (part.getState().size() > state.length - offset) {
            return;
        }
        part.getState().copyTo(state, (int) offset);
        offset += part.getState().size();
        if (offset == state.length) {
            referencedFiles = files.referencedBy(state);
            fileStartOffset = offset;
            skipPresentFiles();
        }
    }

    private void completeFile(SnapshotFile file) {
        if (files.complete(file)) {
            skipPresentFiles();
        } else {
            offset = fileStartOffset;
        }
    }

    private void skipPresentFiles() {
        while (fileIndex < referencedFiles.size() && files.has(referencedFiles.get(fileIndex))) {
            fileStartOffset += referencedFiles.get(fileIndex).sizeBytes();
            fileIndex++;
        }
        offset = fileStartOffset;
    }

    boolean isComplete() {
        return offset >= state.length && fileIndex == referencedFiles.size();
    }

    /** Returns the offset in the stream at which the next part should start. */
    long offset() {
        return offset;
    }

    Snapshot toSnapshot(InstallSnapshot part) {
        return new Snapshot(index, term, part.getMembership().toByteArray(), state);
    }
}
