package io.chivehollow.coordination.forwarding.pressure;

import java.util.Arrays;

import com.codahale.metrics.MetricRegistry;
import io.chivehollow.settings.ProcessLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against requests that are all late because a process accepts more than it can serve, and against a process
 * that refuses more than it has to. The event loop is modelled as a queue of work.
 */
public class RefusalShareTest {

    private static final long TARGET_MS = 145;
    private static final double PROCESSOR_SHARE = 0.5;
    private static final double REQUEST_WORK_MS = 2;
    private static final double REFUSAL_WORK_MS = 0.1;

    /** Time in seconds in which the share settles after a change of the load. */
    private static final int SETTLE_S = 4;

    private static final double MS_PER_S = 1_000;
    private static final double NANOS_PER_MS = 1e6;
    private static final int URGENT = 0;
    private static final int ROUTINE = 3;

    private ProcessPressure pressure;
    private double nowMs;
    private double nextArrivalMs;
    private double tickDueMs;
    private double longestWaitMs;
    private final int[] arrived = new int[ROUTINE + 1];
    private final int[] refused = new int[ROUTINE + 1];

    @BeforeMethod
    public void reset() {
        nowMs = 0;
        nextArrivalMs = 0;
        tickDueMs = ProcessLoad.TICK_MS;
        pressure = ProcessPressure.create(
                new ProcessLimits(PROCESSOR_SHARE, 0, 0, 0),
                1 << 20,
                () -> (long) (nowMs * NANOS_PER_MS),
                new MetricRegistry());
        forget();
    }

    private void forget() {
        longestWaitMs = 0;
        Arrays.fill(arrived, 0);
        Arrays.fill(refused, 0);
    }

    /** Lets requests arrive at the given multiple of what the processor can serve; they are processed in order. */
    private void run(double loadFactor, int seconds) {
        double endMs = nowMs + seconds * MS_PER_S;
        while (nowMs < endMs) {
            if (Math.min(nextArrivalMs, tickDueMs) > nowMs) {
                nowMs = Math.min(nextArrivalMs, tickDueMs);
            } else if (tickDueMs <= nextArrivalMs) {
                pressure.onTick(0, TARGET_MS);
                tickDueMs = nowMs + ProcessLoad.TICK_MS;
            } else {
                process(nowMs - nextArrivalMs);
                nextArrivalMs += REQUEST_WORK_MS / PROCESSOR_SHARE / loadFactor;
            }
        }
    }

    private void process(double waitMs) {
        int priority = (arrived[URGENT] + arrived[ROUTINE]) % 2 == 0 ? URGENT : ROUTINE;
        arrived[priority]++;
        if (pressure.refuses(() -> priority)) {
            refused[priority]++;
            nowMs += REFUSAL_WORK_MS / PROCESSOR_SHARE;
        } else {
            nowMs += REQUEST_WORK_MS / PROCESSOR_SHARE;
            longestWaitMs = Math.max(longestWaitMs, waitMs);
        }
    }

    private double refusedShare() {
        return (double) (refused[URGENT] + refused[ROUTINE]) / (arrived[URGENT] + arrived[ROUTINE]);
    }

    @Test
    public void loadThatFitsIsServedWhole() {
        run(0.95, 60);
        assertEquals(refusedShare(), 0.0);
    }

    /** Three times what the processor share can serve; two thirds have to be refused. */
    @Test
    public void burstOfThreeTimesTheShareIsRefusedAsFarAsNeeded() {
        run(0.8, 5);
        run(3, SETTLE_S);
        forget();
        run(3, 20);
        assertTrue(longestWaitMs < TARGET_MS, "wait of " + longestWaitMs + " ms");
        assertTrue(refusedShare() > 0.6 && refusedShare() < 0.8, "refused " + refusedShare());
    }

    /** Half of the requests are routine, and fewer than these have to be refused. */
    @Test
    public void urgentRequestsAreServedWhileLessUrgentOnesCanBeRefused() {
        run(1.3, SETTLE_S);
        forget();
        run(1.3, 20);
        assertTrue(refused[ROUTINE] > 0, "no request refused");
        assertTrue(refused[URGENT] < 0.01 * arrived[URGENT], refused[URGENT] + " of " + arrived[URGENT] + " refused");
    }

    @Test
    public void someRequestsOfEachKindAreServedUnderAnyLoad() {
        run(30, 20);
        forget();
        run(30, 5);
        assertTrue(refused[URGENT] < arrived[URGENT]);
        assertTrue(refused[ROUTINE] < arrived[ROUTINE]);
    }

    @Test
    public void refusalsEndAfterTheBurst() {
        run(3, 10);
        run(0.5, 7);
        forget();
        run(0.5, 5);
        assertEquals(refusedShare(), 0.0);
    }

    /** A collection of garbage, or a process that was stopped and continues. */
    @Test
    public void singlePauseRefusesNothing() {
        run(0.5, 2);
        nowMs += 3 * MS_PER_S;
        nextArrivalMs = nowMs;
        run(0.5, 5);
        assertEquals(refusedShare(), 0.0);
    }
}
