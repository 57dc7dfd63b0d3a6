package io.chivehollow.coordination.memory;

import io.chivehollow.base.Clock;
import io.chivehollow.base.RequestId;
import io.chivehollow.base.TeamId;
import org.testng.annotations.Test;

import static io.chivehollow.coordination.fairness.Priority.BATCH;
import static io.chivehollow.coordination.fairness.Priority.INTERACTIVE;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests of the limits that {@link MemoryShares} sets for teams, batch requests and late requests. */
public class MemorySharesTest {

    private static final TeamId A = TeamId.of("a");
    private static final TeamId B = TeamId.of("b");

    private final Clock clock = new Clock() {
        @Override
        public long nanoTime() {
            return 0;
        }

        @Override
        public long currentTimeMs() {
            return 0;
        }
    };

    /** Guards against a team that fills the memory while another active team has not used its share. */
    @Test
    public void teamAboveItsShareLeavesATenthFree() {
        MemoryShares shares = MemoryShares.create(20, 20, clock);
        assertTrue(shares.mayReserve(B, 1, INTERACTIVE, false, 1, 20));
        int granted = 0;
        while (shares.mayReserve(A, 1, INTERACTIVE, false, 1, 20)) {
            shares.onGranted(RequestId.of("a" + granted++), A, INTERACTIVE, false, 1);
        }
        assertTrue(granted == 18, "granted " + granted);
        assertTrue(shares.mayReserve(B, 1, INTERACTIVE, false, 1, 20));
        shares.onReleased(RequestId.of("a0"));
        assertTrue(shares.mayReserve(A, 1, INTERACTIVE, false, 1, 20));
    }

    /** Guards against memory that stays free although only one team requests it. */
    @Test
    public void singleTeamMayFillTheMemory() {
        MemoryShares shares = MemoryShares.create(20, 20, clock);
        for (int i = 0; i < 20; i++) {
            assertTrue(shares.mayReserve(A, 1, INTERACTIVE, false, 1, 20));
            shares.onGranted(RequestId.of("a" + i), A, INTERACTIVE, false, 1);
        }
    }

    /** Guards against batch or late requests that reserve the last memory, and batch requests that get none. */
    @Test
    public void batchAndLateRequestsLeaveMemoryFree() {
        MemoryShares shares = MemoryShares.create(20, 20, clock);
        for (int i = 0; i < 18; i++) {
            shares.onGranted(RequestId.of("a" + i), A, INTERACTIVE, false, 1);
        }
        assertFalse(shares.mayReserve(A, 1, BATCH, true, 1, 20));
        assertTrue(shares.mayReserve(A, 1, BATCH, false, 1, 20));
        shares.onGranted(RequestId.of("b0"), A, BATCH, false, 2);
        assertFalse(shares.mayReserve(A, 1, BATCH, false, 1, 20));
        assertTrue(shares.mayReserve(A, 1, INTERACTIVE, false, 1, 20));
    }
}
