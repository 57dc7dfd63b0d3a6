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
 * <p>Thread-safe. A storage error ends the process, because a replica that cannot sync must not answer.
 */
final class ReplicaRole implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(ReplicaRole.class);
    private static final int EXIT_STORAGE = 1;

    /** Readers stop work that needs a key when their copy is older than this. */
    private static final long MAX_AGE_MS = 2_500;

    /** Short against a scrape interval of 15 s. */
    private static final int METRICS_PERIOD_MS = 1_000;

    private final ConsensusMember member;
    private final ReplicaService service;
    private final FrameServer server;
    private final Scheduler.Timer reporter;

    private ReplicaRole(ConsensusMember member, ReplicaService service, FrameServer server, Scheduler.Timer reporter) {
        this.member = member;
        this.service = service;
        this.server = server;
        this.reporter = reporter;
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
                        ReplicaRole::onFatal)
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
        Scheduler.Timer reporter =
                resources.scheduler().scheduleRepeating(METRICS_PERIOD_MS, () -> metrics.update(member.status()));
        return new ReplicaRole(member, service, server, reporter);
    }

    private static MemberPolicy policy(ReplicaSettings replica, ReplicaDirectory directory) {
        return switch (replica.joining()) {
            case BY_OPERATOR -> MemberPolicy.byOperators();
            case AUTOMATIC -> MemberPolicy.automatic(true, directory::contacts);
            case AUTOMATIC_LATER -> MemberPolicy.automatic(false, directory::contacts);
        };
    }

    /** Returns whether the replica knows a leader and can prove to readers that its state is current. */
    boolean isReady() {
        return member.ageMs() <= MAX_AGE_MS;
    }

    /** Returns whether this replica leads, inside its lease. */
    boolean holdsLease() {
        return member.holdsLease();
    }

    private static void onFatal(Throwable failure) {
        LOG.fatal("The replica cannot go on; the process ends", failure);
        Runtime.getRuntime().halt(EXIT_STORAGE);
    }

    @Override
    public void close() {
        reporter.cancel();
        server.close();
        service.close();
        member.close();
    }
}
