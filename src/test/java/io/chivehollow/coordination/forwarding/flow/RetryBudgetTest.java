package io.chivehollow.coordination.forwarding.flow;

import java.util.Random;
import java.util.function.BiPredicate;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against retries that amplify an overload. */
public class RetryBudgetTest {

    private static final long SECOND_NANOS = 1_000_000_000L;

    private static final RetryLimits LIMITS = new RetryLimits(0.2, 58, 10);

    private long nowNanos;
    private int processes = 8;
    private RetryBudget budget = new RetryBudget(LIMITS, () -> nowNanos, () -> processes);

    @BeforeMethod
    public void start() {
        processes = 8;
        budget = new RetryBudget(LIMITS, () -> nowNanos, () -> processes);
    }

    private int acquireAll(String service) {
        int acquired = 0;
        while (budget.tryAcquire(service)) {
            acquired++;
        }
        return acquired;
    }

    @DataProvider
    public Object[][] numbers() {
        return new Object[][] {{1}, {6}, {8}, {29}};
    }

    /** Processes that all use up their retry budgets stay below a fifth of the requests plus 58 in ten seconds. */
    @Test(dataProvider = "numbers")
    public void retriesInTenSecondsStayBelowTheSharedLimit(int number) {
        processes = number;
        int requests = 0;
        int retries = acquireAll("s");
        for (int step = 0; step < 100; step++) {
            nowNanos += SECOND_NANOS / 10;
            budget.onRequest("s");
            requests++;
            retries += acquireAll("s");
        }
        assertTrue(number * retries <= 0.2 * number * requests + 58, retries + " retries of " + requests + " requests");
    }

    @Test
    public void servicesHaveSeparateBudgets() {
        int first = acquireAll("a");
        assertTrue(first > 0);
        assertEquals(acquireAll("b"), first);
        assertEquals(acquireAll("a"), 0);
    }

    /** Guards against limits of one known platform: each deployment states its own. */
    @Test
    public void budgetFollowsTheStatedLimits() {
        int small = acquireAll("s");
        budget = new RetryBudget(new RetryLimits(0.2, 580, 10), () -> nowNanos, () -> processes);
        assertTrue(acquireAll("s") >= 9 * small);
    }

    /**
     * Load: for 5 s, 35 processes with 1.3 requests/s each lose two of five prefills and one of eight decode servers.
     * The lost prefills must not use up the retries of requests whose prompt has been processed.
     */
    @Test
    public void processedPromptsAreRetriedBeforeLostPrefills() {
        double share = shareOfProcessedPromptsRetried(RetryBudget::tryAcquireSpare);
        double shareWithoutReserve = shareOfProcessedPromptsRetried(RetryBudget::tryAcquire);
        assertTrue(share >= 0.5, share + " of the processed prompts are retried");
        assertTrue(shareWithoutReserve < 0.5, shareWithoutReserve + " are retried without a reserve");
    }

    private double shareOfProcessedPromptsRetried(BiPredicate<RetryBudget, String> prefillRetry) {
        Random random = new Random(7);
        int retried = 0;
        int lost = 0;
        for (int process = 0; process < 35 * 20; process++) {
            RetryBudget shared = new RetryBudget(new RetryLimits(0.2, 96, 10), () -> nowNanos, () -> 35);
            long endNanos = nowNanos + 5 * SECOND_NANOS;
            while (nowNanos < endNanos) {
                nowNanos += (long) (-Math.log(1 - random.nextDouble()) / 1.3 * SECOND_NANOS);
                shared.onRequest("s");
                if (random.nextInt(5) < 2) {
                    prefillRetry.test(shared, "s");
                }
                if (random.nextInt(8) == 0) {
                    lost++;
                    retried += shared.tryAcquire("s") ? 1 : 0;
                }
            }
        }
        return (double) retried / lost;
    }
}
