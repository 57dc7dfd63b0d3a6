package io.chivehollow.state.log;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.state.StateException;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/** Guards against a store that loses synced entries, returns damaged ones, or continues after a failed sync. */
public class LogStoreTest {

    private static final Random RANDOM = new Random(7);

    private static LogStore.RecoveredLog open(SimDisk disk) {
        return LogStore.open(disk, "m", RANDOM);
    }

    private static LogEntry entry(long index, long term) {
        byte[] data = ("entry " + index + " of term " + term).getBytes(StandardCharsets.UTF_8);
        return new LogEntry(index, term, LogEntry.EntryKind.COMMAND, data);
    }

    private static void appendSynced(LogStore store, long from, long to, long term) {
        for (long index = from; index <= to; index++) {
            store.append(List.of(entry(index, term)));
            store.sync();
        }
    }

    private static List<String> terms(List<LogEntry> entries) {
        List<String> terms = new ArrayList<>();
        entries.forEach(entry -> terms.add(entry.index() + "/" + entry.term()));
        return terms;
    }

    /** Entries of a new leader must replace all stored entries from their first index on. */
    @Test
    public void entriesOfNewTermReplaceStoredOnes() {
        SimDisk disk = new SimDisk();
        LogStore store = open(disk).store();
        appendSynced(store, 1, 4, 1);
        appendSynced(store, 3, 3, 2);
        assertEquals(terms(open(disk.crash(RANDOM)).entries()), List.of("1/1", "2/1", "3/2"));
    }

    /** After a crash in any file operation, all synced entries and a prefix of the unsynced ones must be recovered. */
    @Test
    public void crashAtEachFileOperationKeepsSyncedEntries() {
        int crashes = 0;
        for (int step = 1; ; step++) {
            SimDisk disk = new SimDisk();
            WorkloadProgress done = new WorkloadProgress();
            disk.crashAfter(step);
            try {
                runWorkload(disk, done);
                break;
            } catch (SimDisk.CrashException e) {
                crashes++;
            }
            for (int seed = 0; seed < 5; seed++) {
                verifyAfterCrash(disk.crash(new Random(1_000L * step + seed)), done, step);
            }
        }
        assertTrue(crashes > 60, "Only " + crashes + " steps were tried");
    }

    private static void runWorkload(SimDisk disk, WorkloadProgress done) {
        LogStore store = open(disk).store();
        done.isOpened = true;
        done.incarnation = store.memberState().incarnation();
        for (long index = 1; index <= 20; index++) {
            store.append(List.of(entry(index, 1)));
            done.written = index;
            store.sync();
            done.synced = index;
            if (index % 7 == 0) {
                store.saveVote(index, "v" + index);
                done.term = index;
                store.saveSnapshot(new Snapshot(index - 2, 1, new byte[] {1}, new byte[] {2}));
                done.snapshot = index - 2;
            }
        }
        done.isInstalling = true;
        store.installSnapshot(new Snapshot(50, 3, new byte[] {1}, new byte[] {3}));
        done.snapshot = 50;
        store.append(List.of(entry(51, 3)));
        store.sync();
        done.synced = 51;
    }

    private static void verifyAfterCrash(SimDisk disk, WorkloadProgress done, int step) {
        LogStore.RecoveredLog opened = open(disk);
        LogStore store = opened.store();
        String where = "step " + step;
        if (done.isOpened) {
            assertEquals(store.memberState().incarnation(), done.incarnation, where);
        }
        assertTrue(store.memberState().term() >= done.term, where);
        long snapshotIndex = store.snapshot() == null ? 0 : store.snapshot().index();
        assertTrue(snapshotIndex >= done.snapshot, where);
        long last = snapshotIndex + opened.entries().size();
        assertTrue(last >= done.synced, where + ": last " + last + ", synced " + done.synced);
        assertTrue(done.isInstalling || last <= done.written + 1, where);
        long expected = snapshotIndex;
        for (LogEntry entry : opened.entries()) {
            expected++;
            assertEquals(entry.index(), expected, where);
            assertEquals(entry.data(), entry(entry.index(), entry.term()).data(), where);
        }
        // The recovered store must accept and retain new entries.
        appendSynced(store, last + 1, last + 2, 9);
        assertEquals(open(disk.crash(RANDOM)).entries().size(), opened.entries().size() + 2, where);
    }

