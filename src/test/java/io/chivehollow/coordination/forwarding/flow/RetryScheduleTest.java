package io.chivehollow.coordination.forwarding.flow;

import java.util.concurrent.TimeUnit;

import io.chivehollow.base.TeamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against refused callers that all retry at the same time, when there are tokens for only one of them. */
public class RetryScheduleTest {

    private static final TeamId RED = TeamId.of("red");
    private static final int PROCESSES = 8;

    /** Time that 7,400 tokens take at 47,000 tokens/s. */
    private static final long COST_MS = 157;

    private long nowNanos;
    private RetrySchedule schedule;

    @BeforeMethod
    public void start() {
        nowNanos = -TimeUnit.SECONDS.toNanos(1);
        schedule = new RetrySchedule(() -> nowNanos, () -> PROCESSES);
    }

    @Test
    public void refusedCallersRetryOneAfterTheOther() {
        assertEquals(schedule.retryMs(RED, "model", COST_MS), COST_MS * PROCESSES);
        assertEquals(schedule.retryMs(RED, "model", COST_MS), 2 * COST_MS * PROCESSES);
        assertEquals(schedule.retryMs(TeamId.of("blue"), "model", COST_MS), COST_MS * PROCESSES);
        assertEquals(schedule.retryMs(RED, "plain", 5), 5 * PROCESSES);
        nowNanos += TimeUnit.SECONDS.toNanos(60);
        assertEquals(schedule.retryMs(RED, "model", COST_MS), COST_MS * PROCESSES);
    }

    /**
     * Callers do not wait longer than the limit, and a time shorter than the cost of the request itself would be wrong.
     */
    @Test
    public void retryTimeIsBounded() {
        for (int i = 0; i < 10; i++) {
            schedule.retryMs(RED, "model", COST_MS);
        }
        assertEquals(schedule.retryMs(RED, "model", COST_MS), 4_500);
        assertEquals(schedule.retryMs(RED, "model", 6_000), 6_000);
    }
}
