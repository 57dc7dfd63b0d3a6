package io.chivehollow.coordination.config;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.common.hash.Hashing;
import io.chivehollow.base.Clock;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.protocol.wire.ConfigUpdate;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.Watch;
import io.chivehollow.transport.ConnectionPool;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Maintains a copy of the released state by long-polling one replica at a time.
 *
 * <p>The preferred replica is chosen by rendezvous hashing; after a failure, the next one is polled. A response proves
 * that the copy contains everything committed up to the send time of the poll minus the age that the replica reports.
 *
 * <p>Invariants: the version never decreases, the time up to which the copy is provably complete never decreases, and
 * at most one poll is open. Thread-safe.
 */
public final class ConfigWatcher implements ConfigView, AutoCloseable {

    /** Default maximum age, in ms, of a copy that may still be used. */
    public static final int FRESHNESS_BOUND_MS = 2_500;

    private static final Logger LOG = Logger.getLogger(ConfigWatcher.class);

    /** Time in ms after which a replica responds to a poll without a change; it sends changes immediately. */
    private static final int WATCH_WAIT_MS = 500;

    /** WATCH_WAIT_MS plus 400 ms for a slow response, so that an unresponsive replica is left within 1 s. */
    private static final int WATCH_TIMEOUT_MS = 900;

    /** Delay before the next poll in ms; limits the load if a replica responds immediately. */
    private static final int POLL_DELAY_MS = 50;

    /** Delay in ms after all replicas have failed in turn; limits the load of many watchers without a leader. */
    private static final int ALL_FAILED_DELAY_MS = 250;

    /** A replica that reports a higher age, in ms, has lost contact to the leader; the next one is polled instead. */
    private static final int MAX_REPLICA_AGE_MS = 1_000;

    /** Time in ms before a return to the preferred replica, which rebalances the load after a restart. */
    private static final long PREFERRED_REPLICA_RETURN_MS = 30_000;

    private final InstanceId instance;
    private List<InetSocketAddress> replicas;
    private final ConfigSource source;
    private final Clock clock;
    private final Scheduler scheduler;
    private final long freshnessBoundNanos;
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private final Object lock = new Object();
    private volatile CachedConfiguration cached = new CachedConfiguration(null, 0, false);
    private int replicaPosition;
    private long leftPreferredNanos;
    private int failuresInARow;
    private boolean isClosed;

    ConfigWatcher(
            InstanceId instance,
            List<InetSocketAddress> replicas,
            ConfigSource source,
            Clock clock,
            Scheduler scheduler,
            long freshnessBoundMs) {
        checkArgument(!replicas.isEmpty(), "replicas must not be empty");
        this.instance = instance;
        this.replicas = rendezvousOrder(instance, replicas);
        this.source = source;
        this.clock = clock;
        this.scheduler = scheduler;
        this.freshnessBoundNanos = TimeUnit.MILLISECONDS.toNanos(freshnessBoundMs);
    }

    /** Starts a watcher that polls the replicas at the given addresses. */
    public static ConfigWatcher start(
            InstanceId instance,
            List<InetSocketAddress> replicas,
            ConnectionPool connections,
            Clock clock,
            Scheduler scheduler) {
        return start(instance, replicas, connections, clock, scheduler, FRESHNESS_BOUND_MS);
    }

    /** Starts a watcher with the given maximum age of a copy that may still be used. */
    public static ConfigWatcher start(
            InstanceId instance,
            List<InetSocketAddress> replicas,
            ConnectionPool connections,
            Clock clock,
            Scheduler scheduler,
            long freshnessBoundMs) {
        ConfigSource source = (replica, watch, timeoutMs) -> connections
                .call(replica, Frame.newBuilder().setWatch(watch), timeoutMs)
                .thenApply(Frame::getConfigUpdate);
        ConfigWatcher watcher = new ConfigWatcher(instance, replicas, source, clock, scheduler, freshnessBoundMs);
        watcher.poll();
        return watcher;
    }

    /** Replaces the addresses of the replicas; the next poll is sent to the preferred one among them. */
    public void setReplicas(List<InetSocketAddress> newReplicas) {
        synchronized (lock) {
            List<InetSocketAddress> ordered = rendezvousOrder(instance, newReplicas);
            if (!ordered.equals(replicas)) {
                replicas = ordered;
                replicaPosition = 0;
            }
        }
    }

    @Override
    public Optional<Configuration> current() {
        return Optional.ofNullable(cached.configuration());
    }

    @Override
    public boolean isFresh() {
        CachedConfiguration snapshot = cached;
        return snapshot.hasFreshAsOfTime()
                && snapshot.configuration() != null
                && clock.nanoTime() - snapshot.freshAsOfNanos() <= freshnessBoundNanos;
    }

