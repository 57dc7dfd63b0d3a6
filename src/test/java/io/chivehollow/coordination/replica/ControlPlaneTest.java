package io.chivehollow.coordination.replica;

import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.google.protobuf.ByteString;
import io.chivehollow.base.Clock;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.base.InstanceId;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.CoordinationException;
import io.chivehollow.coordination.budget.BudgetBorrower;
import io.chivehollow.coordination.budget.BudgetOptions;
import io.chivehollow.coordination.budget.Reservation;
import io.chivehollow.coordination.config.ApiKeys;
import io.chivehollow.coordination.config.ConfigWatcher;
import io.chivehollow.coordination.config.Configuration;
import io.chivehollow.protocol.wire.CallOutcome;
import io.chivehollow.protocol.wire.ChangeMembers;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.CommandResult;
import io.chivehollow.protocol.wire.Query;
import io.chivehollow.protocol.wire.QueryResult;
import io.chivehollow.protocol.wire.RecordQuery;
import io.chivehollow.protocol.wire.ReleaseLogQuery;
import io.chivehollow.state.consensus.ConsensusMember;
import io.chivehollow.state.consensus.ReplicatedLog;
import io.chivehollow.state.consensus.ReplicatedLogConfig;
import io.chivehollow.state.consensus.ReplicatedLogs;
import io.chivehollow.state.machine.Commands;
import io.chivehollow.state.machine.ControlState;
import io.chivehollow.state.machine.IdempotencyKey;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static io.chivehollow.coordination.replica.LoopbackCluster.get;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/**
 * Guards against lost, reverted or duplicated effects of control messages, with the real replicated log on files and
 * with loopback connections.
 */
public class ControlPlaneTest {

    private static final List<InstanceId> IDS = List.of(InstanceId.of("r0"), InstanceId.of("r1"), InstanceId.of("r2"));

    private static final ApiKeys KEYS = ApiKeys.of(LoopbackCluster.SECRET);

    private final Map<InstanceId, Replica> running = new ConcurrentHashMap<>();
    private LoopbackCluster cluster;
    private Path folder;
    private ControlClient client;
    private ConfigWatcher watcher;

    @BeforeMethod
    public void start() throws Exception {
        cluster = new LoopbackCluster();
        folder = Files.createTempDirectory("control-plane-test");
        IDS.forEach(id -> running.put(id, new Replica(id)));
        cluster.startClient();
        client = cluster.client;
        watcher = cluster.watcher;
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        for (Replica replica : running.values()) {
            replica.close();
        }
        running.clear();
        cluster.close();
        try (var files = Files.walk(folder)) {
            files.sorted((left, right) -> right.compareTo(left))
                    .forEach(file -> file.toFile().delete());
        }
    }

    private CommandResult accepted(Command command) throws Exception {
        CommandResult result = get(client.submit(command));
        assertEquals(result.getErrorCode(), "", result.getFaultsList().toString());
        return result;
    }

