package io.chivehollow.coordination.replica;

import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.Clock;
import io.chivehollow.base.InstanceId;
import io.chivehollow.coordination.budget.BudgetLender;
import io.chivehollow.coordination.budget.BudgetOptions;
import io.chivehollow.coordination.loads.LoadSchedule;
import io.chivehollow.coordination.simulation.SimulatedTime;
import io.chivehollow.protocol.wire.Borrow;
import io.chivehollow.protocol.wire.BorrowItem;
import io.chivehollow.protocol.wire.CallOutcome;
import io.chivehollow.protocol.wire.Command;
import io.chivehollow.protocol.wire.Failure;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.protocol.wire.LoadReport;
import io.chivehollow.protocol.wire.Loan;
import io.chivehollow.protocol.wire.Propose;
import io.chivehollow.protocol.wire.Query;
import io.chivehollow.protocol.wire.RecordQuery;
import io.chivehollow.state.log.SimDisk;
import io.chivehollow.state.machine.Commands;
import io.chivehollow.state.machine.ControlState;
import io.chivehollow.state.machine.IdempotencyKey;
import io.chivehollow.state.machine.SmallSegments;
import io.chivehollow.transport.ServerCall;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards, in simulated time, against errors in tasks of the leader: session expiry, lending, and load permits. */
public class LeaderTasksTest {

    private static final InstanceId REPLICA = InstanceId.of("replica-0");

    private SimulatedTime time;
    private Clock clock;
    private FakeReplicatedLog log;
    private ControlState state;
    private ReplicaService service;
    private long sequence;

    @BeforeMethod
    public void start() {
        time = new SimulatedTime();
        clock = time.clock(1, TimeUnit.HOURS.toNanos(1));
        state = ControlState.create();
        log = new FakeReplicatedLog(REPLICA, state);
        sequence = 0;
        startLeader();
        propose("operator", Commands.release("n1", 1, Commands.FIRST_NOTE));
    }

    private void startLeader() {
        service = ReplicaService.start(
                REPLICA,
                log,
                state,
                BudgetLender.create(BudgetOptions.defaults()),
                LoadSchedule.create(2),
                (call, first) -> {
                    throw new AssertionError("Received a consensus frame, but the test sends none");
                },
                clock,
                time);
        log.appoint(REPLICA, clock.nanoTime());
    }

    private Frame send(String instance, Frame.Builder frame) {
        RecordedCall call = new RecordedCall(InstanceId.of(instance));
        service.onCall(call, frame.build());
        return call.last;
    }

    private void propose(String instance, Command command) {
        Frame response = send(
                instance, Frame.newBuilder().setPropose(Propose.newBuilder().setCommand(command.toByteString())));
        assertTrue(response.hasProposed(), response.toString());
    }

    private Loan borrow(String instance, long wanted) {
        Borrow borrow = Borrow.newBuilder()
                .setInstance(instance)
                .setSequence(++sequence)
                .addItems(BorrowItem.newBuilder().setTeam("red").setWantedTokens(wanted))
                .build();
        return send(instance, Frame.newBuilder().setBorrow(borrow)).getLoan();
    }

    /** Guards against calls that stay open after their gateway has failed, and against closing an active session. */
    @Test
    public void onlySessionsOfUnresponsiveGatewaysAreClosed() {
        propose("live", Commands.openSession("s1", "live"));
        propose("gone", Commands.openSession("s2", "gone"));
        time.scheduleRepeating(500, () -> borrow("live", 0));
        time.runUntilMs(9_900);
        assertEquals(state.openSessions().size(), 2);
        time.runUntilMs(12_500);
        assertEquals(state.openSessions().size(), 1);
        assertEquals(state.openSessions().get(0).getId(), "s1");
    }

    /** Guards against a new leader that closes all sessions because it has not received messages of gateways yet. */
    @Test
    public void newLeaderStartsSessionTimeoutsAtItsLease() {
        propose("gone", Commands.openSession("s2", "gone"));
        log.appoint(InstanceId.of("replica-1"), clock.nanoTime());
        time.runUntilMs(30_000);
        assertEquals(state.openSessions().size(), 1);
        log.appoint(REPLICA, clock.nanoTime());
        time.runUntilMs(39_000);
        assertEquals(state.openSessions().size(), 1);
        time.runUntilMs(43_000);
        assertEquals(state.openSessions().size(), 0);
    }

    /** Guards against loans that are invalidated when the lease lapses while no other replica is the leader. */
    @Test
    public void lapseOfTheLeaseWithinOneTermPreservesTheLoans() {
        time.runUntilMs(10_000);
        Loan first = borrow("gateway", 100);
        assertEquals(first.getItems(0).getLentTokens(), 100);
        log.renewLease(clock.nanoTime());
        Loan second = borrow("gateway", 100);
        assertEquals(second.getLease(), first.getLease());
        assertEquals(second.getItems(0).getLentTokens(), 100);
        log.appoint(REPLICA, clock.nanoTime());
        // The burst is 3,000; 200 are lent, and 100 may be lent without another checkpoint.
        assertEquals(borrow("gateway", 3_000).getItems(0).getLentTokens(), (3_000 - 200 - 100) / 2);
    }

