package io.chivehollow.coordination.budget;

import io.chivehollow.base.Clock;
import io.chivehollow.base.TeamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against teams that exceed the tolerance on their rate limit while the lender is unreachable, because each
 * process admits too much or each of several short outages grants a new allowance.
 */
public class OfflineAllowanceTest {

    private static final TeamId RED = TeamId.of("red");
    private static final long SECOND_NANOS = 1_000_000_000L;

    private long nowNanos;
    private OfflineAllowance allowance;

    @BeforeMethod
    public void start() {
        nowNanos = 5 * SECOND_NANOS;
        allowance = OfflineAllowance.of(1_000, new Clock() {
            @Override
            public long nanoTime() {
                return nowNanos;
            }

            @Override
            public long currentTimeMs() {
                return 0;
            }
        });
    }

    private int takeAll(TeamId team) {
        int taken = 0;
        while (allowance.tryAcquire(team, 10)) {
            taken++;
        }
        return taken;
    }

    @Test
    public void processWithoutALenderResponseAdmitsNothing() {
        assertEquals(takeAll(RED), 0);
    }

    @Test
    public void allProcessesTogetherStayWithinTheTolerance() {
        allowance.onLenderResponse(8);
        assertEquals(takeAll(RED), 5);
        assertTrue(8 * 5 * 10 <= 500);
        assertEquals(takeAll(TeamId.of("blue")), 5);
    }

    /** Guards against several short outages that together exceed the tolerance within one time window. */
    @Test
    public void allowanceIsRestoredOnlyAfterTheRecoveryTime() {
        allowance.onLenderResponse(8);
        takeAll(RED);
        for (int i = 0; i < 9; i++) {
            nowNanos += SECOND_NANOS;
            allowance.onLenderResponse(8);
            assertEquals(takeAll(RED), 0);
        }
        nowNanos += 2 * SECOND_NANOS;
        allowance.onLenderResponse(8);
        assertEquals(takeAll(RED), 5);
    }

    @Test
    public void responseAfterTheGivenTimeShowsThatTheLenderIsReachable() {
        assertFalse(allowance.hasResponseSince(0));
        allowance.onLenderResponse(1);
        assertTrue(allowance.hasResponseSince(nowNanos));
        assertFalse(allowance.hasResponseSince(nowNanos + 1));
    }
}
