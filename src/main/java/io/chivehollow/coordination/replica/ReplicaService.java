package io.chivehollow.coordination.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.Clock;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.Identifiers;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.CoordinationException;
import io.chivehollow.coordination.budget.BudgetLender;
import io.chivehollow.coordination.budget.LendingPeriod;
import io.chivehollow.coordination.budget.TeamBudget;
import io.chivehollow.coordination.config.Configuration;
import io.chivehollow.coordination.crash.CrashLedger;
import io.chivehollow.coordination.loads.WeightLoadSchedule;
import io.chivehollow.coordination.loads.WeightLoadStage;
import io.chivehollow.protocol.wire.Borrow;
import io.chivehollow.protocol.wire.ChangeMembers;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.LoadPlace;
import io.chivehollow.protocol.wire.LoadReport;
import io.chivehollow.protocol.wire.Loan;
import io.chivehollow.protocol.wire.MemberList;
import io.chivehollow.protocol.wire.MemberStatus;
import io.chivehollow.protocol.wire.MembersChanged;
import io.chivehollow.protocol.wire.NotLeader;
import io.chivehollow.protocol.wire.Propose;
import io.chivehollow.protocol.wire.Proposed;
import io.chivehollow.protocol.wire.Query;
import io.chivehollow.protocol.wire.QueryResult;
import io.chivehollow.protocol.wire.ShareCrashes;
import io.chivehollow.protocol.wire.SharedCrashes;
import io.chivehollow.protocol.wire.StatusReport;
import io.chivehollow.state.StateException;
import io.chivehollow.state.consensus.ReplicatedLog;
import io.chivehollow.state.machine.ControlState;
import io.chivehollow.transport.CallHandler;
import io.chivehollow.transport.ServerCall;
import io.chivehollow.transport.ServerCallListener;
import org.jboss.logging.Logger;

/**
 * Handles the control messages that a replica receives.
 *
 * <p>Propose, Borrow and Query are handled only inside the leader lease; Watch and StatusQuery by every replica.
 * Thread-safe; no method blocks.
 */
public final class ReplicaService implements CallHandler, AutoCloseable {

    /** Time in ms without messages after which a gateway's session is closed; 20 budget reports are missing then. */
    private static final long SESSION_TIMEOUT_MS = 10_000;

    private static final long HOUSEKEEPING_PERIOD_MS = 1_000;

    /** Period of regular checkpoints in ms; with 200 teams of 30 bytes, they cost 3 KB/s at each replica. */
    private static final long CHECKPOINT_PERIOD_MS = 2_000;

    private static final Logger LOG = Logger.getLogger(ReplicaService.class);

    private final InstanceId instance;
    private final ReplicatedLog log;
    private final ControlState state;
    private final BudgetLender lender;
    private final CallHandler consensusHandler;
    private final Clock clock;
    private final WatchQueue watches;
    private final SessionExpiry sessions;
    private final Scheduler.Timer housekeeping;
    private final Scheduler.Timer checkpoints;
    private final LeaderLending lending;
    private final CrashLedger crashes;
    private final WeightLoadSchedule weightLoads;
    private volatile Configuration configuration;

    private ReplicaService(
            InstanceId instance,
            ReplicatedLog log,
            ControlState state,
            BudgetLender lender,
            WeightLoadSchedule weightLoads,
            CallHandler consensusHandler,
            Clock clock,
            Scheduler scheduler) {
        this.instance = instance;
        this.log = log;
        this.state = state;
        this.lender = lender;
        this.weightLoads = weightLoads;
        this.consensusHandler = consensusHandler;
        this.clock = clock;
        this.watches = new WatchQueue(log, state, scheduler);
        this.sessions = new SessionExpiry(log, state, clock, SESSION_TIMEOUT_MS);
        this.configuration = Configuration.of(state.releasedState());
        this.crashes = CrashLedger.create(instance.value(), clock::nanoTime);
        this.lending = new LeaderLending(log, lender, this::budget, clock);
        this.housekeeping = scheduler.scheduleRepeating(HOUSEKEEPING_PERIOD_MS, this::housekeep);
        this.checkpoints = scheduler.scheduleRepeating(CHECKPOINT_PERIOD_MS, lending::checkpoint);
    }

    /**
     * Starts the service of a replica.
     *
     * @param instance the replica's instance
     * @param log the replicated log, whose commands are applied to the state
     * @param state the state machine
     * @param lender lends budgets while this replica is the leader
     * @param weightLoads grants loads from the weight store while this replica is the leader
     * @param consensusHandler handles the consensus messages of the other replicas
     * @param clock clock of this process
     * @param scheduler runs timers
     */
    public static ReplicaService start(
            InstanceId instance,
            ReplicatedLog log,
            ControlState state,
            BudgetLender lender,
            WeightLoadSchedule weightLoads,
            CallHandler consensusHandler,
            Clock clock,
            Scheduler scheduler) {
        ReplicaService service =
                new ReplicaService(instance, log, state, lender, weightLoads, consensusHandler, clock, scheduler);
        state.addReleasedStateListener(service::onReleasedStateChange);
        state.addBudgetCheckpointListener(service.lending::onCheckpoint);
        service.onReleasedStateChange();
        return service;
    }

