package io.chivehollow.coordination.budget;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.IntStream;

import io.chivehollow.base.InstanceId;
import io.chivehollow.base.TeamId;
import io.chivehollow.coordination.simulation.SimulatedTime;
import io.chivehollow.protocol.wire.SavedBudget;
import io.chivehollow.protocol.wire.Team;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against refusals of large requests that arrive together although the team is below the limit that the
 * platform of a deployment enforces: the burst covers a few requests only and has no margin.
 */
public class BudgetOptionsTest {

    private static final long RATE_TOKENS_PER_SECOND = 47_000;
    private static final long TOLERATED_TOKENS = 190_000;
    private static final long WINDOW_S = 8;
    private static final long REQUEST_TOKENS = 7_400;
    private static final LendingPeriod PERIOD = new LendingPeriod(1, 0);
    private static final TeamId TEAM = TeamId.of("team");

    private static Team team(long releaseNumber) {
        return Team.newBuilder()
                .setId(TEAM.value())
                .setRateTokensPerSecond(RATE_TOKENS_PER_SECOND)
                .setBurstTokens(RATE_TOKENS_PER_SECOND)
                .setReleaseNumber(releaseNumber)
                .build();
    }

    /** Passes one report of the borrower to the lender, which commits a checkpoint first, and the loan back. */
    private static void report(
            BudgetBorrower borrower,
            BudgetLender lender,
            Function<TeamId, Optional<TeamBudget>> budgets,
            SimulatedTime time) {
        var report = borrower.nextReport();
        lender.needsCheckpoint(report, budgets, PERIOD, time.nowNanos());
        List<SavedBudget> checkpoint = lender.startCheckpoint(budgets, PERIOD, time.nowNanos());
        lender.endCheckpoint(PERIOD, checkpoint, true);
        borrower.onLoan(lender.borrow(report, budgets, PERIOD, time.nowNanos()).orElseThrow());
    }

    /** Returns how many of 15 simultaneous requests are admitted. */
    private static long admittedSimultaneousRequests(BudgetOptions options) {
        SimulatedTime time = new SimulatedTime();
        Function<TeamId, Optional<TeamBudget>> budgets = id -> Optional.of(options.budgetOf(team(0)));
        BudgetLender lender = BudgetLender.create(options);
        lender.start(PERIOD, List.of());
        BudgetBorrower borrower =
                BudgetBorrower.create(InstanceId.of("g"), 1, options, budgets, time.clock(1, 0), () -> {});
        time.runUntilMs(TimeUnit.SECONDS.toMillis(10));
        var requests = IntStream.range(0, 15)
                .mapToObj(i -> borrower.reserve(TEAM, REQUEST_TOKENS, 112))
                .toList();
        for (int i = 0; i < requests.size(); i++) {
            report(borrower, lender, budgets, time);
        }
        return requests.stream().filter(request -> request.isDone()).count();
    }

    @Test
    public void simultaneousRequestsWithinTheToleranceAreAdmitted() {
        assertEquals(
                admittedSimultaneousRequests(BudgetOptions.forSmallBursts(Tolerance.none())),
                RATE_TOKENS_PER_SECOND / REQUEST_TOKENS);
        assertEquals(
                admittedSimultaneousRequests(BudgetOptions.forSmallBursts(Tolerance.ofTokens(TOLERATED_TOKENS))), 15);
    }

    /** Teams of a release get no margin, because their rate and burst are guaranteed limits. */
    @Test
    public void releasedTeamsKeepTheirBurst() {
        BudgetOptions options = BudgetOptions.forSmallBursts(Tolerance.ofTokens(TOLERATED_TOKENS));
        assertEquals(options.budgetOf(team(3)).burstTokens(), RATE_TOKENS_PER_SECOND);
        assertEquals(BudgetOptions.defaults().budgetOf(team(0)).burstTokens(), RATE_TOKENS_PER_SECOND);
    }

