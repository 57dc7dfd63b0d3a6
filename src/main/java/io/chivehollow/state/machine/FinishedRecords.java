package io.chivehollow.state.machine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.ControlSnapshot;
import io.chivehollow.state.StateException;
import io.chivehollow.state.machine.RecordOptions.RecordSafeguard;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Idempotency records that have an outcome: the latest in memory, the others in segment files.
 *
 * <p>Invariants: a lookup finds the newest record of an id, and never one whose key has expired; the commands alone
 * determine when records are moved to a segment, so that all members write the same files. Without a data folder all
 * records stay in memory. Not thread-safe.
 */
final class FinishedRecords {

    /**
     * Precedes the finished records in a snapshot that refers to segments. It cannot be parsed as a record, so that a
     * software version without segments fails on it, instead of ignoring the segments and beginning their calls again.
     */
    private static final ByteString SEGMENTS_MARKER = ByteString.copyFrom(new byte[] {0x0F});

    private static final Logger LOG = Logger.getLogger(FinishedRecords.class);

    private final RecordOptions options;

    /** Serialized, because parsed records take twice the memory. */
    private TreeMap<RecordId, byte[]> recentRecords = new TreeMap<>();

    private long recentBytes;

    /** Segments that could not be written to a full disk, oldest first; newer than all written segments. */
    private final Deque<PendingSegment> pendingSegments = new ArrayDeque<>();

    /** Written segments, oldest first. */
    private final List<RecordSegment> segments = new ArrayList<>();

    private @Nullable RecordFiles files;
    private long nowMs;

    FinishedRecords(RecordOptions options) {
        this.options = options;
    }

    void setFiles(RecordFiles recordFiles) {
        files = recordFiles;
    }

    byte @Nullable [] get(RecordId id) {
        if (isExpired(id.creationMs())) {
            return null;
        }
        byte[] found = recentRecords.get(id);
        for (Iterator<PendingSegment> it = pendingSegments.descendingIterator(); found == null && it.hasNext(); ) {
            found = it.next().records().get(id);
        }
        for (int i = segments.size() - 1;
                found == null && i >= 0 && options.isEnabled(RecordSafeguard.READ_SEGMENTS);
                i--) {
            found = files.find(segments.get(i), id);
        }
        return found;
    }

    void put(RecordId id, byte[] record) {
        remove(id);
        recentRecords.put(id, record);
        recentBytes += record.length;
    }

    /** Removes the record of a call that was begun again; the open record hides an older version in a segment. */
    void remove(RecordId id) {
        byte[] removed = recentRecords.remove(id);
        recentBytes -= removed == null ? 0 : removed.length;
    }

    /** Moves the records in memory to a segment if they have reached a threshold; called after each command. */
    void flushIfDue(long logIndex) {
        boolean isDue =
                recentRecords.size() >= options.flushThresholdRecords() || recentBytes >= options.flushThresholdBytes();
        if (files == null || !isDue) {
            return;
        }
        pendingSegments.add(new PendingSegment(logIndex, recentRecords));
        recentRecords = new TreeMap<>();
        recentBytes = 0;
        if (!writePendingSegments()) {
            LOG.warnf(
                    "No disk space for %d segments of idempotency records; they stay in memory until there is space",
                    pendingSegments.size());
        }
    }

    /** Writes the segments that wait for disk space; returns whether none is left. */
    boolean writePendingSegments() {
        while (!pendingSegments.isEmpty()) {
            PendingSegment oldest = pendingSegments.getFirst();
            RecordSegment segment = files.write(oldest.logIndex(), oldest.records());
            if (segment == null) {
                return false;
            }
            segments.add(segment);
            pendingSegments.removeFirst();
        }
        return true;
    }

    /** Discards the records whose keys are older than the retention period and so refused from now on. */
    void removeExpired(long newNowMs) {
        nowMs = newNowMs;
        while (!recentRecords.isEmpty() && isExpired(recentRecords.firstKey().creationMs())) {
            recentBytes -= recentRecords.pollFirstEntry().getValue().length;
        }
        pendingSegments.removeIf(
                pending -> isExpired(pending.records().lastKey().creationMs()));
        segments.removeIf(segment -> isExpired(segment.lastCreationMs()));
    }

    private boolean isExpired(long creationMs) {
        return nowMs - creationMs > CallRecords.RETENTION_MS;
    }

    void save(ControlSnapshot.Builder snapshot) {
        if (!writePendingSegments()) {
            throw StateException.refused(
                    ErrorCode.DISK_FULL, "No disk space for a segment of idempotency records", null);
        }
        if (!segments.isEmpty()) {
            snapshot.addRecords(SEGMENTS_MARKER);
        }
        recentRecords.values().forEach(bytes -> snapshot.addRecords(UnsafeByteOperations.unsafeWrap(bytes)));
        segments.forEach(segment -> snapshot.addSegments(segment.file()));
    }

    /**
     * Replaces all records by the segments of a snapshot. The caller then puts the records that the snapshot contains.
     */
    void restore(ControlSnapshot snapshot) {
        recentRecords = new TreeMap<>();
        recentBytes = 0;
        pendingSegments.clear();
        segments.clear();
        nowMs = snapshot.getTimeMs();
        if (snapshot.getSegmentsCount() > 0 && files == null) {
            throw StateException.failed(
                    ErrorCode.STORAGE_FAILED,
                    "The snapshot refers to segments of idempotency records, but there is no data folder",
                    null);
        }
        snapshot.getSegmentsList().forEach(file -> segments.add(files.load(file)));
    }

    /** Returns whether an entry in the record list of a snapshot is a record, and not the marker for segments. */
    static boolean isRecord(ByteString bytes) {
        return !bytes.equals(SEGMENTS_MARKER);
    }

    private record PendingSegment(long logIndex, TreeMap<RecordId, byte[]> records) {}
}
