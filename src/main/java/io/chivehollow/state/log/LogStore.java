package io.chivehollow.state.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.state.StateException;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * The durable storage of a member: segment files with log records, snapshots, and the member state.
 *
 * <p>Invariants: files are only appended to or replaced by renaming; an entry whose index is not higher than that of an
 * earlier one replaces that entry and all entries after it; segments that a snapshot covers are deleted oldest first,
 * and all segments are deleted newest first when a snapshot from the leader is installed. Every error except a full
 * disk in {@link #reserve} and {@link #saveSnapshot} is fatal for the store: the caller must close it, because the
 * content of the disk is unknown after a failed sync. A store that is opened again recovers what the disk contains, and
 * writes the last segment once more, because a sync after a failed one does not write again what the failed one has
 * dropped. Used by one thread at a time.
 */
public final class LogStore implements AutoCloseable {

    /**
     * Size above which a new segment is started. It must be small compared to a snapshot, because a segment is deleted
     * only when a snapshot covers all of it.
     */
    static final int SEGMENT_BYTES = 4 << 20;

    /** Disk space is reserved in steps of this size, so that most syncs do not have to write a new file size. */
    static final int RESERVATION_STEP_BYTES = 256 << 10;

    private static final Logger LOG = Logger.getLogger(LogStore.class);
    private static final String SEGMENT_PREFIX = "segment-";

    /** The suffix makes recovery delete the file if this process ends before it does. */
    private static final String PROBE_NAME = "probe.tmp";

    private final FileStore files;
    private final StateFiles stateFiles;

    /** The last index in each segment, by segment number. */
    private final TreeMap<Long, Long> lastIndexes = new TreeMap<>();

    private MemberState memberState;
    private @Nullable Snapshot snapshot;
    private FileStore.@Nullable OpenFile activeFile;
    private long activeSegment;
    private long activeFileBytes;
    private long reservedBytes;
    private boolean hasUnsyncedWrites;

    private LogStore(FileStore files, MemberState memberState) {
        this.files = files;
        this.stateFiles = new StateFiles(files);
        this.memberState = memberState;
    }

    /**
     * Opens the folder and recovers its content; a new folder gets a random incarnation.
     *
     * @throws StateException with code {@code STORAGE_FAILED} if the folder cannot be read, is damaged, or belongs to
     *     another member
     */
    public static RecoveredLog open(FileStore files, String member, RandomGenerator random) {
        try {
            StateFiles stateFiles = new StateFiles(files);
            stateFiles.deleteTemporary();
            MemberState state = stateFiles.readMember();
            if (state == null) {
                if (!segmentNumbers(files.list()).isEmpty()) {
                    throw failed("The data folder contains log segments but no member file", null);
                }
                state = new MemberState(member, newIncarnation(random), 0, "");
                stateFiles.writeMember(state);
            }
            if (!state.member().equals(member)) {
                throw failed("The data folder belongs to member " + state.member() + ", not to " + member, null);
            }
            LogStore store = new LogStore(files, state);
            try {
                return new RecoveredLog(store, store.recover(random));
            } catch (IOException | RuntimeException e) {
                store.closeActiveFile();
                throw e;
            }
        } catch (IOException e) {
            throw failed("Cannot open the data folder", e);
        }
    }

    /**
     * Checks that a disk that has refused writes accepts them again, enough for the first entries.
     *
     * @throws WriteFailedException if it does not
     */
    public static void checkWritable(FileStore files) throws IOException {
        try (FileStore.OpenFile file = files.open(PROBE_NAME)) {
            file.write(0, ByteBuffer.allocate(RESERVATION_STEP_BYTES));
            file.sync();
        } finally {
            files.delete(PROBE_NAME);
        }
    }

    /** Returns the member's identity, term and vote. */
    public MemberState memberState() {
        return memberState;
    }

    /**
     * Returns the file store of the folder. Names of other files must not start with the prefixes of the log's files.
     */
    public FileStore files() {
        return files;
    }

    /** Returns the latest snapshot, or null if there is none. */
    public @Nullable Snapshot snapshot() {
        return snapshot;
    }

    /** Stores a new term and vote durably. */
    public void saveVote(long term, String vote) {
        MemberState next = memberState.withVote(term, vote);
        try {
            stateFiles.writeMember(next);
        } catch (IOException e) {
            throw failed("Cannot write term and vote", e);
        }
        memberState = next;
    }

    /**
     * Reserves disk space for records of the given total size.
     *
     * @throws StateException with code {@code DISK_FULL} and {@code isNotRun} if there is no space, but votes can still
     *     be stored; the log is unchanged then
     */
    public void reserve(long sizeBytes) {
        try {
            if (activeFile == null || (activeFileBytes > 0 && activeFileBytes + sizeBytes > SEGMENT_BYTES)) {
                startSegment();
            }
            long needed = activeFileBytes + sizeBytes - reservedBytes;
            if (needed > 0) {
                long steps = (needed + RESERVATION_STEP_BYTES - 1) / RESERVATION_STEP_BYTES;
                reserveBytes(steps * RESERVATION_STEP_BYTES);
            }
        } catch (DiskFullException e) {
            checkVotesCanBeStored();
            throw StateException.refused(ErrorCode.DISK_FULL, "No disk space left for the log", e);
        } catch (IOException e) {
            throw failed("Cannot reserve space for the log", e);
        }
    }

    /** Fails if the disk refuses also writes to allocated space; the member could not take part any more. */
    private void checkVotesCanBeStored() {
        try {
            stateFiles.checkSpareWritable();
        } catch (IOException e) {
            throw failed("The disk refuses all writes", e);
        }
    }

    private void reserveBytes(long sizeBytes) throws IOException {
        try {
            activeFile.write(reservedBytes, ByteBuffer.allocate((int) sizeBytes));
        } catch (DiskFullException e) {
            activeFile.truncate(reservedBytes);
            throw e;
        }
        reservedBytes += sizeBytes;
        hasUnsyncedWrites = true;
    }

    /** Appends entries as one record; they are durable after {@link #sync}. */
    public void append(List<LogEntry> entries) {
        if (entries.isEmpty()) {
            return;
        }
        reserve(LogRecordCodec.sizeOf(entries));
        try {
            ByteBuffer encodedRecord = LogRecordCodec.encodeEntries(activeSegment, activeFileBytes, entries);
            int sizeBytes = encodedRecord.remaining();
            activeFile.write(activeFileBytes, encodedRecord);
            activeFileBytes += sizeBytes;
            hasUnsyncedWrites = true;
            lastIndexes.put(activeSegment, entries.get(entries.size() - 1).index());
        } catch (IOException e) {
            throw failed("Cannot write to the log", e);
        }
    }

    /** Makes all appended entries durable. */
    public void sync() {
        if (!hasUnsyncedWrites) {
            return;
        }
        try {
            activeFile.sync();
            hasUnsyncedWrites = false;
        } catch (IOException e) {
            throw failed("Cannot sync the log", e);
        }
    }

    /**
     * Stores a snapshot of applied entries durably and deletes the segments that it covers.
     *
     * @throws StateException with code {@code DISK_FULL} and {@code isNotRun} if there is no disk space
     */
    public void saveSnapshot(Snapshot newSnapshot) {
        try {
            stateFiles.writeSnapshot(newSnapshot);
            snapshot = newSnapshot;
            deleteCovered(newSnapshot.index());
        } catch (DiskFullException e) {
            throw StateException.refused(ErrorCode.DISK_FULL, "No disk space left for a snapshot", e);
        } catch (IOException e) {
            throw failed("Cannot write a snapshot", e);
        }
    }

    /** Stores a snapshot from the leader durably and deletes the entire log. */
    public void installSnapshot(Snapshot received) {
        try {
            stateFiles.writeSnapshot(received);
            snapshot = received;
            deleteAllSegments();
        } catch (IOException e) {
            throw failed("Cannot install a snapshot", e);
        }
    }

    /**
     * Deletes all segments, newest first. After a crash the remaining older segments either do not match the snapshot,
     * which recovery detects, or match it and are valid.
     */
    private void deleteAllSegments() throws IOException {
        closeActiveFile();
        while (!lastIndexes.isEmpty()) {
            files.delete(segmentName(lastIndexes.lastKey()));
            lastIndexes.pollLastEntry();
            files.syncFolder();
        }
    }

    private void deleteCovered(long index) throws IOException {
        while (!lastIndexes.isEmpty()) {
            Map.Entry<Long, Long> oldest = lastIndexes.firstEntry();
            if (oldest.getValue() > index || (activeFile != null && oldest.getKey() == activeSegment)) {
                break;
            }
            files.delete(segmentName(oldest.getKey()));
            lastIndexes.remove(oldest.getKey());
            // Each deletion is synced, because a later segment must never disappear before an earlier one.
            files.syncFolder();
        }
    }

    private void startSegment() throws IOException {
        sync();
        closeActiveFile();
        long number = Math.max(activeSegment, lastIndexes.isEmpty() ? 0 : lastIndexes.lastKey()) + 1;
        String name = segmentName(number);
        FileStore.OpenFile file = files.open(name);
        files.syncFolder();
        activeFile = file;
        activeSegment = number;
        activeFileBytes = 0;
        reservedBytes = 0;
        lastIndexes.put(number, 0L);
    }

    private void closeActiveFile() throws IOException {
        if (activeFile != null) {
            activeFile.close();
            activeFile = null;
            hasUnsyncedWrites = false;
        }
    }

    private List<LogEntry> recover(RandomGenerator random) throws IOException {
        snapshot = stateFiles.readSnapshot();
        List<LogEntry> entries = new ArrayList<>();
        List<Long> numbers = segmentNumbers(files.list());
        for (int i = 0; i < numbers.size(); i++) {
            boolean isLast = i == numbers.size() - 1;
            recoverSegment(numbers.get(i), isLast, entries, random);
        }
        return entriesAfterSnapshot(entries);
    }

    private void recoverSegment(long number, boolean isLast, List<LogEntry> entries, RandomGenerator random)
            throws IOException {
        byte[] file = files.read(segmentName(number));
        int offset = 0;
        long lastIndex = 0;
        byte[] body = LogRecordCodec.decode(number, offset, file);
        while (body != null) {
            for (LogEntry entry : LogRecordCodec.decodeEntries(body)) {
                addRecovered(entries, entry);
                lastIndex = entry.index();
            }
            offset += LogRecordCodec.HEADER_BYTES + body.length + LogRecordCodec.TRAILER_BYTES;
            body = LogRecordCodec.decode(number, offset, file);
        }
        lastIndexes.put(number, lastIndex);
        boolean isTailZero = isZeroFilled(file, offset);
        if (!isTailZero && (!isLast || LogRecordCodec.hasRecordAfter(number, offset + 1, file))) {
            throw failed("Bad checksum in segment " + number + " at offset " + offset, null);
        }
        if (!isLast) {
            return;
        }
        if (!isTailZero && !LogRecordCodec.isIncomplete(offset, file)) {
            changeIncarnation(number, offset, random);
        }
        reopenLastSegment(number, offset, file, isTailZero);
    }

    /** Changes the incarnation, because the current one may have synced and acknowledged the damaged last record. */
    private void changeIncarnation(long number, int offset, RandomGenerator random) throws IOException {
        MemberState next = new MemberState(memberState.member(), newIncarnation(random), memberState.term(), "");
        LOG.warnf("Last record of segment %d at offset %d is damaged; joining under a new incarnation", number, offset);
        stateFiles.writeMember(next);
        memberState = next;
    }

    private void reopenLastSegment(long number, int offset, byte[] file, boolean isTailZero) throws IOException {
        activeFile = files.open(segmentName(number));
        activeSegment = number;
        activeFileBytes = offset;
        reservedBytes = file.length;
        if (!isTailZero) {
            LOG.infof("Truncating segment %d after its last complete record, at offset %d", number, offset);
            activeFile.truncate(offset);
            reservedBytes = offset;
        }
        // Recovered entries may not have been synced before, but are acknowledged from now on. After a failed sync the
        // operating system may hold them as already written, so that only another write makes a sync write them.
        activeFile.write(0, ByteBuffer.wrap(file, 0, offset));
        activeFile.sync();
        files.syncFolder();
    }

    private static void addRecovered(List<LogEntry> entries, LogEntry entry) {
        if (entries.isEmpty()) {
            entries.add(entry);
            return;
        }
        long first = entries.get(0).index();
        if (entry.index() < first) {
            entries.clear();
        } else if (entry.index() <= first + entries.size()) {
            entries.subList((int) (entry.index() - first), entries.size()).clear();
        } else {
            // The entry follows an installed snapshot; the earlier entries are in segments that were being deleted.
            entries.clear();
        }
        entries.add(entry);
    }

    private List<LogEntry> entriesAfterSnapshot(List<LogEntry> entries) throws IOException {
        long snapshotIndex = snapshot == null ? 0 : snapshot.index();
        if (entries.isEmpty()) {
            return entries;
        }
        long first = entries.get(0).index();
        if (first > snapshotIndex + 1) {
            throw failed(
                    "The first log entry has index " + first + ", but the snapshot ends at index " + snapshotIndex,
                    null);
        }
        if (first == snapshotIndex + 1) {
            return entries;
        }
        int position = (int) (snapshotIndex - first);
        if (position >= entries.size() || entries.get(position).term() != snapshot.term()) {
            // The installed snapshot comes from a leader with a different log, and a crash interrupted the deletion of
            // the segments.
            deleteAllSegments();
            return new ArrayList<>();
        }
        return new ArrayList<>(entries.subList(position + 1, entries.size()));
    }

    private static boolean isZeroFilled(byte[] file, int offset) {
        for (int i = offset; i < file.length; i++) {
            if (file[i] != 0) {
                return false;
            }
        }
        return true;
    }

    private static List<Long> segmentNumbers(List<String> names) {
        List<Long> numbers = new ArrayList<>();
        for (String name : names) {
            if (name.startsWith(SEGMENT_PREFIX)) {
                numbers.add(Long.parseLong(name.substring(SEGMENT_PREFIX.length())));
            }
        }
        Collections.sort(numbers);
        return numbers;
    }

    private static String segmentName(long number) {
        return String.format("%s%012d", SEGMENT_PREFIX, number);
    }

    private static long newIncarnation(RandomGenerator random) {
        long incarnation = random.nextLong();
        // 0 addresses any incarnation in messages.
        return incarnation == 0 ? 1 : incarnation;
    }

    static StateException failed(String message, @Nullable Throwable cause) {
        return StateException.failed(ErrorCode.STORAGE_FAILED, message, cause);
    }

    @Override
    public void close() {
        try {
            try {
                closeActiveFile();
            } finally {
                files.close();
            }
        } catch (IOException e) {
            throw failed("Cannot close the data folder", e);
        }
    }

    /**
     * The result of {@link #open}.
     *
     * @param store the opened store
     * @param entries the recovered entries after the snapshot
     */
    public record RecoveredLog(LogStore store, List<LogEntry> entries) {}
}
