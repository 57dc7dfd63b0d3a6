package io.chivehollow.state.machine;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.state.StateException;
import io.chivehollow.state.consensus.SnapshotFile;
import io.chivehollow.state.consensus.SnapshotFiles;
import io.chivehollow.state.log.SimDisk;
import io.chivehollow.state.machine.RecordOptions.RecordSafeguard;

/**
 * A member of the group: a state machine on a simulated disk, and the log since its last durable snapshot.
 *
 * <p>Throws an {@link AssertionError} if a restart loses records or a replayed command has another result.
 */
final class SimulatedMember {

    private final RandomGenerator random;
    private final RecordOptions options;
    private final List<LogEntry> log = new ArrayList<>();
    private SimDisk disk = new SimDisk();
    private byte[] durableSnapshot = new byte[0];
    private ControlState state;
    private SnapshotFiles files;
    private int killCount;
    private int damagedSegmentsFound;

    SimulatedMember(RandomGenerator random, Set<RecordSafeguard> disabledSafeguards) {
        this.random = random;
        this.options = new RecordOptions(2 + random.nextInt(6), 1 << 20, disabledSafeguards);
        restart();
    }

    ControlState state() {
        return state;
    }

    SimDisk disk() {
        return disk;
    }

    int killCount() {
        return killCount;
    }

    int damagedSegmentsFound() {
        return damagedSegmentsFound;
    }

    /** Applies a committed command; after each kill the replay applies it again, until it has taken effect. */
    CommandResult apply(long index, Command command) {
        LogEntry entry = new LogEntry(index, command);
        log.add(entry);
        try {
            entry.result = Commands.apply(state, index, command);
            state.hasDiskSpace();
        } catch (SimDisk.CrashException e) {
            kill();
        }
        return entry.result;
    }

    /** Takes a snapshot; the last one stays if the disk is full or the process is killed. */
    void snapshot() {
        try {
            byte[] taken = state.snapshot();
            // The file of the log store is replaced in one step here; LogStoreTest covers kills while it is written.
            durableSnapshot = taken;
            log.clear();
            files.retain(taken);
        } catch (SimDisk.CrashException e) {
            kill();
        } catch (StateException e) {
            if (e.code() != ErrorCode.DISK_FULL || !e.isNotRun()) {
                throw e;
            }
        }
    }

    /** Kills the process and restarts it; the disk retains what was synced and possibly more. */
    void kill() {
        killCount++;
        disk = disk.crash(random);
        restart();
    }

    /** Starts a process on the disk: restores the last durable snapshot and replays the log. */
    void restart() {
        state = ControlState.create(options);
        files = state.open(disk);
        try {
            recover(state, files);
        } catch (SimDisk.CrashException e) {
            kill();
        } catch (StateException e) {
            throw new AssertionError("Idempotency records are lost: " + e.getMessage(), e);
        }
    }

    private void recover(ControlState recovered, SnapshotFiles recoveredFiles) {
        if (durableSnapshot.length > 0) {
            recovered.restore(durableSnapshot);
        }
        recoveredFiles.retain(durableSnapshot);
        for (LogEntry entry : log) {
            CommandResult result = Commands.apply(recovered, entry.index, entry.command);
            if (entry.result == null) {
                entry.result = result;
            } else if (!entry.result.equals(result)) {
                throw new AssertionError("The replay of entry " + entry.index + " gave another result");
            }
        }
    }

    /** Continues as a member with an empty disk that receives the last snapshot; files may be damaged in transfer. */
    void continueOnNewMember() {
        if (durableSnapshot.length == 0) {
            return;
        }
        SimDisk nextDisk = new SimDisk();
        SnapshotFiles nextFiles = ControlState.create(options).open(nextDisk);
        for (SnapshotFile file : files.referencedBy(durableSnapshot)) {
            boolean isDamaged = random.nextInt(4) == 0;
            sendFile(file, nextFiles, isDamaged);
            if (nextFiles.complete(file) == isDamaged) {
                throw new AssertionError("Damage (" + isDamaged + ") of a received file was not detected correctly");
            }
            if (isDamaged) {
                sendFile(file, nextFiles, false);
                nextFiles.complete(file);
            }
        }
        disk = nextDisk.crash(random);
        restart();
    }

    private void sendFile(SnapshotFile file, SnapshotFiles to, boolean isDamaged) {
        int partBytes = 1 + random.nextInt(200);
        int damagedAt = isDamaged ? random.nextInt((int) file.sizeBytes()) : -1;
        for (int offset = 0; offset < file.sizeBytes(); offset += partBytes) {
            byte[] part = files.read(file, offset, (int) Math.min(partBytes, file.sizeBytes() - offset));
            if (damagedAt >= offset && damagedAt < offset + part.length) {
                part[damagedAt - offset] ^= 0x10;
            }
            to.write(file, offset, ByteBuffer.wrap(part));
        }
    }

    /** Checks that a copy of this member with a damaged or lost segment returns the right records or fails. */
    void checkDamage(List<IdempotencyKey> keys) {
        List<SnapshotFile> segments = files.referencedBy(durableSnapshot);
        if (segments.isEmpty()) {
            return;
        }
        SnapshotFile damaged = segments.get(random.nextInt(segments.size()));
        SimDisk damagedDisk = disk.copy();
        switch (random.nextInt(3)) {
            case 0 -> damagedDisk.remove(damaged.name());
            case 1 -> damagedDisk.truncate(damaged.name(), random.nextInt((int) damaged.sizeBytes()));
            default -> damagedDisk.corrupt(damaged.name(), random.nextInt((int) damaged.sizeBytes() - 8));
        }
        ControlState damagedCopy = ControlState.create(options);
        try {
            recover(damagedCopy, damagedCopy.open(damagedDisk));
            for (IdempotencyKey key : keys) {
                if (!damagedCopy.callRecord("red", key.text()).equals(state.callRecord("red", key.text()))) {
                    throw new AssertionError("A damaged segment changed the record of " + key);
                }
            }
        } catch (StateException e) {
            if (e.code() != ErrorCode.STORAGE_FAILED || e.isNotRun()) {
                throw e;
            }
            damagedSegmentsFound++;
        }
    }

    /** Restarts without a kill and checks that the restored state has the same snapshot. */
    void checkRestart() {
        byte[] before = durableSnapshot;
        restart();
        if (before.length > 0 && log.isEmpty() && !Arrays.equals(before, state.snapshot())) {
            throw new AssertionError("The snapshot of a restored state differs");
        }
    }

    private static final class LogEntry {
        private final long index;
        private final Command command;
        private CommandResult result;

        LogEntry(long index, Command command) {
            this.index = index;
            this.command = command;
        }
    }
}
