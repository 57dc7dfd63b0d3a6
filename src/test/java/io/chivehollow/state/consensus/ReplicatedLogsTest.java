package io.chivehollow.state.consensus;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.chivehollow.base.InstanceId;
import io.chivehollow.base.Scheduler;
import io.chivehollow.state.StateException;
import io.chivehollow.state.consensus.ReplicatedLog.AppliedEntry;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against the loss of commands or state when a group runs with real files and threads. */
public class ReplicatedLogsTest {

    private static final List<InstanceId> MEMBERS = List.of(InstanceId.of("a"), InstanceId.of("b"), InstanceId.of("c"));
    private static final int LIMIT_S = 30;

    private final Map<InstanceId, ConsensusMember> running = new ConcurrentHashMap<>();
    private final Map<InstanceId, ListStateMachine> machines = new ConcurrentHashMap<>();
    private final List<Throwable> failures = new ArrayList<>();
    private ScheduledExecutorService executor;
    private Path folder;

    @BeforeMethod
    public void setUp() throws IOException {
        executor = Executors.newScheduledThreadPool(2);
        folder = Files.createTempDirectory("consensus-test");
        running.clear();
        machines.clear();
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws IOException {
        running.values().forEach(ConsensusMember::close);
        executor.shutdownNow();
        try (var files = Files.walk(folder)) {
            files.sorted((left, right) -> right.compareTo(left))
                    .forEach(file -> file.toFile().delete());
        }
    }

    private void start(InstanceId self) {
        ListStateMachine machine = new ListStateMachine();
        machines.put(self, machine);
        ReplicatedLogConfig config = ReplicatedLogConfig.of(
                        self,
                        MEMBERS,
                        folder.resolve(self.value()),
                        machine,
                        (to, message) -> {
                            ConsensusMember target = running.get(to);
                            if (target != null) {
                                target.receive(self, message);
                            }
                        },
                        Scheduler.on(executor),
                        failures::add)
                .withSnapshotEntries(100);
        running.put(self, ReplicatedLogs.open(config));
    }

    private ConsensusMember awaitLeader() throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
        while (System.nanoTime() < deadline) {
            for (ConsensusMember member : running.values()) {
                if (member.holdsLease()) {
                    return member;
                }
            }
            Thread.sleep(10);
        }
        throw new AssertionError("No leader within " + LIMIT_S + " s");
    }

    /** Proposes until each command is acknowledged; on a slow disk the leader may lose its lease in between. */
    private void proposeAll(int from, int to) throws InterruptedException {
        List<String> rest = new ArrayList<>();
        for (int i = from; i < to; i++) {
            rest.add("command " + i);
        }
        while (!rest.isEmpty()) {
            ConsensusMember leader = awaitLeader();
            List<CompletableFuture<AppliedEntry>> outcomes = new ArrayList<>();
            rest.forEach(command -> outcomes.add(leader.propose(command.getBytes(StandardCharsets.UTF_8))));
            for (int i = outcomes.size() - 1; i >= 0; i--) {
                if (failureOf(outcomes.get(i)) == null) {
                    rest.remove(i);
                }
            }
        }
    }

    private static Throwable failureOf(CompletableFuture<AppliedEntry> outcome) {
        return outcome.handle((applied, failure) -> failure)
                .orTimeout(LIMIT_S, TimeUnit.SECONDS)
                .join();
    }

    private Set<String> commandsOf(ConsensusMember member) {
        for (Map.Entry<InstanceId, ConsensusMember> entry : running.entrySet()) {
            if (entry.getValue() == member) {
                return Set.copyOf(machines.get(entry.getKey()).commands());
            }
        }
        throw new AssertionError("The member is not running");
    }

    /** A restart of all members after more than 500 commands must recover every command. */
    @Test
    public void restartOfAllMembersKeepsAllCommands() throws Exception {
        MEMBERS.forEach(this::start);
        proposeAll(0, 520);
        running.values().forEach(ConsensusMember::close);
        running.clear();
        MEMBERS.forEach(this::start);
        proposeAll(520, 521);
        Set<String> expected = new HashSet<>();
        for (int i = 0; i < 521; i++) {
            expected.add("command " + i);
        }
        assertEquals(commandsOf(awaitLeader()), expected);
        assertTrue(failures.isEmpty(), failures.toString());
    }

    /**
     * The group must elect another leader after its leader has stopped, and a stopped member must not report a lease.
     */
    @Test
    public void stoppedLeaderIsReplaced() throws Exception {
        MEMBERS.forEach(this::start);
        proposeAll(0, 10);
        ConsensusMember first = awaitLeader();
        first.close();
        running.values().remove(first);
        assertFalse(first.holdsLease());
        proposeAll(10, 20);
        assertEquals(commandsOf(awaitLeader()).size(), 20);
    }

    /**
     * Guards against unbounded memory for commands without an outcome. Commands above the byte limit must be refused as
     * not run; all others must be committed.
     */
    @Test
    public void proposalsAboveByteLimitAreRefused() throws Exception {
        MEMBERS.forEach(this::start);
        ConsensusMember leader = awaitLeader();
        int refused = 0;
        int acknowledged = 0;
        byte[] command = new byte[500_000];
        for (int round = 0; round < 4; round++) {
            List<CompletableFuture<AppliedEntry>> outcomes = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                outcomes.add(leader.propose(command));
            }
            for (CompletableFuture<AppliedEntry> outcome : outcomes) {
                Throwable failure = failureOf(outcome);
                acknowledged += failure == null ? 1 : 0;
                refused += failure instanceof StateException refusal && refusal.isNotRun() ? 1 : 0;
            }
        }
        assertTrue(refused > 0, "Nothing was refused");
        int committed = 0;
        for (ListStateMachine machine : machines.values()) {
            committed = Math.max(committed, machine.commands().size());
        }
        assertTrue(committed >= acknowledged, committed + " committed, " + acknowledged + " acknowledged");
        assertTrue(committed <= 4 * 40 - refused, committed + " committed, " + refused + " refused");
        assertTrue(failures.isEmpty(), failures.toString());
    }
}
