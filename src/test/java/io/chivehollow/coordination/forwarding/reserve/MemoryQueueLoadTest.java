package io.chivehollow.coordination.forwarding.reserve;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import io.chivehollow.coordination.forwarding.queue.QueueEvents;
import io.chivehollow.coordination.forwarding.queue.Urgency;
import io.chivehollow.coordination.forwarding.queue.WaitLimits;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Guards against urgent requests that are served less often than others, and against a team that crowds the others out.
 *
 * <p>Load: three priorities at 1.5 times the memory of the servers, of which one team sends ten times as much as each
 * of the others. Twelve processes queue for the same servers. A refused caller returns once.
 */
public class MemoryQueueLoadTest {

    private static final long[] TARGETS_MS = {800, 1_000, 2_000};
    private static final int TEAMS = 8;
    private static final int HOT_TEAM = 0;
    private static final int HOT_RATE = 10;
    private static final double LOAD = 1.5;

    /** Largest accepted difference between shares, from the promise to callers. */
    private static final double TOLERANCE = 0.05;

    private static final int SERVERS = 10;
    private static final long SERVER_TOKENS = 40_000;
    private static final long MIN_TOKENS = 2_000;
    private static final long MEAN_TOKENS = 5_000;
    private static final long RUN_MS = 700;
    private static final long PREFILL_MS = 90;
    private static final long GAP_MS = 300;
    private static final long RESERVATION_MS = 2_000;
    private static final long LENGTH_MS = 30_000;
    private static final long MIN_RETRY_MS = 3_000;
    private static final int RETRY_SPREAD_MS = 1_500;

    private final SharedServers servers = new SharedServers(SERVERS, SERVER_TOKENS);
    private final List<MemoryQueue> processes = new ArrayList<>();
    private final int[][] sent = new int[TARGETS_MS.length][TEAMS];
    private final int[][] served = new int[TARGETS_MS.length][TEAMS];
    private Random random = new Random();

    /** One caller's request; it comes back at most once. */
    private record Caller(int rank, int team, long tokens, MemoryQueue process) {}

    private void send(Caller caller, boolean isRetry) {
        long targetMs = TARGETS_MS[caller.rank];
        long maxWaitMs = isRetry ? WaitLimits.lateMs(targetMs, GAP_MS) : WaitLimits.onTimeMs(targetMs, PREFILL_MS);
        MemoryRequest request = new MemoryRequest(
                SharedServers.SERVICE,
                caller.tokens,
                RESERVATION_MS,
                isRetry,
                maxWaitMs,
                domain -> false,
                new Urgency(caller.rank, "team" + caller.team, 1),
                SERVER_TOKENS);
        caller.process.add(request, granted -> onEnd(caller, isRetry, granted));
    }

    private void onEnd(Caller caller, boolean isRetry, @Nullable MemoryReservation granted) {
        if (granted != null) {
            served[caller.rank][caller.team]++;
            servers.run(granted, RUN_MS, () -> caller.process.onMemoryReleased(SharedServers.SERVICE));
        } else if (!isRetry) {
            servers.schedule(() -> send(caller, true), MIN_RETRY_MS + random.nextInt(RETRY_SPREAD_MS));
        }
    }

    private Caller nextCaller() {
        int position = random.nextInt(TEAMS - 1 + HOT_RATE);
        int team = position < TEAMS ? position : HOT_TEAM;
        long tokens = MIN_TOKENS + random.nextLong(2 * (MEAN_TOKENS - MIN_TOKENS));
        return new Caller(
                random.nextInt(TARGETS_MS.length), team, tokens, processes.get(random.nextInt(processes.size())));
    }

    private void play(long seed) {
        random = new Random(seed);
        for (int i = 0; i < 12; i++) {
            processes.add(servers.newProcess(QueueEvents.none()));
        }
        double perMs = LOAD * SERVERS * SERVER_TOKENS / MEAN_TOKENS / RUN_MS;
        for (double timeMs = 0; timeMs < LENGTH_MS; timeMs -= Math.log(1 - random.nextDouble()) / perMs) {
            servers.runUntil((long) timeMs);
            Caller caller = nextCaller();
            sent[caller.rank][caller.team]++;
            send(caller, false);
        }
        servers.runUntil(LENGTH_MS + 20_000);
    }

    private static MemoryQueueLoadTest played(long seed) {
        MemoryQueueLoadTest load = new MemoryQueueLoadTest();
        load.play(seed);
        return load;
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    @Test(dataProvider = "seeds")
    public void noRankIsServedLessOftenThanALessUrgentOne(long seed) {
        MemoryQueueLoadTest load = played(seed);
        double[] shares = new double[TARGETS_MS.length];
        for (int rank = 0; rank < shares.length; rank++) {
            shares[rank] = (double) sum(load.served[rank]) / sum(load.sent[rank]);
        }
        for (int rank = 1; rank < shares.length; rank++) {
            assertTrue(shares[rank - 1] >= shares[rank] - TOLERANCE, "served of each rank: " + Arrays.toString(shares));
        }
    }

    /** A team's share of a rank is an equal part of what the rank receives, or what the team asks for if it is less. */
    @Test(dataProvider = "seeds")
    public void noTeamFallsBelowItsShareOfARank(long seed) {
        MemoryQueueLoadTest load = played(seed);
        for (int rank = 0; rank < TARGETS_MS.length; rank++) {
            double equalPart = (double) sum(load.served[rank]) / TEAMS;
            for (int team = 0; team < TEAMS; team++) {
                double share = Math.min(load.sent[rank][team], equalPart);
                assertTrue(
                        load.served[rank][team] >= share * (1 - TOLERANCE),
                        "rank " + rank + ": served " + Arrays.toString(load.served[rank]) + " of "
                                + Arrays.toString(load.sent[rank]));
            }
        }
    }

    private static int sum(int[] values) {
        return Arrays.stream(values).sum();
    }
}