    /**
     * A damaged last record may have been acknowledged, so the member must truncate it and also change its
     * incarnation.
     */
    @Test
    public void damagedLastRecordChangesIncarnation() {
        SimDisk disk = new SimDisk();
        LogStore store = open(disk).store();
        appendSynced(store, 1, 3, 1);
        disk.corrupt(disk.lastSegment(), 5);
        LogStore.RecoveredLog opened = open(disk);
        assertEquals(terms(opened.entries()), List.of("1/1", "2/1"));
        assertNotEquals(
                opened.store().memberState().incarnation(), store.memberState().incarnation());
    }

    /** A damaged length field must not make a synced record look like a torn write. */
    @Test
    public void damagedLengthOfLastRecordChangesIncarnation() {
        SimDisk disk = new SimDisk();
        LogStore store = open(disk).store();
        appendSynced(store, 1, 1, 1);
        int recordBytes = (int) LogRecordCodec.sizeOf(List.of(entry(1, 1)));
        disk.corrupt(disk.lastSegment(), recordBytes - 1 - 4);
        assertNotEquals(
                open(disk).store().memberState().incarnation(),
                store.memberState().incarnation());
    }

    /** Damage to any byte of a record before the last one must be a fatal error. */
    @Test
    public void damageBeforeLastRecordIsFatal() {
        int recordBytes = (int) LogRecordCodec.sizeOf(List.of(entry(1, 1)));
        for (int position = 0; position < recordBytes; position++) {
            SimDisk disk = new SimDisk();
            appendSynced(open(disk).store(), 1, 3, 1);
            disk.corrupt(disk.lastSegment(), recordBytes + position);
            StateException failure = expectThrows(StateException.class, () -> open(disk));
            assertEquals(failure.code(), ErrorCode.STORAGE_FAILED);
            assertFalse(failure.isNotRun());
        }
    }

    /** A failed sync must be an error with unknown outcome, because the entries may or may not be durable. */
    @Test
    public void failedSyncIsFatal() {
        SimDisk disk = new SimDisk();
        LogStore store = open(disk).store();
        appendSynced(store, 1, 1, 1);
        disk.setSyncFailing(true);
        store.append(List.of(entry(2, 1)));
        assertFalse(expectThrows(StateException.class, store::sync).isNotRun());
    }

    /**
     * On a full disk, entries must be refused but a vote stored, and entries must be accepted when there is space
     * again.
     */
    @Test
    public void fullDiskRefusesEntriesButStoresVote() {
        SimDisk disk = new SimDisk();
        LogStore store = open(disk).store();
        appendSynced(store, 1, 2, 1);
        disk.setFull(true);
        StateException refusal =
                expectThrows(StateException.class, () -> store.reserve(2L * LogStore.RESERVATION_STEP_BYTES));
        assertEquals(refusal.code(), ErrorCode.DISK_FULL);
        assertTrue(refusal.isNotRun());
        store.saveVote(5, "other");
        disk.setFull(false);
        appendSynced(store, 3, 3, 1);
        assertEquals(open(disk.crash(RANDOM)).store().memberState().vote(), "other");
        assertEquals(terms(open(disk.crash(RANDOM)).entries()), List.of("1/1", "2/1", "3/1"));
    }

