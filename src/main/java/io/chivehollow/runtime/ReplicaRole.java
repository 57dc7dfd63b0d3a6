package io.chivehollow.runtime;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Throwables;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.coordination.budget.BudgetLender;
import io.chivehollow.coordination.budget.BudgetOptions;
import io.chivehollow.coordination.loads.WeightLoadSchedule;
import io.chivehollow.coordination.replica.ReplicaDirectory;
import io.chivehollow.coordination.replica.ReplicaService;
import io.chivehollow.metrics.ReplicaMetrics;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.settings.ReplicaSettings;
import io.chivehollow.settings.Settings;
import io.chivehollow.state.consensus.ConsensusMember;
import io.chivehollow.state.consensus.ConsensusTimes;
import io.chivehollow.state.consensus.MembershipPolicy;
import io.chivehollow.state.consensus.ReplicatedLogConfig;
import io.chivehollow.state.consensus.ReplicatedLogs;
import io.chivehollow.state.log.FileStoreOpener;
import io.chivehollow.state.log.WriteFailedException;
import io.chivehollow.state.machine.ControlState;
import io.chivehollow.transport.ConnectionPool;
import io.chivehollow.transport.FrameServer;
import io.chivehollow.transport.ServerCall;
import io.chivehollow.transport.ServerCallListener;
import io.chivehollow.transport.TransportOptions;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * The replica role of a process.
 *
 * <p>When the disk refuses a write, the replica stops, the other roles of the process continue, and the replica is
 * opened again from the disk when it accepts writes. Any other error of the storage halts the process, because its
 * content cannot be relied on.
 *
 * <p>Invariant: at most one replica is open. Thread-safe.
 */