    private void onReleasedStateChange() {
        configuration = Configuration.of(state.releasedState());
        watches.onReleasedStateChange();
    }

    private void housekeep() {
        sessions.closeExpiredSessions();
        lender.removeUnresponsiveBorrowers(clock.nanoTime());
    }

    @Override
    public ServerCallListener onCall(ServerCall call, Frame first) {
        switch (first.getBodyCase()) {
            case CONSENSUS -> {
                return consensusHandler.onCall(call, first);
            }
            case WATCH -> {
                sessions.onMessage(call.peer());
                return watches.add(call, first.getWatch());
            }
            case PROPOSE -> propose(call, first.getPropose());
            case BORROW -> borrow(call, first.getBorrow());
            case SHARE_CRASHES -> shareCrashes(call, first.getShareCrashes());
            case LOAD_REPORT -> reportWeightLoad(call, first.getLoadReport());
            case QUERY -> query(call, first.getQuery());
            case CHANGE_MEMBERS -> changeMembers(call, first.getChangeMembers());
            case MEMBERS_QUERY -> call.finish(Frame.newBuilder().setMemberList(memberList()));
            case STATUS_QUERY -> call.finish(Frame.newBuilder().setStatusReport(statusReport()));
            default -> call.fail(
                    ErrorCode.INVALID_REQUEST,
                    "A replica does not handle messages of type " + first.getBodyCase(),
                    true);
        }
        return ServerCallListener.none();
    }

    private void propose(ServerCall call, Propose propose) {
        Command command;
        try {
            command = Command.parseFrom(propose.getCommand());
        } catch (InvalidProtocolBufferException e) {
            call.fail(ErrorCode.INVALID_REQUEST, "The command cannot be parsed", true);
            return;
        }
        if (!log.holdsLease()) {
            refuseAsNotLeader(call);
            return;
        }
        sessions.onMessage(call.peer());
        byte[] bytes =
                command.toBuilder().setTimeMs(clock.currentTimeMs()).build().toByteArray();
        propose(bytes).whenComplete((applied, failure) -> {
            if (failure != null) {
                fail(call, failure);
                return;
            }
            call.finish(Frame.newBuilder()
                    .setProposed(Proposed.newBuilder()
                            .setResult(ByteString.copyFrom(applied.result()))
                            .setIndex(applied.index())));
        });
    }

    private void changeMembers(ServerCall call, ChangeMembers change) {
        if (!Identifiers.isIdentifier(change.getInstance())) {
            call.fail(ErrorCode.INVALID_REQUEST, "The instance must be an identifier", true);
            return;
        }
        InstanceId changed = InstanceId.of(change.getInstance());
        (change.getRemove() ? log.remove(changed) : log.admit(changed)).whenComplete((applied, failure) -> {
            if (failure != null) {
                fail(call, failure);
                return;
            }
            LOG.infof(
                    "Change of the replica group committed: instance %s is %s",
                    changed, change.getRemove() ? "removed" : "admitted");
            call.finish(Frame.newBuilder()
                    .setMembersChanged(MembersChanged.newBuilder().setInstance(changed.value())));
        });
    }

    private CompletableFuture<ReplicatedLog.AppliedEntry> propose(byte[] command) {
        try {
            return log.propose(command);
        } catch (IllegalArgumentException e) {
            // The command exceeds the size limit of the log.
            return CompletableFuture.failedFuture(
                    CoordinationException.notRun(ErrorCode.BODY_TOO_LARGE, String.valueOf(e.getMessage())));
        }
    }

    private void fail(ServerCall call, Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        if (!(cause instanceof ChivehollowException chivehollowException)) {
            call.fail(ErrorCode.INTERNAL, "The proposal failed: " + cause, false);
        } else if (chivehollowException.code() == ErrorCode.NOT_LEADER && chivehollowException.isNotRun()) {
            refuseAsNotLeader(call);
        } else {
            call.fail(
                    chivehollowException.code(),
                    String.valueOf(chivehollowException.getMessage()),
                    chivehollowException.isNotRun());
        }
    }

    private void borrow(ServerCall call, Borrow borrow) {
        if (log.holdsLease()) {
            sessions.onMessage(call.peer());
        }
        lending.start().thenCompose(period -> checkpointIfNeeded(borrow)).whenComplete((ignored, failure) -> {
            // The time is read before the lease is checked, so that no loan is granted after the end of the lease.
            long nowNanos = clock.nanoTime();
            Optional<Loan> loan =
                    lending.current().flatMap(period -> lender.borrow(borrow, this::budget, period, nowNanos));
            if (loan.isPresent()) {
                call.finish(Frame.newBuilder().setLoan(loan.get()));
            } else {
                refuseAsNotLeader(call);
            }
        });
    }

