package io.chivehollow.coordination.budget;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.testng.Reporter;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Guards against rejections of requests whose team is within its rate and burst: the tokens are lent to a gateway that
 * does not need them, or are lost with a leader.
 */
public class WrongfulRefusalTest {

    private static final int SEEDS = 1_000;
    private static final int WARM_UP_MS = 8_000;
    private static final int RUN_MS = 28_000;

    /** The default queue time of an interactive request. */
    private static final int WAIT_MS = 5_000;

    /**
     * Guards against tokens that are unused at one gateway while another rejects requests; at most 1 in 1,000 requests
     * may be rejected.
     */
    @Test
    public void refusesAtMostOneInAThousandWhenNothingFails() {
        check(simulation -> {});
    }

    /** Guards against budgets that are lost with a failed leader, which is replaced after 1 to 3 s. */
    @Test
    public void refusesAtMostOneInAThousandWhenALeaderIsLost() {
        check(simulation -> simulation.loseLeader(
                simulation.random.nextLong(10_000, 20_000), simulation.random.nextLong(1_000, 3_000)));
    }

    private static void check(Consumer<BudgetSimulation> fault) {
        long requests = 0;
        long refused = 0;
        long waited = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            BudgetSimulation simulation = run(seed, fault);
            requests += simulation.requests;
            refused += simulation.refused;
            waited += simulation.waited;
            assertTrue(simulation.excess(simulation.budget) <= 1, "excess with seed " + seed);
        }
        Reporter.log("refused " + refused + " of " + requests + " requests; " + waited + " waited over 200 ms", true);
        assertTrue(requests > 100_000, "only " + requests + " requests");
        assertTrue(refused * 1_000 <= requests, "refused " + refused + " of " + requests);
    }

    private static BudgetSimulation run(long seed, Consumer<BudgetSimulation> fault) {
        SplittableRandom random = new SplittableRandom(seed);
        long rate = random.nextLong(2_000, 50_000);
        TeamBudget budget = new TeamBudget(rate, (long) (rate * (2 + random.nextDouble() * 4)));
        BudgetSimulation simulation = new BudgetSimulation(
                random,
                budget,
                BudgetSimulation.Faults.none(),
                BudgetOptions.defaults(),
                BudgetOptions.defaults(),
                RefundRule.limited());
        fault.accept(simulation);
        simulation.time.runUntilMs(WARM_UP_MS);
        new Team(simulation, budget, 0.5 + random.nextDouble() * 0.5).scheduleNext();
        simulation.time.runUntilMs(RUN_MS + WAIT_MS + 1_000);
        return simulation;
    }

    /** A team that sends bursts of requests within the limits of its own token bucket. */
    private static final class Team {

        /** Mean cost of a request as a share of the burst. */
        private static final double MEAN_SHARE = 0.03;

        private final BudgetSimulation simulation;
        private final TeamBudget budget;
        private final double load;
        private double level;
        private long filledNanos;

        Team(BudgetSimulation simulation, TeamBudget budget, double load) {
            this.simulation = simulation;
            this.budget = budget;
            this.load = load;
            this.level = budget.burstTokens();
            this.filledNanos = simulation.time.nowNanos();
        }

        void scheduleNext() {
            SplittableRandom random = simulation.random;
            double meanMs = MEAN_SHARE * budget.burstTokens() / (budget.rateTokensPerSecond() * load) * 1_000;
            // One arrival in ten is followed by a long pause; the others have short intervals.
            double scale = random.nextInt(10) == 0 ? 7 : 0.33;
            double pauseNanos = -Math.log(1 - random.nextDouble()) * meanMs * scale * 1e6;
            simulation.time.scheduleNanos((long) pauseNanos, () -> {
                if (simulation.time.nowNanos() < TimeUnit.MILLISECONDS.toNanos(RUN_MS)) {
                    send();
                    scheduleNext();
                }
            });
        }

        private void send() {
            SplittableRandom random = simulation.random;
            double share = -Math.log(1 - random.nextDouble()) * MEAN_SHARE;
            long tokens = Math.max(1, (long) (Math.min(0.5, share) * budget.burstTokens()));
            long nowNanos = simulation.time.nowNanos();
            double refilled =
                    budget.rateTokensPerSecond() * (nowNanos - filledNanos) / (double) TimeUnit.SECONDS.toNanos(1);
            level = Math.min(budget.burstTokens(), level + refilled);
            filledNanos = nowNanos;
            if (level < tokens) {
                return;
            }
            level -= tokens;
            BudgetSimulation.Node node = simulation.nodes.get(random.nextInt(simulation.nodes.size()));
            simulation.request(node, tokens, tokens, -1, WAIT_MS);
        }
    }
}