    private void await(BooleanSupplier condition, String what) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(LoopbackCluster.LIMIT_S);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < endNanos, what + " did not happen within " + LoopbackCluster.LIMIT_S + " s");
            Thread.sleep(10);
        }
    }

    /** Guards against state that is lost, reverted, or different between replicas after the leader has failed. */
    @Test
    public void stateSurvivesTheLossOfTheLeaderAndARestart() throws Exception {
        release();
        accepted(Commands.openSession("s", "gateway"));
        IdempotencyKey key = IdempotencyKey.create(System.currentTimeMillis(), new SplittableRandom(3));
        CommandResult begun = accepted(Commands.begin(0, "", "s", key, "body"));
        assertTrue(begun.getCall().getBegun());
        InstanceId leader = IDS.stream()
                .filter(id -> running.get(id).member.holdsLease())
                .findFirst()
                .orElseThrow();
        running.remove(leader).close();
        CommandResult second = accepted(Commands.rateChange("n2", 2, 77));
        accepted(Commands.finish(0, key, 1, CallOutcome.COMPLETED));
        assertFalse(accepted(Commands.begin(0, "", "s", key, "body")).getCall().getBegun());
        assertTrue(get(client.currentIndex()) > begun.getIndex());
        QueryResult record = get(client.query(Query.newBuilder()
                .setRecord(RecordQuery.newBuilder().setTeam("red").setIdempotencyKey(key.text()))
                .build()));
        assertEquals(record.getRecord().getOutcome(), CallOutcome.COMPLETED);
        long version = second.getRelease().getConfigVersion();
        await(
                () -> watcher.isFresh() && watcher.current().orElseThrow().version() == version,
                "a fresh copy of version " + version);
        running.put(leader, new Replica(leader));
        await(this::haveSameState, "the same state at all replicas");
    }

    /** Guards against a command that takes effect twice, or not at all, when its response is lost. */
    @Test
    public void clientRetriesACommandWhoseResponseWasLost() throws Exception {
        InstanceId id = InstanceId.of("single");
        ControlState state = ControlState.create();
        FakeReplicatedLog log = new FakeReplicatedLog(id, state);
        log.appoint(id, 0);
        try (LoopbackCluster single = new LoopbackCluster();
                AutoCloseable service = single.serve(id, log, state)) {
            single.startClient();
            get(single.client.submit(Commands.openSession("s", "gateway")));
            IdempotencyKey key = IdempotencyKey.create(System.currentTimeMillis(), new SplittableRandom(7));
            log.loseResponses(2);
            CommandResult begun = get(single.client.submit(Commands.begin(0, "", "s", key, "body")));
            assertTrue(begun.getCall().getBegun());
            assertEquals(begun.getCall().getRecord().getAttempt(), 1);
            CommandResult other = get(single.client.submit(Commands.begin(0, "", "s", key, "body")));
            assertFalse(other.getCall().getBegun());
        }
    }

    private long release() throws Exception {
        return accepted(Commands.release("n1", 1, Commands.FIRST_NOTE))
                .getRelease()
                .getConfigVersion();
    }

    private Configuration awaitVersion(long version) throws Exception {
        CompletableFuture<Configuration> seen = new CompletableFuture<>();
        watcher.addListener(configuration -> {
            if (configuration.version() >= version) {
                seen.complete(configuration);
            }
        });
        return get(seen);
    }

    /** Guards against a watcher that misses a change, and against keys that are valid after their withdrawal. */
    @Test
    public void watcherReceivesKeysAndTheirWithdrawal() throws Exception {
        release();
        ApiKeys.NewKey key = KEYS.make(new SecureRandom());
        CommandResult created = get(client.submit(Commands.createKey("", key.id(), key.secretMac())));
        awaitVersion(created.getKey().getConfigVersion());
        ApiKeys.CheckedKey checked = KEYS.check(watcher, key.text());
        assertEquals(checked.team(), TeamId.of("red"));
        CommandResult withdrawn = get(client.submit(Commands.withdrawKey("", key.id())));
        awaitVersion(withdrawn.getKey().getConfigVersion());
        assertThrows(CoordinationException.class, () -> KEYS.check(watcher, key.text()));
        assertThrows(CoordinationException.class, () -> ApiKeys.recheck(watcher, checked));
    }

    /** Guards against queries that are handled by a replica without the lease. */
    @Test
    public void queryReturnsTheReleaseLog() throws Exception {
        release();
        Query query = Query.newBuilder()
                .setReleaseLog(ReleaseLogQuery.getDefaultInstance())
                .build();
        assertEquals(get(client.query(query)).getReleases(0).getNoteId(), "n1");
        assertEquals(get(client.status(cluster.address(IDS.get(1)))).getInstance(), "r1");
    }

    /** Guards against a gateway that receives no loan from a new leader. */
    @Test
    public void gatewayBorrowsFromANewLeader() throws Exception {
        awaitVersion(release());
        BudgetReporter[] reporter = new BudgetReporter[1];
        BudgetBorrower borrower = BudgetBorrower.create(
                LoopbackCluster.GATEWAY,
                1,
                BudgetOptions.defaults(),
                team -> watcher.current().flatMap(seen -> seen.team(team)).map(BudgetOptions.defaults()::budgetOf),
                Clock.system(),
                () -> reporter[0].onNewNeed());
        reporter[0] = BudgetReporter.start(borrower, client, cluster.scheduler);
        Reservation reservation = get(borrower.reserve(TeamId.of("red"), 500, 15_000));
        assertEquals(reservation.tokens(), 500);
        reservation.settle(100);
        assertThrows(ExecutionException.class, () -> get(borrower.reserve(TeamId.of("red"), 3_001, 15_000)));
        reporter[0].close();
    }

    /**
     * Guards against a failed change of the members because the message reaches a follower, or because the leader is
     * the member to be removed.
     */
    @Test
    public void membersAreChangedThroughTheLeader() throws Exception {
        release();
        InstanceId leader = leader();
        ChangeMembers removal = ChangeMembers.newBuilder()
                .setInstance(leader.value())
                .setRemove(true)
                .build();
        assertEquals(get(client.changeMembers(removal)).getInstance(), leader.value());
        assertNotEquals(leader(), leader);
        assertEquals(get(client.changeMembers(removal)).getInstance(), leader.value());
        ExecutionException unknown = expectThrows(
                ExecutionException.class,
                () -> get(client.changeMembers(
                        removal.toBuilder().setInstance("unknown").build())));
        assertEquals(((CoordinationException) unknown.getCause()).code(), ErrorCode.MEMBER_NOT_FOUND);
        get(client.changeMembers(removal.toBuilder().setRemove(false).build()));
        await(
                () -> running.values().stream()
                        .anyMatch(replica -> replica.member.status().members().stream()
                                        .filter(ReplicatedLog.MemberStatus::isVoter)
                                        .count()
                                == IDS.size()),
                "the vote of the member that was admitted again");
    }

    private InstanceId leader() throws InterruptedException {
        await(() -> IDS.stream().anyMatch(id -> running.get(id).member.holdsLease()), "an election");
        return IDS.stream()
                .filter(id -> running.get(id).member.holdsLease())
                .findFirst()
                .orElseThrow();
    }

    private boolean haveSameState() {
        List<ByteString> snapshots = new ArrayList<>();
        running.values().forEach(replica -> snapshots.add(ByteString.copyFrom(replica.state.snapshot())));
        return snapshots.stream().distinct().count() == 1;
    }

    /** A replica with its own folder. */
    private final class Replica {

        private final ControlState state = ControlState.create();
        private final ConsensusMember member;
        private final AutoCloseable service;

        Replica(InstanceId id) {
            member = ReplicatedLogs.open(ReplicatedLogConfig.of(
                            id,
                            IDS,
                            folder.resolve(id.value()),
                            state,
                            (to, message) -> {
                                Replica target = running.get(to);
                                if (target != null) {
                                    target.member.receive(id, message);
                                }
                            },
                            cluster.scheduler,
                            failure -> {})
                    .withSnapshotEntries(10));
            service = cluster.serve(id, member, state);
        }

        void close() throws Exception {
            service.close();
            member.close();
        }
    }
}