final class ReplicaRole implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(ReplicaRole.class);
    private static final int STORAGE_FAILURE_EXIT_CODE = 1;

    /** Readers of the configuration stop work that needs an API key when their copy is older than this. */
    private static final long MAX_STALENESS_MS = 2_500;

    /** Short compared with the usual scrape interval of 15 s. */
    private static final int METRICS_PERIOD_MS = 1_000;

    /** Pause between two attempts to use a disk that has refused a write. */
    private static final int REOPEN_PAUSE_MS = 1_000;

    private final Settings settings;
    private final ReplicaSettings replica;
    private final BudgetOptions budgets;
    private final ProcessResources resources;
    private final ReplicaDirectory directory;
    private final ReplicaMetrics metrics;
    private final FileStoreOpener files;
    private final PeerLinks peers;
    private final List<InstanceId> initialMembers;
    private final StoppedReplica stopped;
    private final CountDownLatch closing = new CountDownLatch(1);
    private final CompletableFuture<Void> closed = new CompletableFuture<>();
    private final Thread supervisor = new Thread(this::supervise, "replica-supervisor");
    private volatile @Nullable RunningReplica running;
    private volatile @Nullable FrameServer server;
    private volatile Scheduler.Timer metricsTimer = () -> {};

    private ReplicaRole(
            Settings settings,
            ReplicaSettings replica,
            BudgetOptions budgets,
            ProcessResources resources,
            ConnectionPool connections,
            ReplicaDirectory directory,
            MetricRegistry registry,
            FileStoreOpener files) {
        this.settings = settings;
        this.replica = replica;
        this.budgets = budgets;
        this.resources = resources;
        this.directory = directory;
        this.metrics = ReplicaMetrics.create(registry);
        this.files = files;
        this.stopped = new StoppedReplica(settings.instance(), directory);
        Map<InstanceId, InetSocketAddress> addresses = new LinkedHashMap<>();
        for (ReplicaSettings.Member member : replica.members()) {
            addresses.put(InstanceId.of(member.instance()), member.address());
        }
        this.initialMembers = List.copyOf(addresses.keySet());
        this.peers = PeerLinks.create(
                instance -> Optional.ofNullable(addresses.get(instance)).or(() -> directory.address(instance)),
                connections);
        this.supervisor.setDaemon(true);
    }

    /**
     * Starts the role. If the disk refuses writes, the replica is opened later.
     *
     * @throws RuntimeException if the data folder cannot be used for another reason, or the address cannot be bound
     */
    static ReplicaRole start(
            Settings settings,
            ReplicaSettings replica,
            BudgetOptions budgets,
            ProcessResources resources,
            ConnectionPool connections,
            ReplicaDirectory directory,
            MetricRegistry registry,
            FileStoreOpener files) {
        ReplicaRole role =
                new ReplicaRole(settings, replica, budgets, resources, connections, directory, registry, files);
        try {
            role.start();
            return role;
        } catch (RuntimeException e) {
            role.close();
            throw e;
        }
    }

    private void start() {
        try {
            onOpened(open(false));
        } catch (RuntimeException e) {
            if (!WriteFailedException.isCauseOf(e)) {
                throw e;
            }
            onRefused(e);
        }
        directory.setLocalMembers(this::members);
        TransportOptions options = TransportOptions.of(settings.instance(), "replica", settings.secret());
        FrameServer started = FrameServer.start(replica.address(), options, resources.eventLoops(), this::onCall);
        server = started;
        LOG.infof("Replica listens at %s", started.address());
        metricsTimer = resources.scheduler().scheduleRepeating(METRICS_PERIOD_MS, this::updateMetrics);
        supervisor.start();
    }

    private RunningReplica open(boolean isReopening) {
        ControlState state = ControlState.create();
        ConsensusHandler consensusHandler = new ConsensusHandler();
        CompletableFuture<Throwable> failure = new CompletableFuture<>();
        ReplicatedLogConfig config = ReplicatedLogConfig.of(
                        settings.instance(),
                        initialMembers,
                        replica.dataFolder(),
                        state,
                        peers,
                        resources.scheduler(),
                        e -> onFatal(e, failure))
                .withSnapshotEntries(replica.snapshotEntries())
                .withTimes(ConsensusTimes.ofVoteHold(replica.voteHoldMs()))
                .withPolicy(policy(replica, directory))
                .withObserver(metrics)
                .withFiles(files);
        ConsensusMember member = isReopening ? ReplicatedLogs.reopen(config) : ReplicatedLogs.open(config);
        consensusHandler.setMember(member);
        ReplicaService service = ReplicaService.start(
                settings.instance(),
                member,
                state,
                BudgetLender.create(budgets),
                WeightLoadSchedule.create(replica.maxWeightLoads()),
                consensusHandler,
                resources.clock(),
                resources.scheduler());
        return RunningReplica.of(member, service, failure);
    }

    private static MembershipPolicy policy(ReplicaSettings replica, ReplicaDirectory directory) {
        MembershipPolicy policy =
                switch (replica.joining()) {
                    case BY_OPERATOR -> MembershipPolicy.byOperators();
                    case AUTOMATIC -> MembershipPolicy.automatic(true, directory::contacts);
                    case AUTOMATIC_LATER -> MembershipPolicy.automatic(false, directory::contacts);
                };
        return policy.withAbandonTimeoutMs((int) TimeUnit.SECONDS.toMillis(replica.abandonAfterSeconds()));
    }

    /** Runs on the thread of the member, which has stopped sending and serving. */
    private static void onFatal(Throwable error, CompletableFuture<Throwable> failure) {
        if (WriteFailedException.isCauseOf(error)) {
            failure.complete(error);
        } else {
            haltProcess(error);
        }
    }

    private void supervise() {
        while (closing.getCount() > 0) {
            RunningReplica current = running;
            if (current == null) {
                reopenAfterPause();
                continue;
            }
            CompletableFuture.anyOf(current.failure(), closed).join();
            if (current.hasFailed() && closing.getCount() > 0) {
                running = null;
                onRefused(current.failure().join());
                // The member has ended; its folder must be released before it is opened again.
                current.close();
                closeConnections();
            }
        }
    }

    /** Ends calls to the replica that has stopped, so that their callers use another one at once. */
    private void closeConnections() {
        FrameServer current = server;
        if (current != null) {
            current.closeConnections();
        }
    }

    private void reopenAfterPause() {
        try {
            if (closing.await(REOPEN_PAUSE_MS, TimeUnit.MILLISECONDS)) {
                return;
            }
            onOpened(open(true));
            LOG.info("The disk accepts writes again; the replica has recovered its log and rejoins the group");
        } catch (InterruptedException e) {
            closing.countDown();
        } catch (RuntimeException | Error e) {
            if (!WriteFailedException.isCauseOf(e)) {
                haltProcess(e);
            }
        }
    }

    private void onOpened(RunningReplica opened) {
        running = opened;
        metrics.onStorageOpened();
    }

    private void onRefused(Throwable error) {
        metrics.onStorageFailed();
        LOG.errorf(
                "The disk of %s refuses writes: %s; the replica stops, other roles continue, and the replica is opened"
                        + " again when a write and a sync succeed, which is tried every %d ms",
                replica.dataFolder(), Throwables.getRootCause(error), REOPEN_PAUSE_MS);
    }

    private ServerCallListener onCall(ServerCall call, Frame first) {
        RunningReplica current = available();
        return current == null ? stopped.onCall(call, first) : current.onCall(call, first);
    }

    private @Nullable RunningReplica available() {
        RunningReplica current = running;
        return current == null || current.hasFailed() ? null : current;
    }

    private List<InstanceId> members() {
        RunningReplica current = available();
        return current == null ? List.of() : current.members();
    }

    private void updateMetrics() {
        RunningReplica current = available();
        if (current != null) {
            metrics.update(current.status());
        }
    }

    /** Returns whether the replica is stopped because the disk has refused a write. */
    boolean hasStorageFailed() {
        return available() == null;
    }

    /** Returns whether the replica has a leader and can prove to readers that its state is current. */
    boolean isReady() {
        RunningReplica current = available();
        return current != null && current.maxStalenessMs() <= MAX_STALENESS_MS;
    }

    /** Returns whether this replica is the leader and its lease is valid. */
    boolean holdsLease() {
        RunningReplica current = available();
        return current != null && current.holdsLease();
    }

    private static void haltProcess(Throwable failure) {
        LOG.fatal("Replica failed with a fatal error; halting the process", failure);
        Runtime.getRuntime().halt(STORAGE_FAILURE_EXIT_CODE);
    }

    /** States to the group that the process is about to stop, before the other roles finish their open requests. */
    void beginLeaving() {
        RunningReplica current = available();
        if (current != null) {
            current.beginLeaving();
        }
    }

    @Override
    public void close() {
        closing.countDown();
        closed.complete(null);
        metricsTimer.cancel();
        RunningReplica leaving = available();
        if (leaving != null) {
            leaving.awaitLeft();
        }
        FrameServer current = server;
        if (current != null) {
            current.close();
        }
        joinSupervisor();
        RunningReplica last = running;
        if (last != null) {
            last.close();
        }
    }

    private void joinSupervisor() {
        try {
            supervisor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
