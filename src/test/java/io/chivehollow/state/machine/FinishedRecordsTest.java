package io.chivehollow.state.machine;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

import com.google.protobuf.InvalidProtocolBufferException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.CallOutcome;
import io.chivehollow.protocol.wire.CallRecord;
import io.chivehollow.protocol.wire.ControlSnapshot;
import io.chivehollow.state.StateException;
import io.chivehollow.state.consensus.SnapshotFile;
import io.chivehollow.state.consensus.SnapshotFiles;
import io.chivehollow.state.log.SimDisk;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/** Checks the number of reads, the memory and the files that finished idempotency records need. */
public class FinishedRecordsTest {

    private static final long START_MS = 1_800_000_000_000L;
    private static final int RECORDS_PER_SEGMENT = 100;

    private final SplittableRandom random = new SplittableRandom(7);
    private final List<IdempotencyKey> finished = new ArrayList<>();
    private SimDisk disk = new SimDisk();
    private ControlState state = SmallSegments.create(RECORDS_PER_SEGMENT, Set.of());
    private SnapshotFiles files = SnapshotFiles.NONE;
    private long index;

    @BeforeMethod
    public void setUp() {
        disk = new SimDisk();
        state = SmallSegments.create(RECORDS_PER_SEGMENT, Set.of());
        files = state.open(disk);
        finished.clear();
        index = 0;
        Commands.apply(state, ++index, Commands.openSession("s", "gateway"));
    }

    /** Guards against lookups of new keys that read every segment of the retention period. */
    @Test
    public void lookupsOfNewKeysRarelyReadSegments() {
        finishCalls(50 * RECORDS_PER_SEGMENT, START_MS);
        long before = disk.reads();
        for (int i = 0; i < 10_000; i++) {
            Commands.apply(state, ++index, Commands.begin(START_MS, "c", "s", newKey(START_MS), "body"));
        }
        // All 50 segments have keys of the same time; the filter of each may let 5 of 10,000 keys pass.
        long reads = disk.reads() - before;
        assertTrue(reads <= 2 * 50 * 5, reads + " reads");
        finished.forEach(this::assertCompleted);
    }

    /** Guards against records that are lost or hidden, or memory that grows without bound, while the disk is full. */
    @Test
    public void fullDiskKeepsRecordsInMemoryAndReportsNoSpace() {
        finishCalls(RECORDS_PER_SEGMENT, START_MS);
        disk.setFull(true);
        finishCalls(2 * RECORDS_PER_SEGMENT + 1, START_MS);
        assertFalse(state.hasDiskSpace());
        assertEquals(expectThrows(StateException.class, state::snapshot).code(), ErrorCode.DISK_FULL);
        finished.forEach(this::assertCompleted);
        disk.setFull(false);
        assertTrue(state.hasDiskSpace());
        assertEquals(files.referencedBy(state.snapshot()).size(), 3);
        finished.forEach(this::assertCompleted);
    }

    /** Guards against a file that counts as present after it was deleted because the disk was full. */
    @Test
    public void fileThatCannotBeWrittenAgainIsNotPresent() {
        finishCalls(RECORDS_PER_SEGMENT, START_MS);
        SnapshotFile file = files.referencedBy(state.snapshot()).get(0);
        assertTrue(files.has(file));
        disk.setFull(true);
        TreeMap<RecordId, byte[]> records = new TreeMap<>();
        finished.forEach(key -> records.put(
                RecordId.of(key, "red"),
                state.callRecord("red", key.text()).orElseThrow().toByteArray()));
        assertNull(((RecordFiles) files).write(2L * RECORDS_PER_SEGMENT + 1, records));
        assertFalse(files.has(file));
    }

    /** Guards against files that stay after their last record expired, or are deleted while a snapshot needs them. */
    @Test
    public void expiredSegmentsAreDeletedAfterTheNextSnapshot() {
        finishCalls(RECORDS_PER_SEGMENT, START_MS);
        finishCalls(RECORDS_PER_SEGMENT, START_MS + 1_000);
        long expiryMs = START_MS + CallRecords.RETENTION_MS + 1;
        Commands.apply(
                state,
                ++index,
                Commands.closeSession("other").toBuilder().setTimeMs(expiryMs).build());
        assertEquals(disk.names().size(), 2);
        byte[] snapshot = state.snapshot();
        assertEquals(files.referencedBy(snapshot).size(), 1);
        files.retain(snapshot);
        assertEquals(disk.names(), List.of(files.referencedBy(snapshot).get(0).name()));
        assertTrue(state.callRecord("red", finished.get(0).text()).isEmpty());
        assertCompleted(finished.get(RECORDS_PER_SEGMENT));
    }

    /** Guards against a software version without segments that restores a snapshot and loses the records in them. */
    @Test
    public void snapshotWithSegmentsHasARecordThatCannotBeParsed() throws InvalidProtocolBufferException {
        finishCalls(RECORDS_PER_SEGMENT + 1, START_MS);
        ControlSnapshot snapshot = ControlSnapshot.parseFrom(state.snapshot());
        expectThrows(InvalidProtocolBufferException.class, () -> CallRecord.parseFrom(snapshot.getRecords(0)));
        assertEquals(snapshot.getRecordsCount(), 2);
        ControlState restored = SmallSegments.create(RECORDS_PER_SEGMENT, Set.of());
        restored.open(disk);
        restored.restore(snapshot.toByteArray());
        assertEquals(ControlSnapshot.parseFrom(restored.snapshot()), snapshot);
    }

    /** Guards against a member that continues after a failed sync of a segment. */
    @Test
    public void failedSyncIsFatal() {
        disk.setSyncFailing(true);
        StateException failure = expectThrows(StateException.class, () -> finishCalls(RECORDS_PER_SEGMENT, START_MS));
        assertEquals(failure.code(), ErrorCode.STORAGE_FAILED);
        assertFalse(failure.isNotRun());
    }

    private void finishCalls(int count, long timeMs) {
        for (int i = 0; i < count; i++) {
            IdempotencyKey key = newKey(timeMs);
            Commands.apply(state, ++index, Commands.begin(timeMs, "c" + index, "s", key, "body"));
            Commands.apply(state, ++index, Commands.finish(timeMs, key, 1, CallOutcome.COMPLETED));
            finished.add(key);
        }
    }

    private IdempotencyKey newKey(long timeMs) {
        return IdempotencyKey.create(timeMs, random);
    }

    private void assertCompleted(IdempotencyKey key) {
        assertEquals(state.callRecord("red", key.text()).orElseThrow().getOutcome(), CallOutcome.COMPLETED);
    }
}