    /** Plays 40 s of a team that asks for four times its rate; returns the tokens admitted in each 100 ms. */
    private static long[] admittedOverTheRate() {
        BudgetOptions options = BudgetOptions.forSmallBursts(tolerance());
        SimulatedTime time = new SimulatedTime();
        Function<TeamId, Optional<TeamBudget>> budgets = id -> Optional.of(options.budgetOf(team(0)));
        BudgetLender lender = BudgetLender.create(options);
        lender.start(PERIOD, List.of());
        BudgetBorrower borrower =
                BudgetBorrower.create(InstanceId.of("g"), 1, options, budgets, time.clock(1, 0), () -> {});
        time.runUntilMs(TimeUnit.SECONDS.toMillis(10));
        long[] admitted = new long[400];
        for (int tenth = 0; tenth < admitted.length; tenth++) {
            time.runUntilMs(TimeUnit.SECONDS.toMillis(10) + tenth * 100L);
            var requests = IntStream.range(0, 4 * (int) (RATE_TOKENS_PER_SECOND / REQUEST_TOKENS) / 10 + 1)
                    .mapToObj(i -> borrower.reserve(TEAM, REQUEST_TOKENS, 80))
                    .toList();
            for (int i = 0; i < 4; i++) {
                report(borrower, lender, budgets, time);
            }
            admitted[tenth] = REQUEST_TOKENS
                    * requests.stream().filter(request -> request.isDone()).count();
            requests.forEach(request -> request.cancel(false));
        }
        return admitted;
    }

    private static long sum(long[] values, int from, int to) {
        return IntStream.range(from, to).mapToLong(i -> values[i]).sum();
    }

    /**
     * Guards against refusals of a team that stays over its rate: the platform owes it burst and tolerance in every
     * window, not only once.
     */
    @Test
    public void teamOverItsRateGetsThreeQuartersOfWhatThePlatformAllows() {
        long limit = WINDOW_S * RATE_TOKENS_PER_SECOND + RATE_TOKENS_PER_SECOND;
        long allowedTokens = (long) (limit * 1.1) + TOLERATED_TOKENS;
        long[] admitted = admittedOverTheRate();
        int window = (int) WINDOW_S * 10;
        for (int start = 0; start + window <= admitted.length; start++) {
            long inWindow = sum(admitted, start, start + window);
            assertTrue(inWindow <= allowedTokens - TOLERATED_TOKENS / 2, inWindow + " from tenth " + start);
        }
        long sustained = sum(admitted, 200, 200 + 2 * window) / 2;
        assertTrue(sustained >= allowedTokens * 3 / 4, sustained + " of " + allowedTokens);
    }

    @DataProvider
    public Object[][] tolerances() {
        return new Object[][] {{Tolerance.ofTokens(TOLERATED_TOKENS)}, {tolerance()}};
    }

    private static Tolerance tolerance() {
        return new Tolerance(TOLERATED_TOKENS, 0.1, WINDOW_S);
    }

    private static TeamBudget rateAndBurst(Tolerance tolerance) {
        return BudgetOptions.forSmallBursts(tolerance).budgetOf(team(0));
    }

    @Test(dataProvider = "tolerances")
    public void marginAndAllowancesStayBelowTheTolerance(Tolerance tolerance) {
        TeamBudget budget = rateAndBurst(tolerance);
        long limit = WINDOW_S * RATE_TOKENS_PER_SECOND + RATE_TOKENS_PER_SECOND;
        long lentTokens = WINDOW_S * budget.rateTokensPerSecond() + budget.burstTokens();
        long margin = lentTokens - (long) (limit * (1 + tolerance.share()));
        SimulatedTime time = new SimulatedTime();
        long offline = 0;
        for (int process = 0; process < 29; process++) {
            OfflineAllowance allowance = OfflineAllowance.of(TOLERATED_TOKENS, time.clock(1, 0));
            allowance.onLenderResponse(29);
            while (allowance.tryAcquire(TEAM, 100)) {
                offline += 100;
            }
        }
        assertTrue(margin + offline <= TOLERATED_TOKENS * 9 / 10, margin + " and " + offline);
    }
}
