package io.chivehollow.coordination.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.InvalidProtocolBufferException;
import io.chivehollow.base.InstanceId;
import io.chivehollow.coordination.simulation.SimulatedTime;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.ConfigUpdate;
import io.chivehollow.protocol.wire.ReleasedState;
import io.chivehollow.protocol.wire.Watch;
import io.chivehollow.state.machine.Commands;
import io.chivehollow.state.machine.ControlState;

/** Simulates operators, replicas that apply a committed log with a delay, and processes that watch the replicas. */
final class ConfigWatcherSimulation {

    private static final int RUN_MS = 15_000;
    private static final int REPLICAS = 3;
    private static final int WATCHERS = 3;
    private static final String KEY = "k0";

    /** Speed of the slowest clock of a watching process: 4.5% too slow. */
    private static final double SLOWEST = 0.955;

    private final SplittableRandom random;
    private final boolean hasFaults;
    private final SimulatedTime time = new SimulatedTime();
    private final List<Command> committed = new ArrayList<>();
    private final ControlState leaderState = ControlState.create();
    private final Map<Long, ReleasedState> statesByVersion = new HashMap<>();
    private final Map<Long, Long> supersededNanos = new HashMap<>();
    private final List<Replica> replicas = new ArrayList<>();
    private final List<WatchingProcess> processes = new ArrayList<>();
    private Optional<String> violation = Optional.empty();
    private long keyWithdrawnNanos = Long.MAX_VALUE;

    ConfigWatcherSimulation(long seed, boolean hasFaults, long freshnessBoundMs) {
        this.random = new SplittableRandom(seed);
        this.hasFaults = hasFaults;
        commit(Commands.release("n1", 1, Commands.FIRST_NOTE));
        commit(Commands.createKey("c0", KEY));
        for (int i = 0; i < REPLICAS; i++) {
            replicas.add(new Replica());
        }
        for (int i = 0; i < WATCHERS; i++) {
            processes.add(new WatchingProcess(i, freshnessBoundMs));
        }
        for (int i = 0; i < 2; i++) {
            new Operator("op" + i).scheduleNext();
        }
        time.schedule(random.nextLong(1_000, RUN_MS - 4_000), () -> {
            commit(Commands.withdrawKey("c1", KEY));
            keyWithdrawnNanos = time.nowNanos();
        });
        time.scheduleRepeating(50, () -> processes.forEach(WatchingProcess::check));
    }

    Optional<String> run() {
        time.runUntilMs(RUN_MS);
        long accepted = leaderState.releases().size();
        if (violation.isEmpty() && accepted != leaderState.released().getReleaseNumber()) {
            violation = Optional.of("Release number is "
                    + leaderState.released().getReleaseNumber() + " after " + accepted + " accepted notes");
        }
        return violation;
    }

