package io.chivehollow.coordination.budget;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.chivehollow.coordination.simulation.Seeds;
import org.testng.annotations.Test;

/**
 * Guards against teams that exceed their rate limit: sums the charges of a team, less credits, over all borrowers in
 * simulations with lost and delayed messages, network partitions, restarts, and changes of the leader.
 */
public class BudgetHistoryTest {

    private static final int SEEDS = 1_000;
    private static final int RUN_MS = 20_000;
    private static final BudgetSimulation.Faults ALL_FAULTS = new BudgetSimulation.Faults(0.1, 0.05, true, true);

    /** Guards against charges that exceed burst + rate x time in any time window. */
    @Test
    public void chargesStayWithinBurstAndRate() {
        Seeds.check(SEEDS, seed -> run(seed, BudgetOptions.defaults(), BudgetOptions.defaults(), RefundRule.limited()));
    }

    /** Guards against loans or refunds that exceed the larger budget after a release has changed the budget. */
    @Test
    public void changedBudgetsStayWithinTheLargerOne() {
        BudgetOptions options = BudgetOptions.defaults();
        Seeds.check(SEEDS, seed -> run(seed, options, options, RefundRule.limited(), true));
    }

    /** Guards against a checker that does not detect the use of loans after the lender has counted them as spent. */
    @Test
    public void checkerFindsLoansUsedAfterTheirValidity() {
        BudgetOptions withoutValidity = new BudgetOptions(600_000, 3_300, 3_300, 5_000, 1);
        Seeds.checkFound(SEEDS, seed -> run(seed, BudgetOptions.defaults(), withoutValidity, RefundRule.limited()));
    }

    /** Guards against a checker that does not detect refunds that exceed the room in the bucket. */
    @Test
    public void checkerFindsUnlimitedRefunds() {
        RefundRule unlimited = (refundTokens, burstTokens, highestLevel) -> refundTokens;
        Seeds.checkFound(SEEDS, seed -> run(seed, BudgetOptions.defaults(), BudgetOptions.defaults(), unlimited));
    }

    /**
     * Guards against a checker that does not detect double spending: a new leader counts the loans of the earlier one
     * as spent immediately, and refills their tokens while borrowers still use them.
     */
    @Test
    public void checkerFindsANewLeaderThatExpiresLoansAtOnce() {
        BudgetOptions immediateExpiry = new BudgetOptions(3_000, 3_300, 0, 5_000, 1);
        Seeds.checkFound(SEEDS, seed -> run(seed, immediateExpiry, BudgetOptions.defaults(), RefundRule.limited()));
    }

    /** Guards against a checker that does not detect a new leader that lends tokens which earlier leaders have lent. */
    @Test
    public void checkerFindsANewLeaderWithoutCheckpoints() {
        checkFound(BudgetSimulation.LogFault.IGNORED_BY_THE_NEXT_LEADER);
    }

    /** Guards against a checker that does not detect loans beyond the allowance of the committed checkpoint. */
    @Test
    public void checkerFindsLoansBeyondTheCommittedCheckpoint() {
        checkFound(BudgetSimulation.LogFault.LOST_AFTER_THE_FIRST);
    }

    private static void checkFound(BudgetSimulation.LogFault logFault) {
        BudgetOptions options = BudgetOptions.defaults();
        Seeds.checkFound(SEEDS, seed -> run(seed, options, options, RefundRule.limited(), false, logFault));
    }

    private static Optional<String> run(
            long seed, BudgetOptions lenderOptions, BudgetOptions borrowerOptions, RefundRule refundRule) {
        return run(seed, lenderOptions, borrowerOptions, refundRule, false);
    }

    private static Optional<String> run(
            long seed,
            BudgetOptions lenderOptions,
            BudgetOptions borrowerOptions,
            RefundRule refundRule,
            boolean changesBudget) {
        BudgetSimulation.LogFault none = BudgetSimulation.LogFault.NONE;
        return run(seed, lenderOptions, borrowerOptions, refundRule, changesBudget, none);
    }

