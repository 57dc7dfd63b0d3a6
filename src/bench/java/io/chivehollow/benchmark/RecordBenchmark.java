package io.chivehollow.benchmark;

import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import io.chivehollow.protocol.wire.BeginCall;
import io.chivehollow.protocol.wire.CallOutcome;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.FinishCall;
import io.chivehollow.protocol.wire.OpenSession;
import io.chivehollow.protocol.wire.PlainResult;
import io.chivehollow.state.log.DiskFileStore;
import io.chivehollow.state.log.LogStore;
import io.chivehollow.state.log.Snapshot;
import io.chivehollow.state.machine.ControlState;
import io.chivehollow.state.machine.IdempotencyKey;

/**
 * Measures the heap for each retained idempotency record, and the time of a snapshot and of a BeginCall command.
 *
 * <p>Arguments: numbers of records. For the numbers after {@code --any-age} the keys have random ages, so that each
 * segment contains keys of the whole retention period.
 */
public final class RecordBenchmark {

    private static final long START_MS = 1_800_000_000_000L;
    private static final int CALLS = 20_000;
    private static final int SNAPSHOTS = 7;

    /** Size of a response body with which a record takes 448 bytes in a snapshot. */
    private static final int BODY_BYTES = 310;

    private final SplittableRandom random = new SplittableRandom(1);
    private final ControlState state;
    private final LogStore store;
    private final int records;
    private final boolean hasRandomAges;
    private long index;

    private RecordBenchmark(ControlState state, LogStore store, int records, boolean hasRandomAges) {
        this.state = state;
        this.store = store;
        this.records = records;
        this.hasRandomAges = hasRandomAges;
    }

    /** Runs the benchmark once for each number of records. */
    public static void main(String[] args) throws Exception {
        boolean hasRandomAges = false;
        for (String records : args) {
            if (records.equals("--any-age")) {
                hasRandomAges = true;
                continue;
            }
            Path folder = Files.createTempDirectory("records");
            try (DiskFileStore files = DiskFileStore.open(folder)) {
                ControlState state = ControlState.create();
                state.open(files);
                LogStore store = LogStore.open(files, "member", new Random(1)).store();
                new RecordBenchmark(state, store, Integer.parseInt(records), hasRandomAges).run();
            }
            delete(folder);
        }
    }

    private void run() {
        long emptyBytes = usedHeapBytes();
        apply(Command.newBuilder()
                .setOpenSession(OpenSession.newBuilder().setSession("s").setInstance("i")));
        IdempotencyKey[] sample = new IdempotencyKey[CALLS];
        long slowestNanos = 0;
        long startNanos = System.nanoTime();
        for (int i = 0; i < records; i++) {
            IdempotencyKey key = IdempotencyKey.create(hasRandomAges ? randomTimeMs() : timeMs(), random);
            sample[i % CALLS] = i < CALLS || random.nextInt(4) == 0 ? key : sample[i % CALLS];
            long before = System.nanoTime();
            begin(key);
            finish(key);
            slowestNanos = Math.max(slowestNanos, System.nanoTime() - before);
        }
        long fillNanos = System.nanoTime() - startNanos;
        double heapBytes = (usedHeapBytes() - emptyBytes) / (double) records;
        System.out.printf(
                "%d records%s: heap %.1f bytes for each record%n",
                records, hasRandomAges ? " of any age" : "", heapBytes);
        System.out.printf(
                "  BeginCall and FinishCall: %.1f us on average, slowest %.1f ms%n",
                fillNanos / 1e3 / records, slowestNanos / 1e6);
        measureSnapshots();
        measureCalls("new key", () -> begin(IdempotencyKey.create(timeMs(), random)));
        measureCalls("new key of random age", () -> begin(IdempotencyKey.create(randomTimeMs(), random)));
        measureCalls("resend", () -> begin(sample[random.nextInt(CALLS)]));
    }

    private void measureSnapshots() {
        long[] encodeNanos = new long[SNAPSHOTS];
        long[] totalNanos = new long[SNAPSHOTS];
        int sizeBytes = 0;
        for (int i = 0; i < SNAPSHOTS; i++) {
            long before = System.nanoTime();
            byte[] encoded = state.snapshot();
            encodeNanos[i] = System.nanoTime() - before;
            store.saveSnapshot(new Snapshot(index, 1, new byte[0], encoded));
            sizeBytes = encoded.length;
            totalNanos[i] = System.nanoTime() - before;
        }
        Arrays.sort(encodeNanos);
        Arrays.sort(totalNanos);
        System.out.printf(
                "  snapshot: %d bytes, taken in median %.1f ms, taken and stored in median %.1f ms, slowest %.1f ms%n",
                sizeBytes,
                encodeNanos[SNAPSHOTS / 2] / 1e6,
                totalNanos[SNAPSHOTS / 2] / 1e6,
                totalNanos[SNAPSHOTS - 1] / 1e6);
    }

    private void measureCalls(String name, Runnable call) {
        long[] nanos = new long[CALLS];
        for (int i = 0; i < CALLS; i++) {
            long before = System.nanoTime();
            call.run();
            nanos[i] = System.nanoTime() - before;
        }
        Arrays.sort(nanos);
        System.out.printf(
                "  BeginCall, %s: median %.1f us, p99 %.1f us%n",
                name, nanos[CALLS / 2] / 1e3, nanos[CALLS / 100 * 99] / 1e3);
    }

    /** Returns the time of the next command. The records are spread over 20 h, so that none expires. */
    private long timeMs() {
        if (hasRandomAges) {
            return START_MS + 72_000_000;
        }
        return START_MS + (long) (72_000_000.0 * Math.min(index, 2L * records) / (2L * records));
    }

    private long randomTimeMs() {
        return START_MS + random.nextLong(72_000_000);
    }

    private void begin(IdempotencyKey key) {
        apply(Command.newBuilder()
                .setBeginCall(BeginCall.newBuilder()
                        .setTeam("team-1")
                        .setIdempotencyKey(key.text())
                        .setRoute("POST /bookings")
                        .setBodySha256(ByteString.copyFrom(new byte[32]))
                        .setSession("s")
                        .setCommandId("command-" + index)));
    }

    private void finish(IdempotencyKey key) {
        apply(Command.newBuilder()
                .setFinishCall(FinishCall.newBuilder()
                        .setTeam("team-1")
                        .setIdempotencyKey(key.text())
                        .setAttempt(1)
                        .setOutcome(CallOutcome.COMPLETED)
                        .setResult(PlainResult.newBuilder()
                                .setStatus(200)
                                .setBody(ByteString.copyFrom(new byte[BODY_BYTES])))));
    }

    private void apply(Command.Builder command) {
        state.apply(++index, command.setTimeMs(timeMs()).build().toByteArray());
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static void delete(Path folder) throws Exception {
        try (Stream<Path> paths = Files.walk(folder)) {
            List<Path> all = paths.sorted(Comparator.reverseOrder()).toList();
            for (Path path : all) {
                Files.delete(path);
            }
        }
    }
}
