package io.chivehollow.coordination.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.Clock;
import io.chivehollow.base.InstanceId;
import io.chivehollow.coordination.crash.CrashLedger;
import io.chivehollow.state.machine.ControlState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Guards against crashes of backend servers that only the process knows which saw them. */
public class CrashReporterTest {

    private static final InstanceId FIRST_LEADER = InstanceId.of("replica-0");
    private static final InstanceId NEXT_LEADER = InstanceId.of("replica-1");
    private static final List<String> PROMPT = List.of("first", "dead", "new");

    /** Time in ms in which every process has to know what another one has seen. */
    private static final long MAX_DELAY_MS = 3_000;

    private final Clock clock = Clock.system();
    private final CrashLedger one = CrashLedger.create("one", clock::nanoTime);
    private final List<FakeReplicatedLog> logs = new ArrayList<>();
    private final List<AutoCloseable> replicas = new ArrayList<>();
    private LoopbackCluster cluster;

    @BeforeMethod
    public void start() {
        cluster = new LoopbackCluster();
        logs.clear();
        replicas.clear();
        for (InstanceId id : List.of(FIRST_LEADER, NEXT_LEADER)) {
            ControlState state = ControlState.create();
            FakeReplicatedLog log = new FakeReplicatedLog(id, state);
            logs.add(log);
            replicas.add(cluster.serve(id, log, state));
        }
        appoint(FIRST_LEADER);
        cluster.startClient();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        for (AutoCloseable replica : replicas) {
            replica.close();
        }
        cluster.close();
    }

    private void appoint(InstanceId leader) {
        logs.forEach(log -> log.appoint(leader, clock.nanoTime()));
    }

    private static void awaitBlocked(CrashLedger ledger) throws InterruptedException {
        long startNanos = System.nanoTime();
        while (!ledger.isBlocked(PROMPT)) {
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(tookMs < MAX_DELAY_MS, "not blocked after " + tookMs + " ms");
            Thread.sleep(5);
        }
    }

    @Test
    public void crashesReachTheOtherProcessesAndANewLeader() throws Exception {
        CrashLedger two = CrashLedger.create("two", clock::nanoTime);
        CrashLedger three = CrashLedger.create("three", clock::nanoTime);
        try (CrashReporter first = CrashReporter.start(one, cluster.client, cluster.scheduler);
                CrashReporter second = CrashReporter.start(two, cluster.client, cluster.scheduler)) {
            one.add("server1", List.of("first", "dead", "own1"));
            one.add("server2", List.of("first", "dead", "own2"));
            two.add("server3", List.of("second", "dead", "own3"));
            awaitBlocked(one);
            awaitBlocked(two);
            appoint(NEXT_LEADER);
            try (CrashReporter third = CrashReporter.start(three, cluster.client, cluster.scheduler)) {
                awaitBlocked(three);
            }
        }
    }
}