    private static Optional<String> run(
            long seed,
            BudgetOptions lenderOptions,
            BudgetOptions borrowerOptions,
            RefundRule refundRule,
            boolean changesBudget,
            BudgetSimulation.LogFault logFault) {
        SplittableRandom random = new SplittableRandom(seed);
        long rate = random.nextLong(100, 10_000);
        TeamBudget budget = new TeamBudget(rate, Math.max(1, (long) (rate * (0.2 + random.nextDouble() * 5))));
        BudgetSimulation.Faults faults = random.nextInt(4) == 0
                ? ALL_FAULTS
                : new BudgetSimulation.Faults(
                        random.nextDouble() * 0.1,
                        random.nextDouble() * 0.05,
                        random.nextBoolean(),
                        random.nextBoolean());
        BudgetSimulation simulation =
                new BudgetSimulation(random, budget, faults, lenderOptions, borrowerOptions, refundRule, logFault);
        long largest = Math.max(2, (long) (budget.burstTokens() * random.nextDouble() * random.nextDouble()));
        schedulePhase(simulation, largest);
        if (changesBudget) {
            // The charges are checked against the larger budget; the team has a smaller one part of the time.
            TeamBudget smaller = new TeamBudget(1 + rate / 3, 1 + budget.burstTokens() / 3);
            simulation.time.scheduleRepeating(
                    random.nextLong(300, 5_000),
                    () -> simulation.budget = simulation.budget == budget ? smaller : budget);
        }
        simulation.time.runUntilMs(RUN_MS);
        double excess = simulation.excess(budget);
        // Both clocks round to whole nanoseconds, an error of less than one token.
        return excess > 1 ? Optional.of("Charges exceeded " + budget + " by " + excess + " tokens") : Optional.empty();
    }

    /** Alternates between heavy traffic and none, because limits are most easily exceeded after idle periods. */
    private static void schedulePhase(BudgetSimulation simulation, long largest) {
        SplittableRandom random = simulation.random;
        long busyMs = random.nextLong(100, 3_000);
        double load = 0.5 + random.nextDouble() * 5;
        double meanMs = largest / 2.0 / (simulation.budget.rateTokensPerSecond() * load) * 1_000;
        long endNanos = simulation.time.nowNanos() + TimeUnit.MILLISECONDS.toNanos(busyMs);
        if (random.nextBoolean()) {
            requestManyBursts(simulation, largest);
        }
        scheduleRequest(simulation, largest, Math.max(10, meanMs), endNanos);
        simulation.time.schedule(busyMs + random.nextLong(100, 6_000), () -> schedulePhase(simulation, largest));
    }

    private static void requestManyBursts(BudgetSimulation simulation, long largest) {
        // Limits the number of requests to 200, so that runs with small requests do not take seconds.
        long tokens = Math.max(largest / 2 + 1, simulation.budget.burstTokens() / 50);
        for (long sum = 0; sum < 4 * simulation.budget.burstTokens(); sum += tokens) {
            BudgetSimulation.Node node = simulation.nodes.get(simulation.random.nextInt(simulation.nodes.size()));
            simulation.request(node, tokens, tokens, 0, 2_000);
        }
    }

    private static void scheduleRequest(BudgetSimulation simulation, long largest, double meanMs, long endNanos) {
        SplittableRandom random = simulation.random;
        long pauseMs = (long) (-Math.log(1 - random.nextDouble()) * meanMs);
        simulation.time.schedule(pauseMs, () -> {
            if (simulation.time.nowNanos() > endNanos) {
                return;
            }
            BudgetSimulation.Node node = simulation.nodes.get(random.nextInt(simulation.nodes.size()));
            long tokens = random.nextLong(1, largest + 1);
            long actual = random.nextInt(3) == 0 ? 0 : random.nextLong(tokens + 1);
            long settleMs = random.nextInt(10) == 0 ? -1 : random.nextLong(5, 10_000);
            simulation.request(node, tokens, actual, settleMs, random.nextLong(0, 6_000));
            scheduleRequest(simulation, largest, meanMs, endNanos);
        });
    }
}
