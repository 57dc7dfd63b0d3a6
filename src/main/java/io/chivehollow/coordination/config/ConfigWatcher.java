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
 * Keeps a copy of the released state by polling one replica at a time.
 *
 * <p>The first replica is chosen by rendezvous hashing; the next one is asked after a failure. An answer proves that
 * the copy contains everything committed up to its send time minus the age that the replica reports.
 *
 * <p>Invariants: the version never decreases, the proven time never decreases, and at most one poll is open.
 * Thread-safe.
 */
public final class ConfigWatcher implements ConfigView, AutoCloseable {

    /** Greatest age of a copy that may still be used, as the design page sets it. */
    public static final int FRESHNESS_BOUND_MS = 2_500;

    private static final Logger LOG = Logger.getLogger(ConfigWatcher.class);

    /** Longest time that a replica holds an unchanged poll open; changes are answered at once. */
    private static final int WAIT_MS = 500;

    /** WAIT_MS plus 400 ms for a slow answer, so that a reader leaves a hung replica within 1 s. */
    private static final int TIMEOUT_MS = 900;

    /** Pause before the next poll; bounds the load if a replica answers at once. */
    private static final int PAUSE_MS = 50;

    /** Pause after all replicas have failed in turn; bounds the load of many readers without a leader. */
    private static final int ALL_FAILED_PAUSE_MS = 250;

    /** A replica that reports a greater age is cut off from the leader; the next one is asked instead. */
    private static final int MAX_REPLICA_AGE_MS = 1_000;

    /** Time after which a reader returns to its first choice, so that load evens out after a restart. */
    private static final long RETURN_MS = 30_000;

    private final InstanceId instance;
    private List<InetSocketAddress> replicas;
    private final ConfigSource source;
    private final Clock clock;
    private final Scheduler scheduler;
    private final long freshnessBoundNanos;
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private final Object lock = new Object();
    private volatile Copy copy = new Copy(null, 0, false);
    private int position;
    private long leftFirstNanos;
    private int failures;
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

    /** Starts a watcher with a greatest age of its own for a copy that may still be used. */
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

    /** Takes another list of replicas, beginning with this reader's first choice among them. */
    public void setReplicas(List<InetSocketAddress> newReplicas) {
        synchronized (lock) {
            List<InetSocketAddress> ordered = rendezvousOrder(instance, newReplicas);
            if (!ordered.equals(replicas)) {
                replicas = ordered;
                position = 0;
            }
        }
    }

    @Override
    public Optional<Configuration> current() {
        return Optional.ofNullable(copy.configuration());
    }

    @Override
    public boolean isFresh() {
        Copy seen = copy;
        return seen.hasProof()
                && seen.configuration() != null
                && clock.nanoTime() - seen.provenNanos() <= freshnessBoundNanos;
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
            if (position != 0 && sentNanos - leftFirstNanos > TimeUnit.MILLISECONDS.toNanos(RETURN_MS)) {
                position = 0;
            }
            replica = replicas.get(position);
        }
        Watch watch = Watch.newBuilder()
                .setFromVersion(current().map(Configuration::version).orElse(0L))
                .setInstance(instance.value())
                .setWaitMs(copy.configuration() == null ? 0 : WAIT_MS)
                .build();
        watch(replica, watch).whenComplete((update, failure) -> {
            try {
                onAnswer(replica, sentNanos, update, failure);
            } catch (RuntimeException e) {
                LOG.error("A listener of the configuration failed", e);
            } finally {
                scheduler.schedule(pauseMs(), this::poll);
            }
        });
    }

    private CompletableFuture<ConfigUpdate> watch(InetSocketAddress replica, Watch watch) {
        try {
            return source.watch(replica, watch, TIMEOUT_MS);
        } catch (RuntimeException e) {
            // For instance when the connections are shut down; polling must not end here.
            return CompletableFuture.failedFuture(e);
        }
    }

    private int pauseMs() {
        synchronized (lock) {
            boolean haveAllFailed = failures > 0 && failures % replicas.size() == 0;
            return haveAllFailed ? ALL_FAILED_PAUSE_MS : PAUSE_MS;
        }
    }

    private void onAnswer(
            InetSocketAddress replica, long sentNanos, @Nullable ConfigUpdate update, @Nullable Throwable failure) {
        if (update == null) {
            LOG.debugf("Replica %s did not answer a watch: %s", replica, failure);
            moveOn(true);
            return;
        }
        Configuration changed = accept(sentNanos, update);
        if (changed != null) {
            listeners.forEach(listener -> listener.accept(changed));
        }
        if (update.getAgeMs() > MAX_REPLICA_AGE_MS) {
            LOG.debugf("State of replica %s is %d ms old", replica, update.getAgeMs());
            moveOn(false);
        }
    }

    /** Stores what the answer proves and returns the configuration if it is new. */
    private @Nullable Configuration accept(long sentNanos, ConfigUpdate update) {
        synchronized (lock) {
            Configuration old = copy.configuration();
            Configuration latest = old;
            if (update.hasState() && (old == null || update.getState().getVersion() > old.version())) {
                latest = Configuration.of(update.getState());
            }
            if (latest == null || latest.version() < update.getVersion()) {
                // The answer proves the age of a version that this reader does not have.
                return null;
            }
            // Everything that was committed up to this time is in the replica's version, and so in any later one.
            long provenNanos = sentNanos - TimeUnit.MILLISECONDS.toNanos(Integer.toUnsignedLong(update.getAgeMs()));
            if (copy.hasProof() && copy.provenNanos() - provenNanos > 0) {
                provenNanos = copy.provenNanos();
            }
            copy = new Copy(latest, provenNanos, true);
            failures = 0;
            return latest == old ? null : latest;
        }
    }

    private void moveOn(boolean hasFailed) {
        synchronized (lock) {
            failures = hasFailed ? failures + 1 : 0;
            if (position == 0) {
                leftFirstNanos = clock.nanoTime();
            }
            position = (position + 1) % replicas.size();
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

    private record Copy(@Nullable Configuration configuration, long provenNanos, boolean hasProof) {}
}