    private void shareCrashes(ServerCall call, ShareCrashes message) {
        if (!log.holdsLease()) {
            refuseAsNotLeader(call);
            return;
        }
        crashes.merge(message.getCrashesList());
        long digest = crashes.digest();
        SharedCrashes.Builder response = SharedCrashes.newBuilder().setDigest(digest);
        if (digest != message.getDigest()) {
            response.addAllCrashes(crashes.toMessages());
        }
        call.finish(Frame.newBuilder().setSharedCrashes(response));
    }

    private void reportWeightLoad(ServerCall call, LoadReport report) {
        lending.start().whenComplete((started, failure) -> {
            long nowNanos = clock.nanoTime();
            Optional<LendingPeriod> period = lending.current();
            if (period.isEmpty()) {
                refuseAsNotLeader(call);
                return;
            }
            WeightLoadStage stage =
                    switch (report.getStage()) {
                        case LOADING -> WeightLoadStage.LOADING;
                        case ENDED -> WeightLoadStage.ENDED;
                        default -> WeightLoadStage.WAITING;
                    };
            long waitedNanos = TimeUnit.MILLISECONDS.toNanos(Integer.toUnsignedLong(report.getWaitedMs()));
            int place = weightLoads.report(report.getPermit(), stage, waitedNanos, period.get(), nowNanos);
            call.finish(Frame.newBuilder().setLoadPlace(LoadPlace.newBuilder().setPlace(place)));
        });
    }

    /** Writes a checkpoint if the report requests more tokens than the last checkpoint permits to lend. */
    private CompletableFuture<Boolean> checkpointIfNeeded(Borrow borrow) {
        long nowNanos = clock.nanoTime();
        boolean isNeeded = lending.current()
                .map(period -> lender.needsCheckpoint(borrow, this::budget, period, nowNanos))
                .orElse(false);
        return isNeeded ? lending.checkpoint() : CompletableFuture.completedFuture(true);
    }

    private Optional<TeamBudget> budget(TeamId team) {
        return configuration.team(team).map(lender::budgetOf);
    }

    private void query(ServerCall call, Query query) {
        if (!log.holdsLease()) {
            refuseAsNotLeader(call);
            return;
        }
        try {
            call.finish(Frame.newBuilder().setQueryResult(queryResult(query)));
        } catch (StateException e) {
            LOG.errorf(e, "Failed to read the state for a query; responding with the error");
            call.fail(e.code(), String.valueOf(e.getMessage()), true);
        }
    }

    private QueryResult queryResult(Query query) {
        QueryResult.Builder result =
                QueryResult.newBuilder().setCommitIndex(log.status().commitIndex());
        switch (query.getKindCase()) {
            case RELEASE_LOG -> result.addAllReleases(state.releases());
            case RECORD -> state.callRecord(
                            query.getRecord().getTeam(), query.getRecord().getIdempotencyKey())
                    .ifPresent(result::setRecord);
            case DEPLOYMENT -> result.setDeploymentDocument(state.deploymentDocument());
            case DOMAINS -> result.setDomainsVersion(state.releasedState().getDomainsVersion());
            default -> {
                // A query without a kind requests only the commit index.
            }
        }
        return result.build();
    }

    private void refuseAsNotLeader(ServerCall call) {
        String leader = log.status().leader().map(InstanceId::value).orElse("");
        // This replica has lost its lease if it is named as the leader; the hint would direct the caller back here.
        boolean isOther = !leader.equals(instance.value());
        call.finish(Frame.newBuilder().setNotLeader(NotLeader.newBuilder().setLeader(isOther ? leader : "")));
    }

    private MemberList memberList() {
        return MemberList.newBuilder()
                .addAllInstances(log.members().stream().map(InstanceId::value).toList())
                .build();
    }

    private StatusReport statusReport() {
        ReplicatedLog.Status status = log.status();
        List<MemberStatus> members = new ArrayList<>();
        for (ReplicatedLog.MemberStatus member : status.members()) {
            members.add(MemberStatus.newBuilder()
                    .setInstance(member.instance().value())
                    .setVoter(member.isVoter())
                    .setMatchIndex(member.matchIndex())
                    .setSilentMs((int) Math.min(member.sinceLastReplyMs(), Integer.MAX_VALUE))
                    .build());
        }
        StatusReport.Builder report = StatusReport.newBuilder()
                .setInstance(instance.value())
                .setState(status.role())
                .setTerm(status.term())
                .setLeader(status.leader().map(InstanceId::value).orElse(""))
                .setCommitIndex(status.commitIndex())
                .setAppliedIndex(status.appliedIndex())
                .setConfigVersion(state.releasedState().getVersion())
                .setAdmitted(status.admitted().map(InstanceId::value).orElse(""))
                .addAllMembers(members);
        long nowNanos = clock.nanoTime();
        lending.current().ifPresent(period -> report.addAllTeams(lender.usage(this::budget, period, nowNanos)));
        return report.build();
    }

    /** Stops the service; a leader first saves its budgets and waits for this for up to 500 ms. */
    @Override
    public void close() {
        housekeeping.cancel();
        checkpoints.cancel();
        lending.stop();
    }
}
