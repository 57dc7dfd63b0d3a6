package io.chivehollow.coordination.replica;

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

    private static final InstanceId REPLICA = InstanceId.of("replica-0");
    private static final List<String> PROMPT = List.of("first", "dead", "new");

    /** Time in ms in which every process has to know what another one has seen. */
    private static final long MAX_DELAY_MS = 3_000;

    private final Clock clock = Clock.system();
    private final CrashLedger one = CrashLedger.create("one", clock::nanoTime);
    private LoopbackCluster cluster;
    private AutoCloseable replica;

    @BeforeMethod
    public void start() {
        cluster = new LoopbackCluster();
        replica = startLeader();
        cluster.startClient();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        replica.close();
        cluster.close();
    }

    private AutoCloseable startLeader() {
        ControlState state = ControlState.create();
        FakeReplicatedLog log = new FakeReplicatedLog(REPLICA, state);
        AutoCloseable started = cluster.serve(REPLICA, log, state);
        log.appoint(REPLICA, clock.nanoTime());
        return started;
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
            replica.close();
            replica = startLeader();
            try (CrashReporter third = CrashReporter.start(three, cluster.client, cluster.scheduler)) {
                awaitBlocked(three);
            }
        }
    }
}
