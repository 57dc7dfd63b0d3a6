package io.chivehollow.benchmark;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import com.google.protobuf.ByteString;
import io.chivehollow.base.Clock;
import io.chivehollow.base.FailureDomain;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.coordination.config.ConfigWatcher;
import io.chivehollow.coordination.config.Configuration;
import io.chivehollow.coordination.replica.ControlClient;
import io.chivehollow.protocol.wire.ApplyRelease;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.runtime.ChivehollowProcess;
import io.chivehollow.settings.LogFormat;
import io.chivehollow.settings.ReplicaSettings;
import io.chivehollow.settings.Settings;
import io.chivehollow.transport.ConnectionPool;
import io.chivehollow.transport.FrameClient;
import io.chivehollow.transport.TransportOptions;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/**
 * Measures the time in which a release takes effect at all readers of the configuration, and the cost of idle readers,
 * with a configuration of the target size.
 *
 * <p>A reader is a {@link ConfigWatcher}. Three replicas and all readers run in this process, so traffic and processor
 * time include both sides. Arguments: numbers of readers, ascending. Used by one thread.
 */
public final class ReaderBenchmark {

    private static final int REPLICAS = 3;
    private static final int[] DEFAULT_READERS = {1, 10, 100, 300};
    private static final int RELEASES = 20;
    private static final int IDLE_SECONDS = 15;
    private static final byte[] SECRET = "secret-of-the-reader-benchmark".getBytes(StandardCharsets.UTF_8);

    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(2);
    private final Scheduler scheduler = Scheduler.on(executor);
    private final List<InetSocketAddress> replicas = new ArrayList<>();
    private final List<AutoCloseable> closeables = new ArrayList<>();
    private ControlClient control;
    private long nextReleaseNumber = 1;

    private ReaderBenchmark() {}

    /** Runs all measurements and prints them. */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("chivehollow-readers");
        ReaderBenchmark benchmark = new ReaderBenchmark();
        try {
            int[] readers = Arrays.stream(args).mapToInt(Integer::parseInt).toArray();
            benchmark.run(folder, readers.length == 0 ? DEFAULT_READERS : readers);
        } finally {
            for (AutoCloseable closeable : benchmark.closeables) {
                closeable.close();
            }
            benchmark.executor.shutdownNow();
            benchmark.eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
            MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE);
        }
    }

    private void run(Path folder, int[] counts) throws Exception {
        startReplicas(folder);
        TransportOptions options = TransportOptions.of(InstanceId.of("operator"), "operator", SECRET);
        control = ControlClient.create(replicas, pool(options), Clock.system(), scheduler);
        apply(TargetSizeRelease.noteAddingEverything(nextReleaseNumber));
        printIdleUsage(0, 0);
        List<ConfigWatcher> readers = new ArrayList<>();
        for (int count : counts) {
            while (readers.size() < count) {
                readers.add(startReader(readers.size()));
            }
            awaitConfiguration(readers, readers.get(0));
            if (count == counts[0]) {
                Configuration configuration = readers.get(0).current().orElseThrow();
                System.out.printf(
                        "configuration of the target size: %d bytes%n",
                        configuration.state().getSerializedSize());
            }
            measureReleases(readers);
            printIdleUsage(count, IDLE_SECONDS);
        }
    }

    private void startReplicas(Path folder) throws IOException {
        List<ReplicaSettings.Member> members = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                replicas.add((InetSocketAddress) socket.getLocalSocketAddress());
            }
            members.add(new ReplicaSettings.Member("replica-" + i, replicas.get(i)));
        }
        for (int i = 0; i < REPLICAS; i++) {
            ReplicaSettings replica =
                    new ReplicaSettings(replicas.get(i), folder.resolve("data-" + i), members, 10_000, 2);
            Settings settings = new Settings(
                    InstanceId.of("replica-" + i),
                    FailureDomain.of("d"),
                    SECRET,
                    replicas,
                    null,
                    LogFormat.TEXT,
                    null,
                    null,
                    replica);
            closeables.add(ChivehollowProcess.start(settings));
        }
    }

    private ConfigWatcher startReader(int index) {
        InstanceId instance = InstanceId.of("reader-" + index);
        ConnectionPool connections = pool(TransportOptions.of(instance, "reader", SECRET));
        ConfigWatcher watcher = ConfigWatcher.start(instance, replicas, connections, Clock.system(), scheduler);
        closeables.add(0, watcher);
        return watcher;
    }

    private ConnectionPool pool(TransportOptions options) {
        ConnectionPool connections = ConnectionPool.create(FrameClient.create(options, eventLoops), eventLoops);
        closeables.add(connections);
        return connections;
    }

    private void measureReleases(List<ConfigWatcher> readers) throws Exception {
        Latencies latencies = new Latencies();
        for (int i = 0; i < RELEASES; i++) {
            long startNanos = System.nanoTime();
            apply(TargetSizeRelease.noteChangingOneRate(nextReleaseNumber));
            long number = nextReleaseNumber - 1;
            for (ConfigWatcher reader : readers) {
                while (reader.current().orElseThrow().releaseNumber() < number) {
                    TimeUnit.MICROSECONDS.sleep(200);
                }
            }
            latencies.add(System.nanoTime() - startNanos);
        }
        System.out.printf("release until in effect at all of %d readers: %s%n", readers.size(), latencies);
    }

    private void printIdleUsage(int readers, int seconds) throws Exception {
        if (seconds == 0) {
            TimeUnit.SECONDS.sleep(2);
        }
        int duration = Math.max(seconds, IDLE_SECONDS);
        ProcessUsage before = ProcessUsage.read(ProcessHandle.current().pid());
        TimeUnit.SECONDS.sleep(duration);
        ProcessUsage after = ProcessUsage.read(ProcessHandle.current().pid());
        System.out.printf(
                "at rest with 3 replicas and %d readers: %d bytes/s written, %.2f%% of a core, %.0f MB resident%n",
                readers,
                (after.writtenBytes() - before.writtenBytes()) / duration,
                (after.cpuMs() - before.cpuMs()) / (duration * 10.0),
                after.residentKb() / 1024.0);
    }

    private void apply(String note) throws Exception {
        Command command = Command.newBuilder()
                .setApplyRelease(ApplyRelease.newBuilder()
                        .setNoteId("note-" + nextReleaseNumber)
                        .setNumber(nextReleaseNumber)
                        .setOperator("benchmark")
                        .setNote(ByteString.copyFromUtf8(note)))
                .build();
        CommandResult result = control.submit(command).get(30, TimeUnit.SECONDS);
        if (!result.getErrorCode().isEmpty()) {
            throw new IllegalStateException(result.getErrorCode() + ": " + result.getFaultsList());
        }
        nextReleaseNumber++;
    }

    private static void awaitConfiguration(List<ConfigWatcher> readers, ConfigWatcher first)
            throws InterruptedException {
        for (ConfigWatcher reader : readers) {
            while (reader.current().isEmpty() || first.current().isEmpty()) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
        }
    }
}
