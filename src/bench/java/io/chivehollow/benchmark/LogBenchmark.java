package io.chivehollow.benchmark;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.management.OperatingSystemMXBean;
import io.chivehollow.base.InstanceId;
import io.chivehollow.state.consensus.ConsensusMember;

/**
 * Measures throughput, idle cost, failover and recovery of the replicated log. All members run in this process, with
 * synced files and loopback connections.
 *
 * <p>Options: {@code --json}, {@code --folder PATH} for the log files, {@code --seconds N} for each throughput
 * measurement. Used by one thread.
 */
public final class LogBenchmark {

    private static final int COMMAND_BYTES = 256;
    private static final int[] PROPOSERS = {1, 8, 64, 256};
    private static final int[] LOG_LENGTHS = {1_000, 10_000, 100_000};
    private static final int FAILOVERS = 10;
    private static final int UNLIMITED = Integer.MAX_VALUE;
    private static final int DEFAULT_SNAPSHOT_ENTRIES = 10_000;

    private final Path folder;
    private final int seconds;
    private final List<Record> results = new ArrayList<>();
    private int groupCount;

    private LogBenchmark(Path folder, int seconds) {
        this.folder = folder;
        this.seconds = seconds;
    }

    /** Runs all measurements and prints them. */
    public static void main(String[] args) throws Exception {
        List<String> options = Arrays.asList(args);
        Path folder = options.contains("--folder")
                ? Path.of(options.get(options.indexOf("--folder") + 1))
                : Files.createTempDirectory("log-benchmark");
        int seconds =
                options.contains("--seconds") ? Integer.parseInt(options.get(options.indexOf("--seconds") + 1)) : 4;
        LogBenchmark benchmark = new LogBenchmark(folder, seconds);
        benchmark.run();
        benchmark.print(options.contains("--json"));
        // The event loops of closed groups may continue to run for a second.
        System.exit(0);
    }

    private void run() throws Exception {
        for (int members : new int[] {3, 5}) {
            try (LocalConsensusGroup group = newGroup(members, DEFAULT_SNAPSHOT_ENTRIES)) {
                measureThroughput(group, members);
            }
        }
        try (LocalConsensusGroup group = newGroup(3, DEFAULT_SNAPSHOT_ENTRIES)) {
            measureIdle(group, 3);
            measureFailover(group, false);
            measureFailover(group, true);
        }
        for (int length : LOG_LENGTHS) {
            measureRecovery(length, UNLIMITED);
            measureRecovery(length, length / 10);
        }
        deleteAll();
    }

    private LocalConsensusGroup newGroup(int members, int snapshotEntries) {
        groupCount++;
        return new LocalConsensusGroup(members, folder.resolve("run" + groupCount), snapshotEntries);
    }

    private void measureThroughput(LocalConsensusGroup group, int members) throws InterruptedException {
        group.awaitReplicated();
        ConsensusMember leader = group.awaitLeader();
        new ProposalLoad(leader, 64, TimeUnit.SECONDS.toNanos(2)).run();
        for (int proposers : PROPOSERS) {
            ProposalLoad load = new ProposalLoad(leader, proposers, TimeUnit.SECONDS.toNanos(seconds));
            load.run();
            results.add(load.result(members));
        }
    }

    private void measureIdle(LocalConsensusGroup group, int members) throws InterruptedException {
        group.awaitReplicated();
        Thread.sleep(2_000);
        OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long bytes = group.sentBytes();
        long cpuNanos = system.getProcessCpuTime();
        long start = System.nanoTime();
        Thread.sleep(10_000);
        double elapsed = (System.nanoTime() - start) / 1e9;
        double cpu = (system.getProcessCpuTime() - cpuNanos) / 1e9 / elapsed / members;
        double sent = (group.sentBytes() - bytes) / elapsed / members;
        results.add(new Idle("idle", members, Math.round(sent), round(cpu * 100)));
    }

    private void measureFailover(LocalConsensusGroup group, boolean isOrderly) throws InterruptedException {
        List<Double> times = new ArrayList<>();
        for (int i = 0; i < FAILOVERS; i++) {
            group.awaitReplicated();
            ConsensusMember leader = group.awaitLeader();
            long start = System.nanoTime();
            if (isOrderly) {
                leader.close();
            }
            InstanceId stopped = group.isolate(leader);
            commitOne(group);
            times.add((System.nanoTime() - start) / 1e6);
            leader.close();
            group.start(stopped);
        }
        times.sort(null);
        results.add(new Failover(
                isOrderly ? "failover after orderly stop" : "failover after loss",
                FAILOVERS,
                round(times.get(0)),
                round(times.get(FAILOVERS / 2)),
                round(times.get(FAILOVERS - 1))));
    }

