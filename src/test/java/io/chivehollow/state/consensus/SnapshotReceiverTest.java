package io.chivehollow.state.consensus;

import java.nio.charset.StandardCharsets;

import io.chivehollow.state.consensus.wire.InstallSnapshot;
import io.chivehollow.state.log.SimDisk;
import io.chivehollow.state.log.Snapshot;
import io.chivehollow.state.machine.SmallSegments;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against faults in the transfer of a snapshot and of the files that it references. */
public class SnapshotReceiverTest {

    private static final int PART_BYTES = 100;

    private final CallStateMachine sender = new CallStateMachine(SmallSegments.create(), new SafetyChecker());
    private final SnapshotFiles sent = sender.open(new SimDisk());
    private int commands;

    /** Guards against a receiver that requests the same part immediately and repeatedly while its disk is full. */
    @Test
    public void partIsRejectedWhileDiskIsFull() {
        SnapshotStream stream = takeSnapshot();
        SimDisk disk = new SimDisk();
        SnapshotFiles received = new CallStateMachine(SmallSegments.create(), new SafetyChecker()).open(disk);
        SnapshotReceiver receipt = newReceiver(stream, received);
        int stateBytes = stream.snapshot().state().length;
        while (receipt.offset() < stateBytes) {
            assertTrue(receipt.add(part(stream, receipt.offset())));
        }
        disk.setFull(true);
        assertFalse(receipt.add(part(stream, stateBytes)));
        assertEquals(receipt.offset(), stateBytes);
        disk.setFull(false);
        complete(receipt, stream);
    }

    /** Guards against sending files that the receiver already has. */
    @Test
    public void filesAlreadyStoredAreSkipped() {
        SnapshotFiles received = new CallStateMachine(SmallSegments.create(), new SafetyChecker()).open(new SimDisk());
        SnapshotStream first = takeSnapshot();
        complete(newReceiver(first, received), first);
        SnapshotStream second = takeSnapshot();
        long skippedBytes = sent.referencedBy(first.snapshot().state()).stream()
                .mapToLong(SnapshotFile::sizeBytes)
                .sum();
        SnapshotReceiver receipt = newReceiver(second, received);
        int stateBytes = second.snapshot().state().length;
        while (receipt.offset() < stateBytes) {
            receipt.add(part(second, receipt.offset()));
        }
        assertEquals(receipt.offset(), stateBytes + skippedBytes);
        complete(receipt, second);
    }

    private SnapshotStream takeSnapshot() {
        for (int i = 0; i < 20; i++) {
            commands++;
            sender.apply(commands, ("c" + commands).getBytes(StandardCharsets.UTF_8));
        }
        return new SnapshotStream(new Snapshot(commands, 1, new byte[0], sender.snapshot()), sent);
    }

    private static SnapshotReceiver newReceiver(SnapshotStream stream, SnapshotFiles files) {
        return new SnapshotReceiver(files, 1, part(stream, 0));
    }

    private static InstallSnapshot part(SnapshotStream stream, long offset) {
        return InstallSnapshot.newBuilder()
                .setIndex(stream.snapshot().index())
                .setTerm(1)
                .setOffset(offset)
                .setSizeBytes(stream.snapshot().state().length)
                .setState(stream.read(offset, PART_BYTES))
                .build();
    }

    private static void complete(SnapshotReceiver receiver, SnapshotStream stream) {
        while (!receiver.isComplete()) {
            long before = receiver.offset();
            assertTrue(receiver.add(part(stream, before)));
            assertTrue(receiver.offset() > before, "No progress at " + before);
        }
        assertEquals(
                receiver.toSnapshot(part(stream, 0)).state(), stream.snapshot().state());
    }
}
