package io.chivehollow.runtime;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.budget.BudgetBorrower;
import io.chivehollow.coordination.budget.BudgetOptions;
import io.chivehollow.coordination.budget.OfflineAllowance;
import io.chivehollow.coordination.budget.TeamBudget;
import io.chivehollow.coordination.budget.Tolerance;
import io.chivehollow.coordination.config.ConfigWatcher;
import io.chivehollow.coordination.crash.CrashLedger;
import io.chivehollow.coordination.forwarding.ForwardingContext;
import io.chivehollow.coordination.forwarding.ForwardingRole;
import io.chivehollow.coordination.gateway.GatewayRole;
import io.chivehollow.coordination.gateway.GatewayServices;
import io.chivehollow.coordination.loads.WeightLoadPermits;
import io.chivehollow.coordination.placement.TwoChoicesConfig;
import io.chivehollow.coordination.placement.TwoChoicesPolicy;
import io.chivehollow.coordination.replica.BudgetReporter;
import io.chivehollow.coordination.replica.ControlClient;
import io.chivehollow.coordination.replica.CrashReporter;
import io.chivehollow.coordination.replica.LeaderWeightLoadPermits;
import io.chivehollow.coordination.replica.ReplicaDirectory;
import io.chivehollow.coordination.sidecar.LogStartRecordSource;
import io.chivehollow.coordination.sidecar.SidecarRole;
import io.chivehollow.coordination.sidecar.SidecarServices;
import io.chivehollow.metrics.OperationsServer;
import io.chivehollow.metrics.Readiness;
import io.chivehollow.metrics.ScrapeWriter;
import io.chivehollow.settings.ForwardingSettings;
import io.chivehollow.settings.GatewaySettings;
import io.chivehollow.settings.ReplicaSettings;
import io.chivehollow.settings.Settings;
import io.chivehollow.settings.SidecarSettings;
import io.chivehollow.state.log.DiskFileStore;
import io.chivehollow.state.log.FileStoreOpener;
import io.chivehollow.transport.ConnectionPool;
import io.chivehollow.transport.FrameClient;
import io.chivehollow.transport.FrameServer;
import io.chivehollow.transport.TransportOptions;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Starts and closes the roles of one process.
 *
 * <p>Invariant: components are closed in the reverse order of their start, so that the gateway finishes its open
 * requests while the replica in the same process still serves. Used by one thread.
 */
