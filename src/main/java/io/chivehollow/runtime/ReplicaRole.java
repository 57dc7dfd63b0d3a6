package io.chivehollow.runtime;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import com.codahale.metrics.MetricRegistry;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.coordination.budget.BudgetLender;
import io.chivehollow.coordination.budget.BudgetOptions;
import io.chivehollow.coordination.loads.LoadSchedule;
import io.chivehollow.coordination.replica.ReplicaDirectory;
import io.chivehollow.coordination.replica.ReplicaService;
import io.chivehollow.metrics.ReplicaMetrics;
import io.chivehollow.settings.ReplicaSettings;
import io.chivehollow.settings.Settings;
import io.chivehollow.state.consensus.ConsensusMember;
import io.chivehollow.state.consensus.ConsensusTimes;
import io.chivehollow.state.consensus.MemberPolicy;
import io.chivehollow.state.consensus.ReplicatedLogConfig;
import io.chivehollow.state.consensus.ReplicatedLogs;
import io.chivehollow.state.machine.ControlState;
import io.chivehollow.transport.ConnectionPool;
import io.chivehollow.transport.FrameServer;
import io.chivehollow.transport.TransportOptions;
import org.jboss.logging.Logger;

/**
 * The replica role of a process.
 *
 * <p>Thread-safe. A storage error halts the process, because a replica that cannot sync its log must not respond.
 */
final class ReplicaRole implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(ReplicaRole.class);
    private static final int STORAGE_FAILURE_EXIT_CODE = 1;

    /** Readers of the configuration stop work that needs an API key when their copy is older than this. */
    private static final long MAX_STALENESS_MS = 2_500;

    /** Short compared with the usual scrape interval of 15 s. */
    private static final int METRICS_PERIOD_MS = 1_000;

    private final ConsensusMember member;
    private final ReplicaService service;
    private final FrameServer server;
    private final Scheduler.Timer metricsTimer;

    private ReplicaRole(
            ConsensusMember member, ReplicaService service, FrameServer server, Scheduler.Timer metricsTimer) {
        this.member = member;
        this.service = service;
        this.server = server;
        this.metricsTimer = metricsTimer;
    }

    static ReplicaRole start(
            Settings settings,
            ReplicaSettings replica,
            BudgetOptions budgets,
            ProcessResources resources,
            ConnectionPool connections,
            ReplicaDirectory directory,
            MetricRegistry registry) {
        Map<InstanceId, InetSocketAddress> addresses = new LinkedHashMap<>();
        for (ReplicaSettings.Member member : replica.members()) {
            addresses.put(InstanceId.of(member.instance()), member.address());
        }
        ReplicaMetrics metrics = ReplicaMetrics.create(registry);
        ControlState state = ControlState.create();
        ConsensusHandler consensusHandler = new ConsensusHandler();
        ReplicatedLogConfig config = ReplicatedLogConfig.of(
                        settings.instance(),
                        addresses.keySet().stream().toList(),
                        replica.dataFolder(),
                        state,
                        PeerLinks.create(
                                instance -> Optional.ofNullable(addresses.get(instance))
                                        .or(() -> directory.address(instance)),
                                connections),
                        resources.scheduler(),
                        ReplicaRole::haltProcess)
                .withSnapshotEntries(replica.snapshotEntries())
                .withTimes(ConsensusTimes.ofVoteHold(replica.voteHoldMs()))
                .withPolicy(policy(replica, directory))
                .withObserver(metrics);
        ConsensusMember member = ReplicatedLogs.open(config);
        consensusHandler.setMember(member);
        directory.setLocalMembers(member::members);
        ReplicaService service = ReplicaService.start(
                settings.instance(),
                member,
                state,
                BudgetLender.create(budgets),
                LoadSchedule.create(replica.maxWeightLoads()),
                consensusHandler,
                resources.clock(),
                resources.scheduler());
        TransportOptions options = TransportOptions.of(settings.instance(), "replica", settings.secret());
        FrameServer server = FrameServer.start(replica.address(), options, resources.eventLoops(), service);
        LOG.infof("Replica listens at %s", server.address());
        Scheduler.Timer metricsTimer =
                resources.scheduler().scheduleRepeating(METRICS_PERIOD_MS, () -> metrics.update(member.status()));
        return new ReplicaRole(member, service, server, metricsTimer);
    }

    private static MemberPolicy policy(ReplicaSettings replica, ReplicaDirectory directory) {
        return switch (replica.joining()) {
            case BY_OPERATOR -> MemberPolicy.byOperators();
            case AUTOMATIC -> MemberPolicy.automatic(true, directory::contacts);
            case AUTOMATIC_LATER -> MemberPolicy.automatic(false, directory::contacts);
        };
    }

    /** Returns whether the replica has a leader and can prove to readers that its state is current. */
    boolean isReady() {
        return member.ageMs() <= MAX_STALENESS_MS;
    }

    /** Returns whether this replica is the leader and its lease is valid. */
    boolean holdsLease() {
        return member.holdsLease();
    }

    private static void haltProcess(Throwable failure) {
        LOG.fatal("Replica failed with a fatal error; halting the process", failure);
        Runtime.getRuntime().halt(STORAGE_FAILURE_EXIT_CODE);
    }

    @Override
    public void close() {
        metricsTimer.cancel();
        server.close();
        service.close();
        member.close();
    }
}