    /** Calls the listener with the current configuration, if any, and with every later one. */
    public void addListener(Consumer<Configuration> listener) {
        listeners.add(listener);
        current().ifPresent(listener);
    }

    @Override
    public void close() {
        synchronized (lock) {
            isClosed = true;
        }
    }

    void poll() {
        InetSocketAddress replica;
        long sentNanos = clock.nanoTime();
        synchronized (lock) {
            if (isClosed) {
                return;
            }
            if (replicaPosition != 0
                    && sentNanos - leftPreferredNanos > TimeUnit.MILLISECONDS.toNanos(PREFERRED_REPLICA_RETURN_MS)) {
                replicaPosition = 0;
            }
            replica = replicas.get(replicaPosition);
        }
        Watch watch = Watch.newBuilder()
                .setFromVersion(current().map(Configuration::version).orElse(0L))
                .setInstance(instance.value())
                .setWaitMs(cached.configuration() == null ? 0 : WATCH_WAIT_MS)
                .build();
        watch(replica, watch).whenComplete((update, failure) -> {
            try {
                onResponse(replica, sentNanos, update, failure);
            } catch (RuntimeException e) {
                LOG.error("A listener failed to process a new configuration; polling continues", e);
            } finally {
                scheduler.schedule(pollDelayMs(), this::poll);
            }
        });
    }

    private CompletableFuture<ConfigUpdate> watch(InetSocketAddress replica, Watch watch) {
        try {
            return source.watch(replica, watch, WATCH_TIMEOUT_MS);
        } catch (RuntimeException e) {
            // Occurs for example when the connections are shut down; polling must continue.
            return CompletableFuture.failedFuture(e);
        }
    }

    private int pollDelayMs() {
        synchronized (lock) {
            boolean haveAllFailed = failuresInARow > 0 && failuresInARow % replicas.size() == 0;
            return haveAllFailed ? ALL_FAILED_DELAY_MS : POLL_DELAY_MS;
        }
    }

    private void onResponse(
            InetSocketAddress replica, long sentNanos, @Nullable ConfigUpdate update, @Nullable Throwable failure) {
        if (update == null) {
            LOG.debugf("Replica %s did not respond to a watch: %s; polling the next replica", replica, failure);
            selectNextReplica(true);
            return;
        }
        Configuration changed = applyUpdate(sentNanos, update);
        if (changed != null) {
            listeners.forEach(listener -> listener.accept(changed));
        }
        if (update.getAgeMs() > MAX_REPLICA_AGE_MS) {
            LOG.debugf("State of replica %s is %d ms old; polling the next replica", replica, update.getAgeMs());
            selectNextReplica(false);
        }
    }

    /** Applies the response; returns the configuration if its version is new, otherwise null. */
    private @Nullable Configuration applyUpdate(long sentNanos, ConfigUpdate update) {
        synchronized (lock) {
            Configuration old = cached.configuration();
            Configuration latest = old;
            if (update.hasState() && (old == null || update.getState().getVersion() > old.version())) {
                latest = Configuration.of(update.getState());
            }
            if (latest == null || latest.version() < update.getVersion()) {
                // The response proves the age of a version that this watcher has not received.
                return null;
            }
            // The replica's version, and thus any later one, contains everything committed up to this time.
            long freshAsOfNanos = sentNanos - TimeUnit.MILLISECONDS.toNanos(Integer.toUnsignedLong(update.getAgeMs()));
            if (cached.hasFreshAsOfTime() && cached.freshAsOfNanos() - freshAsOfNanos > 0) {
                freshAsOfNanos = cached.freshAsOfNanos();
            }
            cached = new CachedConfiguration(latest, freshAsOfNanos, true);
            failuresInARow = 0;
            return latest == old ? null : latest;
        }
    }

    private void selectNextReplica(boolean hasFailed) {
        synchronized (lock) {
            failuresInARow = hasFailed ? failuresInARow + 1 : 0;
            if (replicaPosition == 0) {
                leftPreferredNanos = clock.nanoTime();
            }
            replicaPosition = (replicaPosition + 1) % replicas.size();
        }
    }

    static List<InetSocketAddress> rendezvousOrder(InstanceId instance, List<InetSocketAddress> replicas) {
        Comparator<InetSocketAddress> byScore = Comparator.comparingLong(replica -> Hashing.murmur3_128()
                .hashString(
                        instance.value() + "\n" + replica.getAddress().getHostAddress() + ":" + replica.getPort(),
                        StandardCharsets.UTF_8)
                .asLong());
        return replicas.stream().sorted(byScore).toList();
    }

    private record CachedConfiguration(
            @Nullable Configuration configuration, long freshAsOfNanos, boolean hasFreshAsOfTime) {}
}