public final class ChivehollowProcess implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(ChivehollowProcess.class);

    /**
     * A request is sent to at most 3 backend servers in turn. The prefill of an uncached prompt token takes 0.06 ms,
     * about 0.5 s for 8,000 tokens.
     */
    private static final TwoChoicesConfig PLACEMENT = new TwoChoicesConfig(3, 0.06, 1.0);

    private final Settings settings;
    private final FileStoreOpener files;
    private final Deque<AutoCloseable> components = new ArrayDeque<>();
    private final List<BooleanSupplier> readinessChecks = new CopyOnWriteArrayList<>();
    private final MetricRegistry registry = new MetricRegistry();
    private @Nullable OperationsServer operations;
    private volatile @Nullable ReplicaDirectory replicaDirectory;
    private volatile @Nullable ReplicaRole replicaRole;
    private BooleanSupplier isLeaseHolder = () -> false;
    private volatile boolean isRunning;

    private ChivehollowProcess(Settings settings, FileStoreOpener files) {
        this.settings = settings;
        this.files = files;
    }

    /**
     * Starts all roles that the settings define.
     *
     * @throws RuntimeException if a role cannot start; the components started before it are closed
     */
    public static ChivehollowProcess start(Settings settings) {
        return start(settings, DiskFileStore::open);
    }

    static ChivehollowProcess start(Settings settings, FileStoreOpener files) {
        ChivehollowProcess process = new ChivehollowProcess(settings, files);
        try {
            process.startRoles();
            return process;
        } catch (RuntimeException e) {
            process.close();
            throw e;
        }
    }

    private void startRoles() {
        ProcessResources resources = register(new ProcessResources());
        InetSocketAddress metricsAddress = settings.metricsAddress();
        if (metricsAddress != null) {
            // The operations server is started before the roles, so that it still responds while they are closing.
            Executor executor = task -> resources.scheduler().schedule(0, task);
            operations = register(OperationsServer.start(
                    metricsAddress, resources.eventLoops(), this::readiness, ScrapeWriter.create(registry), executor));
        }
        startRoles(resources);
        isRunning = true;
    }

    private Readiness readiness() {
        boolean isReady = isRunning && readinessChecks.stream().allMatch(BooleanSupplier::getAsBoolean);
        ReplicaRole role = replicaRole;
        boolean hasStorageFailed = role != null && role.hasStorageFailed();
        return new Readiness(isReady, hasStorageFailed ? List.of("replica: " + StoppedReplica.STATE) : List.of());
    }

    /** Returns whether the replica does not prevent the other roles of this process from serving. */
    private boolean isReplicaReady(ReplicaRole role) {
        boolean hasOtherRoles =
                settings.gateway() != null || settings.sidecar() != null || settings.forwarding() != null;
        return role.isReady() || (hasOtherRoles && role.hasStorageFailed());
    }

    /** Returns the address at which the process serves health and metrics, or empty if no address is set. */
    Optional<InetSocketAddress> metricsAddress() {
        return Optional.ofNullable(operations).map(OperationsServer::address);
    }

    private void startRoles(ProcessResources resources) {
        TransportOptions options = TransportOptions.of(settings.instance(), "chivehollow", settings.secret());
        ConnectionPool connections = register(
                ConnectionPool.create(FrameClient.create(options, resources.eventLoops()), resources.eventLoops()));
        ReplicaDirectory directory = register(
                ReplicaDirectory.start(settings.replicas(), settings.peerPort(), connections, resources.scheduler()));
        replicaDirectory = directory;
        ReplicaSettings replica = settings.replica();
        if (replica != null) {
            ReplicaRole started = register(ReplicaRole.start(
                    settings, replica, budgetOptions(), resources, connections, directory, registry, files));
            replicaRole = started;
            readinessChecks.add(() -> isReplicaReady(started));
            isLeaseHolder = started::holdsLease;
        }
        GatewaySettings gateway = settings.gateway();
        SidecarSettings sidecar = settings.sidecar();
        ForwardingSettings forwarding = settings.forwarding();
        if (gateway == null && sidecar == null && forwarding == null) {
            return;
        }
        long freshnessMs = forwarding == null ? ConfigWatcher.FRESHNESS_BOUND_MS : forwarding.freshnessMs();
        ConfigWatcher config = register(ConfigWatcher.start(
                settings.instance(),
                directory.addresses(),
                connections,
                resources.clock(),
                resources.scheduler(),
                freshnessMs));
        ControlClient control =
                ControlClient.create(directory.addresses(), connections, resources.clock(), resources.scheduler());
        directory.addListener(config::setReplicas);
        directory.addListener(control::setReplicas);
        if (sidecar != null) {
            LogStartRecordSource startRecord =
                    LogStartRecordSource.create(control, sidecar.backendServer(), settings.instance());
            WeightLoadPermits permits =
                    LeaderWeightLoadPermits.create(control, resources.clock(), resources.scheduler());
            SidecarServices services = new SidecarServices(config, startRecord, permits, registry);
            SidecarRole started = register(SidecarRole.start(settings, resources.eventLoops(), services));
            readinessChecks.add(started::isReady);
        }
        if (gateway == null && forwarding == null) {
            return;
        }
        SecureRandom random = new SecureRandom();
        BorrowedBudget budget = startBudget(resources, config, control, random);
        if (gateway != null) {
            startGateway(resources, connections, config, control, budget, random);
        }
        if (forwarding != null) {
            startForwarding(forwarding, resources, directory, config, control, budget);
        }
    }

    private void startForwarding(
            ForwardingSettings forwarding,
            ProcessResources resources,
            ReplicaDirectory directory,
            ConfigWatcher config,
            ControlClient control,
            BorrowedBudget budget) {
        if (settings.replica() == null) {
            TransportOptions options = TransportOptions.of(settings.instance(), "forwarding", settings.secret());
            register(FrameServer.start(forwarding.peerAddress(), options, resources.eventLoops(), directory));
        }
        CrashLedger crashes = CrashLedger.create(settings.instance().value(), resources.clock()::nanoTime);
        register(CrashReporter.start(crashes, control, resources.scheduler()));
        ForwardingContext context = new ForwardingContext(
                settings.instance(),
                settings.failureDomain(),
                isLeaseHolder,
                budget::processCount,
                config,
                control,
                budget,
                crashes,
                resources.eventLoops(),
                resources.scheduler(),
                new SplittableRandom(),
                registry,
                settings.limits());
        ForwardingRole started = register(ForwardingRole.start(forwarding, context));
        readinessChecks.add(started::isReady);
    }

    /**
     * Replaces the seeds, which are queried for the members of the replica group while no listed replica responds.
     */
    public void setSeeds(List<InetSocketAddress> seeds) {
        ReplicaDirectory directory = replicaDirectory;
        if (directory != null) {
            directory.setSeeds(seeds);
        }
    }

    /**
     * Returns the options for small bursts if the process forwards requests: the burst of a team whose requests are
     * forwarded covers a few requests, while those of the gateway's own API are large.
     */
    private BudgetOptions budgetOptions() {
        ForwardingSettings forwarding = settings.forwarding();
        return forwarding == null
                ? BudgetOptions.defaults()
                : BudgetOptions.forSmallBursts(new Tolerance(
                        forwarding.toleratedTokens(),
                        forwarding.toleratedShare(),
                        forwarding.toleranceWindowSeconds()));
    }

    private BorrowedBudget startBudget(
            ProcessResources resources, ConfigWatcher config, ControlClient control, SecureRandom random) {
        BudgetOptions options = budgetOptions();
        AtomicReference<BudgetReporter> reporter = new AtomicReference<>();
        Function<TeamId, Optional<TeamBudget>> budgets =
                team -> config.current().flatMap(current -> current.team(team)).map(options::budgetOf);
        BudgetBorrower borrower = BudgetBorrower.create(
                settings.instance(), random.nextLong(), options, budgets, resources.clock(), () -> {
                    BudgetReporter started = reporter.get();
                    if (started != null) {
                        started.requestEarlyReport();
                    }
                });
        reporter.set(register(BudgetReporter.start(borrower, control, resources.scheduler())));
        OfflineAllowance allowance = OfflineAllowance.of(options.tolerance().tokens(), resources.clock());
        return new BorrowedBudget(borrower, budgets, allowance, resources.clock());
    }

    private void startGateway(
            ProcessResources resources,
            ConnectionPool connections,
            ConfigWatcher config,
            ControlClient control,
            BorrowedBudget budget,
            SecureRandom random) {
        GatewayRole started = register(GatewayRole.start(
                settings,
                new GatewayServices(
                        config,
                        budget,
                        new ReplicaCommands(control),
                        connections,
                        TwoChoicesPolicy.create(PLACEMENT),
                        random,
                        resources.clock(),
                        resources.scheduler(),
                        registry)));
        readinessChecks.add(started::isReady);
    }

    private <T extends AutoCloseable> T register(T component) {
        components.push(component);
        return component;
    }

    @Override
    public void close() {
        isRunning = false;
        ReplicaRole role = replicaRole;
        if (role != null) {
            role.beginLeaving();
        }
        while (!components.isEmpty()) {
            AutoCloseable component = components.pop();
            try {
                component.close();
            } catch (Exception e) {
                LOG.warnf(
                        e,
                        "Cannot close %s; closing the remaining components",
                        component.getClass().getSimpleName());
            }
        }
    }
}
