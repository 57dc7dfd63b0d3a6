package io.chivehollow.coordination.coldstart;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

import io.chivehollow.base.Clock;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests of the limits that {@link ColdStartRamp} sets. */
public class ColdStartRampTest {

    private static final RampConfig CONFIG = new RampConfig(20, 10, 40);

    private static final class ManualClock implements Clock {
        private long nowMs;

        @Override
        public long nanoTime() {
            return nowMs * 1_000_000;
        }

        @Override
        public long currentTimeMs() {
            return nowMs;
        }
    }

    private static ColdStartRamp warm(ManualClock clock) {
        ColdStartRamp ramp = ColdStartRamp.create(CONFIG, clock);
        clock.nowMs += 10_000;
        for (int i = 0; i < 31; i++) {
            ramp.onSuccess(4_000, 100);
        }
        return ramp;
    }

    /** Guards against a limit that rises faster or slower than by doubling after as many successes as the limit. */
    @Test
    public void limitDoublesAfterAsManySuccessesAsTheLimit() {
        ManualClock clock = new ManualClock();
        ColdStartRamp ramp = ColdStartRamp.create(CONFIG, clock);
        clock.nowMs = 10_000;
        List<Integer> limits = new ArrayList<>();
        for (int i = 0; i < 31; i++) {
            limits.add(ramp.limit());
            ramp.onSuccess(4_000, 100);
        }
        assertEquals(limits.subList(0, 8), List.of(1, 2, 2, 4, 4, 4, 4, 8));
        assertEquals(ramp.limit(), 20);
        assertFalse(ramp.isCold());
    }

    /** Guards against a limit that stays high after a restart, a timeout or a slow request of the backend server. */
    @Test
    public void restartTimeoutAndSlowRequestsResetTheLimit() {
        ManualClock clock = new ManualClock();
        ColdStartRamp ramp = warm(clock);
        ramp.onRestart();
        assertEquals(ramp.limit(), 1);
        ramp = warm(clock);
        ramp.onFailure();
        assertEquals(ramp.limit(), 1);
        ramp = warm(clock);
        ramp.onSuccess(8_500, 100);
        assertEquals(ramp.limit(), 20, "limit must not change between the two ratios");
        clock.nowMs += 20_000;
        ramp.onSuccess(12_100, 100);
        assertEquals(ramp.limit(), 1);
    }

    /** Guards against a limit that rises because of requests that ran before the restart. */
    @Test
    public void successFromBeforeTheFallbackDoesNotCount() {
        ManualClock clock = new ManualClock();
        ColdStartRamp ramp = warm(clock);
        ramp.onRestart();
        clock.nowMs += 3_999;
        ramp.onSuccess(4_000, 100);
        assertEquals(ramp.limit(), 1);
        clock.nowMs += 1;
        ramp.onSuccess(4_000, 100);
        assertEquals(ramp.limit(), 2);
    }

    /**
     * Guards against the overload of a pool in which all backend servers are cold at full load. Each of 8 backend
     * servers handles 2 requests and one more per completed request, and would slow down with the square of the excess.
     */
    @Test
    public void wholePoolWarmsUpAtFullLoadWithoutOverload() {
        ManualClock clock = new ManualClock();
        for (int server = 0; server < 8; server++) {
            ColdStartRamp ramp = ColdStartRamp.create(CONFIG, clock);
            PriorityQueue<long[]> running = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
            int completed = 0;
            long startMs = clock.nowMs;
            while (ramp.isCold()) {
                while (running.size() < ramp.limit()) {
                    int capacity = 2 + completed;
                    assertTrue(running.size() + 1 <= capacity, "overload with limit " + ramp.limit());
                    running.add(new long[] {clock.nowMs + 4_000, 4_000});
                }
                long[] next = running.remove();
                clock.nowMs = next[0];
                completed++;
                ramp.onSuccess(next[1], 100);
            }
            assertTrue(clock.nowMs - startMs <= 24_000, "took " + (clock.nowMs - startMs) + " ms");
        }
    }
}