    /**
     * A write that is refused halfway must fail with an unknown outcome, and the store must recover all synced entries
     * when it is opened again, and only then if the disk accepts writes.
     */
    @Test
    public void refusedWriteIsRecoveredWhenThereIsSpace() throws Exception {
        SimDisk disk = new SimDisk();
        LogStore store = open(disk).store();
        appendSynced(store, 1, 3, 1);
        disk.setRefusingWrites(true);
        StateException failure = expectThrows(StateException.class, () -> store.append(List.of(entry(4, 1))));
        assertFalse(failure.isNotRun());
        assertTrue(WriteFailedException.isCauseOf(failure), failure.toString());
        store.close();
        expectThrows(DiskFullException.class, () -> LogStore.checkWritable(disk));
        assertTrue(WriteFailedException.isCauseOf(expectThrows(StateException.class, () -> open(disk))));
        disk.setRefusingWrites(false);
        LogStore.checkWritable(disk);
        LogStore.RecoveredLog opened = open(disk);
        assertEquals(terms(opened.entries()), List.of("1/1", "2/1", "3/1"));
        assertEquals(
                opened.store().memberState().incarnation(), store.memberState().incarnation());
        appendSynced(opened.store(), 4, 4, 2);
        assertEquals(terms(open(disk.crash(RANDOM)).entries()), List.of("1/1", "2/1", "3/1", "4/2"));
    }

    /** A disk that refuses every write must stop the store also if the refused write was to reserve space. */
    @Test
    public void refusedReservationIsFatalIfNoVoteCanBeStored() {
        SimDisk disk = new SimDisk();
        LogStore store = open(disk).store();
        appendSynced(store, 1, 1, 1);
        disk.setRefusingWrites(true);
        StateException failure =
                expectThrows(StateException.class, () -> store.reserve(2L * LogStore.RESERVATION_STEP_BYTES));
        assertFalse(failure.isNotRun());
        assertTrue(WriteFailedException.isCauseOf(failure), failure.toString());
    }

    /**
     * After a failed sync, the operating system may report the unsynced entries as written; an entry that is recovered
     * then is acknowledged, so it must be durable.
     */
    @Test
    public void entriesOfFailedSyncAreWrittenAgain() {
        SimDisk disk = new SimDisk();
        LogStore store = open(disk).store();
        appendSynced(store, 1, 2, 1);
        disk.setDroppingOnFailedSync(true);
        disk.setSyncFailing(true);
        store.append(List.of(entry(3, 1)));
        expectThrows(StateException.class, store::sync);
        store.close();
        disk.setSyncFailing(false);
        List<String> recovered = terms(open(disk).entries());
        assertEquals(recovered, List.of("1/1", "2/1", "3/1"));
        assertEquals(terms(open(disk.crash(RANDOM)).entries()), recovered);
    }

    /** Segments that a snapshot covers must be deleted, because otherwise the disk fills up. */
    @Test
    public void snapshotDeletesCoveredSegments() {
        SimDisk disk = new SimDisk();
        LogStore store = open(disk).store();
        byte[] large = new byte[LogStore.SEGMENT_BYTES / 2];
        for (long index = 1; index <= 10; index++) {
            store.append(List.of(new LogEntry(index, 1, LogEntry.EntryKind.COMMAND, large)));
            store.sync();
        }
        long before = segments(disk);
        store.saveSnapshot(new Snapshot(9, 1, new byte[0], new byte[0]));
        assertTrue(before > 4, "Only " + before + " segments");
        assertTrue(segments(disk) <= 2, "Still " + segments(disk) + " segments");
        assertEquals(terms(open(disk.crash(RANDOM)).entries()), List.of("10/1"));
    }

    private static long segments(SimDisk disk) {
        return disk.names().stream().filter(name -> name.startsWith("segment-")).count();
    }

    /** A data folder must not be used by a member with another id. */
    @Test
    public void folderOfAnotherMemberIsRefused() {
        SimDisk disk = new SimDisk();
        open(disk);
        expectThrows(StateException.class, () -> LogStore.open(disk, "other", RANDOM));
    }

    /** The steps that the workload has completed when the disk crashes. */
    private static final class WorkloadProgress {
        private boolean isOpened;
        private boolean isInstalling;
        private long incarnation;
        private long term;
        private long written;
        private long synced;
        private long snapshot;
    }
}