    /** Guards against a leader that lends nothing, or lends tokens twice, after its predecessor stopped or failed. */
    @Test
    public void nextLeaderContinuesFromSavedBudgets() {
        time.runUntilMs(10_000);
        assertEquals(borrow("gateway", 1_000).getItems(0).getLentTokens(), 1_000);
        service.close();
        ReplicaService stopped = service;
        startLeader();
        // The burst is 3,000; 1,000 are still lent, and half of the rest may be lent in advance.
        assertEquals(borrow("gateway", 3_000).getItems(0).getLentTokens(), 1_000);
        stopped.close();
        // The second leader fails; its last checkpoint counts its loans.
        startLeader();
        assertEquals(borrow("gateway", 3_000).getItems(0).getLentTokens(), 500);
    }

    /** Guards against a leader that permits more loads than the limit of 2, also after a new lease. */
    @Test
    public void loadsFromTheWeightStoreAreLimited() {
        time.runUntilMs(10_000);
        assertEquals(place("a", LoadReport.Stage.WAITING), 0);
        assertEquals(place("b", LoadReport.Stage.WAITING), 0);
        assertEquals(place("c", LoadReport.Stage.WAITING), 1);
        log.appoint(REPLICA, clock.nanoTime());
        assertEquals(place("c", LoadReport.Stage.WAITING), 1);
        assertEquals(place("a", LoadReport.Stage.LOADING), 0);
        assertEquals(place("b", LoadReport.Stage.ENDED), 0);
        time.runUntilMs(16_000);
        assertEquals(place("c", LoadReport.Stage.WAITING), 0);
        assertEquals(place("d", LoadReport.Stage.WAITING), 1);
    }

    private int place(String permit, LoadReport.Stage stage) {
        LoadReport report =
                LoadReport.newBuilder().setPermit(permit).setStage(stage).build();
        Frame response = send("sidecar", Frame.newBuilder().setLoadReport(report));
        assertTrue(response.hasLoadPlace(), response.toString());
        return response.getLoadPlace().getPlace();
    }

    /** Guards against a query that gets no response because the file with the record is damaged. */
    @Test
    public void queryOfADamagedRecordFails() {
        SimDisk disk = new SimDisk();
        state = SmallSegments.create();
        state.open(disk);
        log = new FakeReplicatedLog(REPLICA, state);
        startLeader();
        propose("operator", Commands.release("n1", 1, Commands.FIRST_NOTE));
        propose("gateway", Commands.openSession("s1", "gateway"));
        long nowMs = clock.currentTimeMs();
        IdempotencyKey first = IdempotencyKey.create(nowMs, new Random(1));
        IdempotencyKey key = first;
        for (int i = 2; i < 20; i++) {
            propose("gateway", Commands.begin(nowMs, "c" + i, "s1", key, "body"));
            propose("gateway", Commands.finish(nowMs, key, 1, CallOutcome.COMPLETED));
            key = IdempotencyKey.create(nowMs, new Random(i));
        }
        RecordQuery record = RecordQuery.newBuilder()
                .setTeam("red")
                .setIdempotencyKey(first.text())
                .build();
        Frame.Builder query = Frame.newBuilder().setQuery(Query.newBuilder().setRecord(record));
        assertTrue(send("gateway", query).getQueryResult().hasRecord());
        disk.list().stream().filter(name -> name.startsWith("records-")).forEach(name -> disk.cut(name, 10));
        assertTrue(send("gateway", query).hasFailure());
    }

    /** Guards against a team that receives its burst twice because it was withdrawn and added under a later leader. */
    @Test
    public void teamThatIsAddedAgainDoesNotGetItsBurstTwice() {
        time.runUntilMs(10_000);
        long lent = 0;
        for (int i = 0; i < 8; i++) {
            lent += borrow("gateway", 3_000).getItems(0).getLentTokens();
        }
        propose("operator", Commands.release("n2", 2, "\"withdrawn\": {\"teams\": [\"red\"]}"));
        startLeader();
        String red = "{\"id\": \"red\", \"rate_tokens_per_second\": 1000, \"burst_tokens\": 3000, \"weight\": 2}";
        propose("operator", Commands.release("n3", 3, "\"added\": {\"teams\": [" + red + "]}"));
        for (int i = 0; i < 8; i++) {
            lent += borrow("gateway", 3_000).getItems(0).getLentTokens();
        }
        assertTrue(lent <= 3_000, "lent " + lent);
    }

    /** Records the last frame of a response. */
    private static final class RecordedCall implements ServerCall {

        private final InstanceId peer;
        private Frame last = Frame.getDefaultInstance();

        RecordedCall(InstanceId peer) {
            this.peer = peer;
        }

        @Override
        public InstanceId peer() {
            return peer;
        }

        @Override
        public long connectionId() {
            return 1;
        }

        @Override
        public void send(Frame.Builder frame) {
            throw new AssertionError("Received a second frame, but a response has one frame");
        }

        @Override
        public void finish(Frame.Builder frame) {
            last = frame.build();
        }

        @Override
        public void fail(Failure failure) {
            last = Frame.newBuilder().setFailure(failure).build();
        }
    }
}