    private CommandResult commit(Command command) {
        long before = leaderState.released().getVersion();
        committed.add(command);
        try {
            CommandResult result = CommandResult.parseFrom(leaderState.apply(committed.size(), command.toByteArray()));
            ReleasedState released = leaderState.released();
            if (released.getVersion() != before) {
                supersededNanos.put(before, time.nowNanos());
                statesByVersion.put(released.getVersion(), released);
            }
            return result;
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    private boolean isFault(int oneIn) {
        return hasFaults && random.nextInt(oneIn) == 0;
    }

    /** An operator that uses the next free release number and retries its note after a lost response. */
    private final class Operator {

        private final String name;
        private int notes;

        Operator(String name) {
            this.name = name;
        }

        void scheduleNext() {
            time.schedule(random.nextLong(100, 1_500), () -> {
                long number = leaderState.released().getReleaseNumber() + 1;
                String noteId = name + "-" + notes++;
                Command note = Commands.rateChange(noteId, number, random.nextLong(1, 1_000_000));
                // The other operator may use the number before this note arrives.
                time.schedule(random.nextLong(0, 500), () -> send(note, Optional.empty()));
                scheduleNext();
            });
        }

        private void send(Command note, Optional<CommandResult> firstResult) {
            long version = leaderState.released().getVersion();
            CommandResult result = commit(note);
            if (firstResult.isPresent()) {
                boolean isSame = firstResult.get().getErrorCode().equals(result.getErrorCode())
                        && firstResult.get().getRelease().equals(result.getRelease());
                if (!isSame || leaderState.released().getVersion() != version) {
                    violation = Optional.of("A retried note got the result " + result + " after " + firstResult.get());
                }
            } else if (isFault(3)) {
                time.schedule(random.nextLong(10, 3_000), () -> send(note, Optional.of(result)));
            }
        }
    }

    /** A replica whose state contains everything committed before its last synchronization with the leader. */
    private final class Replica {

        private ControlState state = ControlState.create();
        private int applied;
        private long syncedNanos = -1;
        private boolean isPartitioned;

        Replica() {
            sync();
            if (hasFaults) {
                time.schedule(random.nextLong(500, 8_000), this::partition);
            }
        }

        private void sync() {
            if (!isPartitioned) {
                applyUpTo(committed.size());
                syncedNanos = time.nowNanos();
            }
            time.schedule(random.nextLong(50, 250), this::sync);
        }

        private void applyUpTo(int count) {
            while (applied < count) {
                Command command = committed.get(applied++);
                state.apply(applied, command.toByteArray());
            }
        }

        private void partition() {
            isPartitioned = true;
            if (random.nextBoolean()) {
                // Simulates a restart with only a part of the log on disk.
                int count = random.nextInt(applied + 1);
                state = ControlState.create();
                applied = 0;
                syncedNanos = -1;
                applyUpTo(count);
            }
            time.schedule(random.nextLong(500, 8_000), () -> isPartitioned = false);
        }

        Optional<ConfigUpdate> respond(Watch watch) {
            if (syncedNanos < 0) {
                return Optional.empty();
            }
            long ageMs = TimeUnit.NANOSECONDS.toMillis(time.nowNanos() - syncedNanos) + 1;
            ReleasedState released = state.released();
            ConfigUpdate.Builder update =
                    ConfigUpdate.newBuilder().setVersion(released.getVersion()).setAgeMs((int) ageMs);
            if (released.getVersion() > watch.getFromVersion()) {
                update.setState(released);
            }
            return Optional.of(update.build());
        }
    }

    /** A process with a watcher, whose versions are checked. */
    private final class WatchingProcess implements ConfigSource {

        private final ConfigWatcher watcher;
        private long version;
        private boolean isPartitioned;
        private long partitionedNanos;

        WatchingProcess(int position, long freshnessBoundMs) {
            double speed = SLOWEST + random.nextDouble() * 0.09;
            List<InetSocketAddress> addresses = new ArrayList<>();
            for (int i = 0; i < REPLICAS; i++) {
                addresses.add(new InetSocketAddress("127.0.0.1", i + 1));
            }
            this.watcher = new ConfigWatcher(
                    InstanceId.of("reader-" + position),
                    addresses,
                    this,
                    time.clock(speed, random.nextLong(1L << 40)),
                    time,
                    freshnessBoundMs);
            watcher.poll();
            if (hasFaults) {
                time.schedule(random.nextLong(1_000, 10_000), this::partition);
            }
        }

        private void partition() {
            isPartitioned = true;
            partitionedNanos = time.nowNanos();
            time.schedule(random.nextLong(500, 8_000), () -> isPartitioned = false);
        }

        @Override
        public CompletableFuture<ConfigUpdate> watch(InetSocketAddress address, Watch watch, int timeoutMs) {
            CompletableFuture<ConfigUpdate> response = new CompletableFuture<>();
            Replica replica = replicas.get(address.getPort() - 1);
            long waitMs = watch.getWaitMs() == 0 ? 0 : random.nextLong(watch.getWaitMs() + 1);
            long delayMs = isFault(20) ? random.nextLong(timeoutMs) : 1;
            time.schedule(delayMs + waitMs, () -> replica.respond(watch).ifPresent(update -> {
                boolean isLost = isFault(20);
                time.schedule(isFault(20) ? random.nextLong(timeoutMs) : 1, () -> {
                    if (!isLost && !isPartitioned) {
                        response.complete(update);
                    }
                });
            }));
            time.schedule(
                    timeoutMs,
                    () -> response.completeExceptionally(new IllegalStateException("No response before the timeout")));
            return response;
        }

        void check() {
            long nowNanos = time.nowNanos();
            boolean isFresh = watcher.isFresh();
            Optional<Configuration> current = watcher.current();
            if (current.isPresent()) {
                Configuration seen = current.get();
                if (seen.version() < version || !seen.state().equals(statesByVersion.get(seen.version()))) {
                    violation = Optional.of("A watcher changed from version " + version + " to " + seen.version()
                            + " or received a different state of it");
                }
                version = seen.version();
                if (isFresh) {
                    checkFreshConfiguration(seen, nowNanos);
                }
            }
            if (!hasFaults && nowNanos > TimeUnit.SECONDS.toNanos(1) && !isFresh) {
                violation = Optional.of("A watcher is stale without a fault");
            }
        }

        private void checkFreshConfiguration(Configuration seen, long nowNanos) {
            long boundNanos = hasFaults
                    ? (long) (TimeUnit.MILLISECONDS.toNanos(ConfigWatcher.FRESHNESS_BOUND_MS) / SLOWEST)
                    : TimeUnit.SECONDS.toNanos(1);
            if (nowNanos - supersededNanos.getOrDefault(seen.version(), nowNanos) > boundNanos) {
                violation = Optional.of("A fresh watcher has a version that was superseded too long ago");
            }
            if (isPartitioned && nowNanos - partitionedNanos > boundNanos) {
                violation = Optional.of("A partitioned watcher is considered fresh for too long");
            }
            boolean isLate =
                    keyWithdrawnNanos != Long.MAX_VALUE && nowNanos - keyWithdrawnNanos > TimeUnit.SECONDS.toNanos(3);
            if (isLate && seen.apiKey(KEY).isPresent()) {
                violation = Optional.of("A key is still valid 3 s after its withdrawal");
            }
        }
    }
}