    private static void commitOne(LocalConsensusGroup group) throws InterruptedException {
        boolean isDone = false;
        while (!isDone) {
            try {
                group.awaitLeader().propose(new byte[COMMAND_BYTES]).join();
                isDone = true;
            } catch (CompletionException e) {
                // Leadership has changed; the proposal is retried with the next leader.
                Thread.sleep(1);
            }
        }
    }

    private void measureRecovery(int length, int snapshotEntries) throws Exception {
        try (LocalConsensusGroup group = newGroup(1, snapshotEntries)) {
            ConsensusMember leader = group.awaitLeader();
            ProposalLoad load = new ProposalLoad(leader, 256, UNLIMITED * 1_000_000_000L);
            load.maxProposals = length;
            load.run();
            InstanceId instance = group.isolate(leader);
            leader.close();
            long start = System.nanoTime();
            group.start(instance);
            double openMs = (System.nanoTime() - start) / 1e6;
            while (group.awaitLeader().status().appliedIndex() < length) {
                Thread.sleep(1);
            }
            double servingMs = (System.nanoTime() - start) / 1e6;
            results.add(
                    new Recovery("recovery", length, snapshotEntries != UNLIMITED, round(openMs), round(servingMs)));
        }
    }

    private void print(boolean isJson) throws JsonProcessingException {
        if (isJson) {
            System.out.println(
                    new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(results));
            return;
        }
        Class<?> previous = null;
        for (Record result : results) {
            if (result.getClass() != previous) {
                System.out.println();
                System.out.println(row(result, false));
                previous = result.getClass();
            }
            System.out.println(row(result, true));
        }
    }

    /** Returns the values of a result, or the names of its components as column titles, in columns of fixed width. */
    private static String row(Record result, boolean hasValues) {
        StringBuilder row = new StringBuilder();
        for (RecordComponent column : result.getClass().getRecordComponents()) {
            try {
                Object cell = hasValues ? column.getAccessor().invoke(result) : column.getName();
                row.append(String.format("%-" + ("name".equals(column.getName()) ? 30 : 20) + "s", cell));
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException("Cannot read record component " + column, e);
            }
        }
        return row.toString().stripTrailing();
    }

    private void deleteAll() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted((left, right) -> right.compareTo(left))
                    .forEach(file -> file.toFile().delete());
        }
    }

    private static double round(double value) {
        return Math.round(value * 100) / 100.0;
    }

    /** Load from a number of concurrent proposers, each of which has one command in progress at a time. */
    private static final class ProposalLoad {
        private final ConsensusMember leader;
        private final int proposers;
        private final long durationNanos;
        private final ConcurrentLinkedQueue<Long> latenciesNanos = new ConcurrentLinkedQueue<>();
        private final CountDownLatch runningProposers;
        private final byte[] command = new byte[COMMAND_BYTES];
        private volatile int maxProposals = UNLIMITED;
        private volatile long failures;
        private long startNanos;
        private long elapsedNanos;
        private int startedProposals;

        ProposalLoad(ConsensusMember leader, int proposers, long durationNanos) {
            this.leader = leader;
            this.proposers = proposers;
            this.durationNanos = durationNanos;
            this.runningProposers = new CountDownLatch(proposers);
        }

        void run() throws InterruptedException {
            startNanos = System.nanoTime();
            for (int i = 0; i < proposers; i++) {
                proposeNext();
            }
            runningProposers.await();
            elapsedNanos = System.nanoTime() - startNanos;
        }

        private synchronized boolean tryStartProposal() {
            return System.nanoTime() - startNanos < durationNanos && startedProposals++ < maxProposals;
        }

        private void proposeNext() {
            if (!tryStartProposal()) {
                runningProposers.countDown();
                return;
            }
            long sent = System.nanoTime();
            leader.propose(command).whenComplete((applied, failure) -> {
                if (failure != null) {
                    failures++;
                } else {
                    latenciesNanos.add(System.nanoTime() - sent);
                }
                proposeNext();
            });
        }

        Throughput result(int members) {
            long[] sorted =
                    latenciesNanos.stream().mapToLong(Long::longValue).sorted().toArray();
            double perSecond = sorted.length / (elapsedNanos / 1e9);
            return new Throughput(
                    "throughput",
                    members,
                    proposers,
                    Math.round(perSecond),
                    round(sorted[sorted.length / 2] / 1e6),
                    round(sorted[sorted.length * 99 / 100] / 1e6),
                    failures);
        }
    }

    private record Throughput(
            String name,
            int members,
            int proposers,
            long commitsPerSecond,
            double p50Ms,
            double p99Ms,
            long failures) {}

    private record Idle(String name, int members, long sentBytesPerSecond, double corePercent) {}

    private record Failover(String name, int runs, double minMs, double medianMs, double maxMs) {}

    private record Recovery(String name, int entries, boolean hasSnapshot, double openMs, double servingMs) {}
}
